"""Which entries try to hold the lease."""

from collections.abc import Iterable

import xxhash

from buckthornstile.base import ProcessName

DEFAULT_CANDIDATE_COUNT = 3


def choose_candidates(
    entries: Iterable[ProcessName],
    count: int = DEFAULT_CANDIDATE_COUNT,
    *,
    salt: str = "control",
) -> tuple[ProcessName, ...]:
    """Chooses the few entries that may claim, so that log traffic stays flat.

    Rendezvous hashing: when an entry comes or goes, at most one candidate
    changes. Processes whose lists differ may choose differently; that costs a
    few more claims and never safety.

    Args:
        entries: The entries that are live.
        count: How many to choose.
        salt: Separates this choice from others over the same names.

    Returns:
        At most ``count`` names, highest score first.

    Example:
        >>> len(choose_candidates([ProcessName(f"e{i}") for i in range(9)], 3))
        3
    """
    ordered = sorted(set(entries))
    ordered.sort(key=lambda name: xxhash.xxh3_64_intdigest(f"{salt}/{name}".encode()))
    return tuple(reversed(ordered[-count:])) if count > 0 else ()
