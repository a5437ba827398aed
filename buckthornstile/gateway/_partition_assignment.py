"""Which entries follow which partitions of batch jobs.

A partition's jobs are run and read by the few entries that follow it; all others pass
requests on to these. So what a result costs does not grow with the entries.
"""

from collections.abc import Callable

from buckthornstile.base import ProcessName
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.routing import compute_rendezvous_score

ASSIGNED_PER_PARTITION = 6
"""Entries that follow a partition: over the failure domains, one is left after the
loss of any and of some more."""
ASSIGN_ALL_MAX_ENTRIES = 12
"""Entries up to which each follows every partition: passing on would save little."""


class PartitionAssignment:
    """Chooses followers by rendezvous, over different failure domains first.

    Args:
        name: This process's name.
        presence: Which processes live.
    """

    def __init__(self, name: ProcessName, presence: PresenceTable) -> None:
        self.name = name
        self.presence = presence

    def list_assigned(self, part: int) -> list[ProcessName]:
        """Lists the living followers of a partition, the preferred ones first."""
        live = self.presence.list_live()
        is_small = self.presence.count_vms() <= ASSIGN_ALL_MAX_ENTRIES
        count = len(live) if is_small else ASSIGNED_PER_PARTITION
        return assign_partition(part, live, self.presence.get_failure_domain, count)

    def is_assigned(self, part: int) -> bool:
        """Whether this process is to follow a partition."""
        if self.presence.count_vms() <= ASSIGN_ALL_MAX_ENTRIES:
            return True
        # Its own records may not have been read back yet.
        live = {*self.presence.list_live(), self.name}
        get_failure_domain = self.presence.get_failure_domain
        chosen = assign_partition(
            part, sorted(live), get_failure_domain, ASSIGNED_PER_PARTITION
        )
        return self.name in chosen


def assign_partition(
    part: int,
    live: list[ProcessName],
    get_failure_domain: Callable[[ProcessName], str],
    count: int,
) -> list[ProcessName]:
    """Chooses the followers of a partition among living processes.

    Args:
        part: The partition.
        live: The living processes.
        get_failure_domain: Gives a process's failure domain.
        count: How many to choose.

    Example:
        >>> zones = {"a1": "a", "a2": "a", "b1": "b"}
        >>> chosen = assign_partition(3, ["a1", "a2", "b1"], zones.get, 2)
        >>> sorted(zones[name] for name in chosen)
        ['a', 'b']
    """
    ranked = sorted(
        live, key=lambda name: (-compute_rendezvous_score(f"part {part}", name), name)
    )
    taken: dict[str, int] = {}
    rounds: list[tuple[int, int, ProcessName]] = []
    for place, name in enumerate(ranked):
        zone = get_failure_domain(name)
        rounds.append((taken.get(zone, 0), place, name))
        taken[zone] = taken.get(zone, 0) + 1
    return [name for _, _, name in sorted(rounds)[:count]]
