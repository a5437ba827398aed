"""A rollout service for reinforcement learning.

The public names of the client library are imported on first use, so that importing
the package itself is fast.

Example:
    >>> from buckthornstile import RetryPolicy
    >>> RetryPolicy().maximum_attempts
    6
"""

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
    from buckthornstile.client import (
        Answer,
        CallerClient,
        ReceivedSample,
        RetryPolicy,
        SessionPolicy,
        TrainerClient,
    )
    from buckthornstile.samples import (
        GroupSpecification,
        LotSpecification,
        Slot,
        TokenRange,
    )

__version__ = "0.1.0"

__all__ = [
    "Answer",
    "BuckthornstileError",
    "CallerClient",
    "ErrorCode",
    "GroupSpecification",
    "LotSpecification",
    "ReceivedSample",
    "RetryPolicy",
    "SessionPolicy",
    "Slot",
    "TokenRange",
    "TrainerClient",
    "Verdict",
    "__version__",
]

_SUBPACKAGES = {
    "BuckthornstileError": "base",
    "ErrorCode": "base",
    "Verdict": "base",
    "GroupSpecification": "samples",
    "LotSpecification": "samples",
    "Slot": "samples",
    "TokenRange": "samples",
}


def __getattr__(name: str) -> object:
    """Imports a public name on first use."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    subpackage = importlib.import_module(
        f"{__name__}.{_SUBPACKAGES.get(name, 'client')}"
    )
    value = getattr(subpackage, name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Returns the names of the module, including those not imported yet."""
    return sorted({*globals(), *__all__})
