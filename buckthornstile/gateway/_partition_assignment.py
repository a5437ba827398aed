"""Assignment of the partitions of batch jobs to entries.

Only the few entries that are assigned to a partition run and read its jobs; the others
forward requests to them. So the cost of a result does not grow with the number of
entries.
"""

from collections.abc import Callable

from buckthornstile.base import ProcessName
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.routing import compute_rendezvous_score

ASSIGNED_PER_PARTITION = 6
"""Number of entries assigned to a partition. They are spread over the failure
domains, so that at least one remains if a whole domain and some other entries fail."""
ASSIGN_ALL_MAX_ENTRIES = 12
"""Number of entries up to which every entry is assigned to all partitions, as
forwarding would save little."""


class PartitionAssignment:
    """Assigns processes to partitions by rendezvous hashing.

    Each partition's processes are spread over as many failure domains as possible.

    Args:
        name: This process's name.
        presence: The processes that are live.
    """

    def __init__(self, name: ProcessName, presence: PresenceTable) -> None:
        self.name = name
        self.presence = presence

    def list_assigned(self, part: int) -> list[ProcessName]:
        """Returns the live processes assigned to a partition, preferred ones first."""
        live = self.presence.list_live()
        is_small = self.presence.count_vms() <= ASSIGN_ALL_MAX_ENTRIES
        count = len(live) if is_small else ASSIGNED_PER_PARTITION
        return assign_partition(part, live, self.presence.get_failure_domain, count)

    def is_assigned(self, part: int) -> bool:
        """Whether this process is assigned to a partition."""
        if self.presence.count_vms() <= ASSIGN_ALL_MAX_ENTRIES:
            return True
        # The table may not hold this process's own record yet.
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
    """Returns the live processes that are assigned to a partition.

    Args:
        part: The partition.
        live: The live processes.
        get_failure_domain: Returns a process's failure domain.
        count: Number of processes to assign.

    Example:
        >>> domains = {"a1": "a", "a2": "a", "b1": "b"}
        >>> chosen = assign_partition(3, ["a1", "a2", "b1"], domains.get, 2)
        >>> sorted(domains[name] for name in chosen)
        ['a', 'b']
    """
    ranked = sorted(
        live, key=lambda name: (-compute_rendezvous_score(f"part {part}", name), name)
    )
    count_by_domain: dict[str, int] = {}
    by_round: list[tuple[int, int, ProcessName]] = []
    for rank, name in enumerate(ranked):
        failure_domain = get_failure_domain(name)
        by_round.append((count_by_domain.get(failure_domain, 0), rank, name))
        count_by_domain[failure_domain] = count_by_domain.get(failure_domain, 0) + 1
    return [name for _, _, name in sorted(by_round)[:count]]
