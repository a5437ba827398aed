"""Rendezvous hashing, by which every process ranks candidates in the same order."""

from xxhash import xxh3_64_intdigest


def compute_rendezvous_score(key: str, candidate: str) -> int:
    """Computes the rendezvous score of a candidate for a key.

    Args:
        key: Id of the work that is assigned, such as a partition or a model.
        candidate: Name of a process or upstream to which it may be assigned.

    Returns:
        A score from 0 to 2**64 - 1; the candidate with the highest score is chosen.

    Example:
        >>> compute_rendezvous_score("k", "u1") == compute_rendezvous_score("k", "u1")
        True
    """
    return xxh3_64_intdigest(f"{key}\x00{candidate}".encode())
