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
from buckthornstile.entry._link_owner import LinkOwner
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._replies import handle_reply
from buckthornstile.ports import Vm, VmState
from buckthornstile.routing import (
    Candidate,
    UpstreamView,
    choose_subset,
    compute_score,
)

HOME_CANDIDATES = 2
FORGET_SECONDS = 30.0
"""Seconds for which a VM that the list has dropped is dialled again."""
FRESH_POLL_SECONDS = 0.02


class Fleet:
    """Keeps links to a subset of the agents that the VM list names.

    A VM that the list drops keeps its link while its agent still answers: the
    list lags, and a list that comes back empty must not end service.

    Args:
        owner: The entry.
        subset_size: Upstreams to connect to; 0 for all.
        on_change: Called with a sentence for each change of state.
        maximum_list_age: Seconds after the last attempt to read the VM list
            from which on this process must have been paused.
    """

    def __init__(
        self,
        owner: LinkOwner,
        *,
        subset_size: int,
        on_change: Callable[[str, UpstreamId], None],
        maximum_list_age: float = float("inf"),
    ) -> None:
        self.owner = owner
        self.subset_size = subset_size
        self.on_change = on_change
        self.maximum_list_age = maximum_list_age
        self._list_tried_at = owner.read_clock()
        self.links: dict[UpstreamId, AgentLink] = {}
        self.vms: dict[UpstreamId, Vm] = {}
        self.entries: tuple[ProcessName, ...] = ()
        self.failure_domains: frozenset[FailureDomain] = frozenset()
        self._members: dict[ServiceName, frozenset[UpstreamId]] = {}
        self._members_since: dict[ServiceName, float] = {}
        self._wanted: frozenset[UpstreamId] = frozenset()
        self._listed: tuple[Vm, ...] | None = None

    def on_vm_list(self, vms: Iterable[Vm]) -> None:
        """Takes in the platform's list."""
        vms = tuple(vms)
        names_agents = any(vm.role is Role.AGENT for vm in vms)
        if not names_agents and any(link.is_up for link in self.links.values()):
            # Agents that answer prove that the list is at fault.
            return
        if vms != self._listed:
            self._listed = vms
            self._take_in(vms)
        for upstream in self._wanted:
            self.open_link(upstream)
        for upstream, link in list(self.links.items()):
            self._update_link(upstream, link)

    def _take_in(self, vms: tuple[Vm, ...]) -> None:
        self.entries = tuple(sorted(vm.process for vm in vms if vm.role is Role.ENTRY))
        self.failure_domains = frozenset(vm.failure_domain for vm in vms)
        self.vms = {vm.upstream: vm for vm in vms if vm.role is Role.AGENT}
        self._note_members()
        self._wanted = self._choose_wanted()

    def on_list_tried(self) -> None:
        """Notes that the VM list was asked for, whether or not it answered."""
        self._list_tried_at = self.owner.read_clock()

    @property
    def is_stale(self) -> bool:
        """Whether this process was paused and has not read the VM list since.

        Upstreams may have begun to leave meanwhile, so nothing is sent yet.
        """
        age = self.owner.read_clock() - self._list_tried_at
        return age > self.maximum_list_age

    async def wait_fresh(self) -> None:
        """Waits, after a pause, for the next attempt to read the VM list."""
        while self.is_stale:
            await asyncio.sleep(FRESH_POLL_SECONDS)

    def _note_members(self) -> None:
        """Remembers since when each service has had the same upstreams.

        A list without any agent is no news of them: the former members stay the
        homes of calls, but cannot be proved to be those of other entries.
        """
        if not self.vms:
            return
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
        link = AgentLink(self.owner, vm, view, on_message=handle_reply)
        self.links[upstream] = link
        link.start()
        return link

    def _update_link(self, upstream: UpstreamId, link: AgentLink) -> None:
        vm = self.vms.get(upstream)
        if vm is None:
            silent = self.owner.read_clock() - link.heard_at
            if not link.is_up and silent > FORGET_SECONDS:
                link.stop()
                del self.links[upstream]
            return
        if vm.state is VmState.LEAVING and not link.view.leaving:
            self.on_change("the VM list says that the VM leaves", upstream)
        if _is_same_place(link.vm, vm):
            link.vm = vm
        link.update_leaving()

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
        """Gives the seconds since the service's upstreams last changed.

        While the VM list is empty they are not known to be stable at all.
        """
        since = self._members_since.get(service)
        if since is None or not self.vms:
            return 0.0
        return self.owner.read_clock() - since

    def broadcast_heartbeat(self) -> None:
        """Sends a heartbeat to every connected agent, and drops silent ones."""
        heartbeat = self.owner.make_heartbeat()
        now = self.owner.read_clock()
        for link in self.links.values():
            link.close_if_silent(now)
            link.send(heartbeat)
            link.ask_outcomes()

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
