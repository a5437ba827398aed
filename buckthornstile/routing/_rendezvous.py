"""Rendezvous hashing: every process ranks the same names the same way."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from buckthornstile.base import IdempotencyKey, UpstreamId


def compute_score(key: str, name: str) -> int:
    """Computes how well a name suits a key.

    Args:
        key: What is to be placed.
        name: Where it may be placed.

    Returns:
        A score from 0 to 2**64 - 1; the greatest wins.

    Example:
        >>> compute_score("k", "u1") == compute_score("k", "u1")
        True
    """
    return xxh3_64_intdigest(f"{key}\x00{name}".encode())


def choose_home(
    idempotency_key: IdempotencyKey, upstreams: Iterable[UpstreamId]
) -> UpstreamId | None:
    """Chooses the one upstream whose agent remembers a non-idempotent call.

    Args:
        idempotency_key: The caller's key.
        upstreams: The upstreams of the call's service, in any order.

    Returns:
        The upstream, the same at every entry, or None if there is none.

    Example:
        >>> choose_home("k", ["u1", "u2"]) == choose_home("k", ["u2", "u1"])
        True
    """
    return max(
        upstreams,
        key=lambda name: (compute_score(idempotency_key, name), name),
        default=None,
    )
