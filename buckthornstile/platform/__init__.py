"""HTTP/JSON adapters of the platform's ports.

They translate and decide nothing: another platform needs only these rewritten.
"""

from buckthornstile.platform._factory import make_platform_ports

__all__ = ["make_platform_ports"]
