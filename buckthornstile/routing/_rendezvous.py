"""Rendezvous hashing: every process ranks the same names the same way."""

from xxhash import xxh3_64_intdigest


def compute_rendezvous_score(key: str, name: str) -> int:
    """Computes how well a name suits a key.

    Args:
        key: What is to be placed.
        name: Where it may be placed.

    Returns:
        A score from 0 to 2**64 - 1; the greatest wins.

    Example:
        >>> compute_rendezvous_score("k", "u1") == compute_rendezvous_score("k", "u1")
        True
    """
    return xxh3_64_intdigest(f"{key}\x00{name}".encode())
