"""What an entry knows of an upstream."""

from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import (
    UNKNOWN_VERSION,
    FailureDomain,
    Incarnation,
    ServiceName,
    UpstreamId,
    WeightVersion,
)
from buckthornstile.wire import Heartbeat


class UpstreamState(Enum):
    """What an agent's heartbeat says of its readiness."""

    SERVING = "serving"
    DRAINING = "draining"
    LOADING = "loading"


@dataclass(slots=True)
class UpstreamView:
    """One upstream, as one entry sees it.

    Args:
        upstream: The upstream.
        service: Its service.
        failure_domain: Where it is.
        heartbeat_at: The clock reading at the last heartbeat, or None.
        state: What the agent said of its readiness.
        limit: Concurrent requests that the agent allows.
        running: Requests at the upstream, by the last heartbeat.
        queued: Requests that wait before a trainer's sample, by the last heartbeat.
        queued_tokens: Their expected work.
        background_tokens: Expected work in the queue that nobody waits on.
        tokens_per_second: The upstream's recent speed.
        version: The weights that it serves.
        engine_incarnation: The life of its engine.
        drained: Whether its failure domain is drained.
        leaving: Whether it stops soon, by the VM list or its own goodbye.
        in_flight: This entry's own open requests there.
        sent: This entry's own requests since the last heartbeat.
        sent_tokens: Their expected work.
        finished: This entry's own requests that ended since the last heartbeat.
        fetched_version: The newest weights that its agent holds whole.

    Example:
        >>> view = UpstreamView("u1", "shop-desk", "bench-a")
        >>> view.is_alive(0.0)
        False
    """

    upstream: UpstreamId
    service: ServiceName
    failure_domain: FailureDomain
    heartbeat_at: float | None = None
    state: UpstreamState = UpstreamState.SERVING
    limit: float = 1.0
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    background_tokens: int = 0
    tokens_per_second: float = 0.0
    version: WeightVersion = UNKNOWN_VERSION
    engine_incarnation: Incarnation = Incarnation("")
    drained: bool = False
    leaving: bool = False
    in_flight: int = 0
    sent: int = 0
    sent_tokens: float = 0.0
    finished: int = 0
    fetched_version: WeightVersion = UNKNOWN_VERSION

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes over what a heartbeat says.

        Args:
            heartbeat: The agent's heartbeat.
            now: The clock reading at its arrival, in seconds.
        """
        self.heartbeat_at = now
        try:
            self.state = UpstreamState(heartbeat.state)
        except ValueError:
            # A newer agent's state that this entry does not know is no promise
            # that the upstream takes work.
            self.state = UpstreamState.DRAINING
        self.limit = heartbeat.limit
        self.running = heartbeat.running
        self.queued = heartbeat.queued
        self.queued_tokens = heartbeat.queued_tokens
        self.background_tokens = heartbeat.background_tokens
        self.tokens_per_second = heartbeat.tokens_per_second
        self.version = heartbeat.version
        self.fetched_version = heartbeat.fetched_version
        self.engine_incarnation = heartbeat.engine_incarnation
        self.sent = 0
        self.finished = 0
        self.sent_tokens = 0.0

    def on_send(self, cost: float) -> None:
        """Notes a request that this entry sends there.

        Args:
            cost: Its expected work, in tokens.
        """
        self.in_flight += 1
        self.sent += 1
        self.sent_tokens += cost

    def on_finish(self) -> None:
        """Notes the end of one of this entry's requests."""
        self.in_flight = max(0, self.in_flight - 1)
        self.finished += 1

    def is_alive(self, now: float, *, timeout: float = 3.0) -> bool:
        """Tells whether a heartbeat came lately.

        Args:
            now: The clock reading, in seconds.
            timeout: Seconds without a heartbeat after which it counts as dead.

        Returns:
            Whether one came within the timeout.
        """
        return self.heartbeat_at is not None and now - self.heartbeat_at <= timeout

    def compute_busy(self, now: float) -> float:
        """Computes the requests that are there now.

        The report counts less as it ages, since the work it tells of ends; the
        entry's own open requests are known and count in full.

        Args:
            now: The clock reading, in seconds.

        Returns:
            Requests at the upstream and in its agent's queue.
        """
        reported = (self.running + self.queued) * self.compute_discount(now)
        return max(reported + self.sent - self.finished, float(self.in_flight))

    def compute_discount(self, now: float) -> float:
        """Computes what the last report still counts for, from 0 to 1."""
        age = 0.0 if self.heartbeat_at is None else max(0.0, now - self.heartbeat_at)
        return 0.5 ** (age / REPORT_HALF_LIFE)


REPORT_HALF_LIFE = 4.0
"""Seconds in which a load report loses half its weight."""
