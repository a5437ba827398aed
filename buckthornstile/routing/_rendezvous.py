"""Rendezvous hashing, by which every process ranks the same candidates equally."""

from xxhash import xxh3_64_intdigest


def compute_rendezvous_score(key: str, candidate: str) -> int:
    """Computes the rendezvous score of a candidate for a key.

    Args:
        key: Identifies the work to place.
        candidate: Name of a possible place for it.

    Returns:
        A score from 0 to 2**64 - 1; the candidate with the highest score is chosen.

    Example:
        >>> compute_rendezvous_score("k", "u1") == compute_rendezvous_score("k", "u1")
        True
    """
    return xxh3_64_intdigest(f"{key}\x00{candidate}".encode())
