"""Which entries follow which partitions of batch jobs.

A partition's jobs are run and read by the few entries that follow it; all others pass
requests on to these. So what a result costs does not grow with the entries.
"""

from collections.abc import Callable

from buckthornstile.base import ProcessName
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.routing import compute_score

FOLLOWERS = 6
"""Entries that follow a partition: over the failure domains, one is left after the
loss of any and of some more."""
FOLLOW_ALL = 12
"""Entries up to which each follows every partition: passing on would save little."""


class Followers:
    """Chooses followers by rendezvous, over different failure domains first.

    Args:
        name: This process's name.
        presence: Which processes live.
    """

    def __init__(self, name: ProcessName, presence: PresenceTable) -> None:
        self.name = name
        self.presence = presence

    def list_followers(self, part: int) -> list[ProcessName]:
        """Lists the living followers of a partition, the preferred ones first."""
        live = self.presence.list_live()
        is_small = self.presence.count_nodes() <= FOLLOW_ALL
        count = len(live) if is_small else FOLLOWERS
        return choose_followers(part, live, self.presence.get_zone, count)

    def follows(self, part: int) -> bool:
        """Whether this process is to follow a partition."""
        if self.presence.count_nodes() <= FOLLOW_ALL:
            return True
        # Its own records may not have been read back yet.
        live = {*self.presence.list_live(), self.name}
        get_zone = self.presence.get_zone
        chosen = choose_followers(part, sorted(live), get_zone, FOLLOWERS)
        return self.name in chosen


def choose_followers(
    part: int,
    live: list[ProcessName],
    get_zone: Callable[[ProcessName], str],
    count: int,
) -> list[ProcessName]:
    """Chooses the followers of a partition among living processes.

    Args:
        part: The partition.
        live: The living processes.
        get_zone: Gives a process's failure domain.
        count: How many to choose.

    Example:
        >>> zones = {"a1": "a", "a2": "a", "b1": "b"}
        >>> chosen = choose_followers(3, ["a1", "a2", "b1"], zones.get, 2)
        >>> sorted(zones[name] for name in chosen)
        ['a', 'b']
    """
    ranked = sorted(live, key=lambda name: (-compute_score(f"part {part}", name), name))
    taken: dict[str, int] = {}
    rounds: list[tuple[int, int, ProcessName]] = []
    for place, name in enumerate(ranked):
        zone = get_zone(name)
        rounds.append((taken.get(zone, 0), place, name))
        taken[zone] = taken.get(zone, 0) + 1
    return [name for _, _, name in sorted(rounds)[:count]]
