"""The upstreams that an entry knows, and its links to their agents."""

import asyncio
from collections.abc import Callable, Iterable

from buckthornstile.base import (
    FailureDomain,
    ProcessName,
    Role,
    ServiceName,
    UpstreamId,
)
from buckthornstile.configuration import Configuration
from buckthornstile.entry._links import AgentLink, LinkOwner
from buckthornstile.ports import Vm, VmState
from buckthornstile.routing import (
    Candidate,
    UpstreamView,
    choose_subset,
    compute_score,
)

HOME_CANDIDATES = 2


class Fleet:
    """Keeps links to a subset of the agents that the VM list names.

    A VM that the list drops keeps its link while its agent still answers: the
    list lags, and a list that comes back empty must not end service.

    Args:
        owner: The entry.
        subset_size: Upstreams to connect to; 0 for all.
        on_change: Called with a sentence for each change of state.
    """

    def __init__(
        self,
        owner: LinkOwner,
        *,
        subset_size: int,
        on_change: Callable[[str, UpstreamId], None],
    ) -> None:
        self.owner = owner
        self.subset_size = subset_size
        self.on_change = on_change
        self.links: dict[UpstreamId, AgentLink] = {}
        self.vms: dict[UpstreamId, Vm] = {}
        self.entries: tuple[ProcessName, ...] = ()
        self.failure_domains: frozenset[FailureDomain] = frozenset()
        self._members: dict[ServiceName, frozenset[UpstreamId]] = {}
        self._members_since: dict[ServiceName, float] = {}
        self._wanted: frozenset[UpstreamId] = frozenset()

    def on_vm_list(self, vms: Iterable[Vm]) -> None:
        """Takes in the platform's list."""
        vms = tuple(vms)
        self.entries = tuple(sorted(vm.process for vm in vms if vm.role is Role.ENTRY))
        self.failure_domains = frozenset(vm.failure_domain for vm in vms)
        self.vms = {vm.upstream: vm for vm in vms if vm.role is Role.AGENT}
        self._note_members()
        self._wanted = self._choose_wanted()
        for upstream in self._wanted:
            self.open_link(upstream)
        for upstream, link in list(self.links.items()):
            self._update_link(upstream, link)

    def _note_members(self) -> None:
        """Remembers since when each service has had the same upstreams."""
        now = self.owner.read_clock()
        members: dict[ServiceName, set[UpstreamId]] = {}
        for vm in self.vms.values():
            members.setdefault(vm.service, set()).add(vm.upstream)
        for service in set(members) | set(self._members):
            current = frozenset(members.get(service, ()))
            if self._members.get(service) != current:
                self._members[service] = current
                self._members_since[service] = now

    def _choose_wanted(self) -> frozenset[UpstreamId]:
        candidates = [
            Candidate(vm.upstream, vm.service, vm.failure_domain)
            for vm in self.vms.values()
            if vm.state is VmState.LIVE
        ]
        size = self.subset_size or len(candidates)
        chosen = choose_subset(self.owner.identity.process, candidates, size=size)
        return frozenset(candidate.upstream for candidate in chosen)

    def open_link(self, upstream: UpstreamId) -> AgentLink | None:
        """Gives the link to an upstream's agent, and begins one if needed.

        Args:
            upstream: The upstream, also one outside the subset.

        Returns:
            The link, or None if the VM list does not name the upstream.
        """
        link = self.links.get(upstream)
        vm = self.vms.get(upstream)
        if vm is None or (link is not None and _is_same_place(link.vm, vm)):
            return link
        if link is not None:
            link.stop()
        view = UpstreamView(upstream, vm.service, vm.failure_domain)
        link = AgentLink(self.owner, vm, view)
        self.links[upstream] = link
        link.start()
        return link

    def _update_link(self, upstream: UpstreamId, link: AgentLink) -> None:
        vm = self.vms.get(upstream)
        if vm is None:
            if not link.is_up:
                link.stop()
                del self.links[upstream]
            return
        leaving = vm.state is VmState.LEAVING
        if leaving and not link.view.leaving:
            self.on_change("the VM list says that the VM leaves", upstream)
        link.view.leaving = link.view.leaving or leaving

    def apply_configuration(self, configuration: Configuration) -> None:
        """Marks the upstreams of drained failure domains."""
        for upstream, link in self.links.items():
            drained = configuration.is_drained(link.view.failure_domain)
            if drained != link.view.drained:
                change = "drained" if drained else "restored"
                self.on_change(f"the failure domain is {change}", upstream)
            link.view.drained = drained

    def list_views(self) -> list[UpstreamView]:
        """Lists what is known of the upstreams."""
        return [link.view for link in self.links.values()]

    def list_peers(self, service: ServiceName) -> list[UpstreamId]:
        """Lists the upstreams of a service that this entry connects to."""
        return [
            link.view.upstream
            for link in self.links.values()
            if link.view.service == service
        ]

    def list_homes(self, service: ServiceName, key: str) -> list[UpstreamId]:
        """Lists the upstreams at which a call's attempts may be recorded.

        All entries rank the whole VM list alike, whatever their subsets. The
        first attempt goes to the home, or to its deputy while the home cannot
        be reached; nowhere else.

        Args:
            service: The call's service.
            key: The client account and idempotency key, joined.

        Returns:
            The home and its deputy, as far as there are any.
        """
        members = self._members.get(service, frozenset())
        ranked = sorted(
            members, key=lambda name: (compute_score(key, name), name), reverse=True
        )
        return ranked[:HOME_CANDIDATES]

    def get_stable_seconds(self, service: ServiceName) -> float:
        """Gives the seconds since the service's upstreams last changed."""
        since = self._members_since.get(service)
        return 0.0 if since is None else self.owner.read_clock() - since

    def broadcast_heartbeat(self) -> None:
        """Sends a heartbeat to every connected agent, and drops silent ones."""
        heartbeat = self.owner.make_heartbeat()
        now = self.owner.read_clock()
        for link in self.links.values():
            link.close_if_silent(now)
            link.send(heartbeat)

    def broadcast_configuration(self) -> None:
        """Passes a new configuration on at once, without waiting for heartbeats."""
        self.broadcast_heartbeat()

    async def send_heartbeats(self, interval: float) -> None:
        """Sends heartbeats again and again.

        Args:
            interval: Seconds between two heartbeats.
        """
        while True:
            await asyncio.sleep(interval)
            self.broadcast_heartbeat()

    def stop(self) -> None:
        """Ends all links."""
        for link in self.links.values():
            link.stop()


def _is_same_place(earlier: Vm, now: Vm) -> bool:
    return (earlier.address, earlier.port) == (now.address, now.port)
