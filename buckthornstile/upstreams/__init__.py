"""HTTP adapters of model engines and plain services.

They translate and decide nothing: another engine needs only these rewritten.
"""

from buckthornstile.upstreams._engine import HttpEngine, make_engine
from buckthornstile.upstreams._service import HttpService, make_service

__all__ = ["HttpEngine", "HttpService", "make_engine", "make_service"]
