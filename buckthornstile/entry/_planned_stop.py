"""The planned stop of an entry, which cuts no request that it has read in time."""

import asyncio
from collections.abc import Callable, Sequence

from buckthornstile.entry._http_listener import HTTPListener
from buckthornstile.entry._presence_publisher import PresencePublisher
from buckthornstile.entry._stop_schedule import make_stop_schedule
from buckthornstile.gateway import JobManager, LeaseManager
from buckthornstile.logs import log_event

FINAL_WRITE_TIME = 0.2
"""Seconds for clients to take the errors that end their requests in a stop."""
STOP_POLL_INTERVAL = 0.05
"""Seconds between two checks for open requests and running jobs during a stop."""


class PlannedStop:
    """Stops reading requests, finishes open ones and hands over jobs and the lease.

    Args:
        clock: Returns the time in seconds; must also advance during suspend.
        listeners: All listeners of the entry.
        ready_listener: The one that answers the readiness probes, or None.
        job_manager: Runs the entry's jobs.
        presence_publisher: Tells the other entries that this one is leaving.
        lease_manager: Holds the entry's lease, if it has one.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        listeners: Sequence[HTTPListener],
        ready_listener: HTTPListener | None,
        job_manager: JobManager,
        presence_publisher: PresencePublisher,
        lease_manager: LeaseManager,
    ) -> None:
        self.clock = clock
        self.listeners = listeners
        self.ready_listener = ready_listener
        self.job_manager = job_manager
        self.presence_publisher = presence_publisher
        self.lease_manager = lease_manager

    async def run(self, grace: float) -> None:
        """Carries out the stop.

        Args:
            grace: Seconds from now until the process is killed.
        """
        schedule = make_stop_schedule(self.clock(), grace)
        log_event("process.drain", open=self._count_open_requests())
        await self._hand_over()
        await asyncio.sleep(schedule.reading_ends - self.clock())
        # However long the open requests take, those that are read last must have time.
        for listener in self.listeners:
            listener.stop_reading()
        await self._wait_until_idle(schedule.work_ends)
        log_event("process.drained", open=self._count_open_requests())
        for listener in self.listeners:
            listener.abort_open_requests()
        await self._wait_until_idle(self.clock() + FINAL_WRITE_TIME)
        await self.presence_publisher.publish()
        for listener in self.listeners:
            await listener.close()

    async def _hand_over(self) -> None:
        """Gives the entry's jobs and lease to the other entries."""
        self.presence_publisher.is_leaving = True
        self.job_manager.is_leaving = True
        self.lease_manager.is_leaving = True
        for listener in self.listeners:
            if listener is not self.ready_listener:
                listener.start_draining()
        await self.job_manager.checkpoint_all()
        await self.presence_publisher.publish()

    def _count_open_requests(self) -> int:
        return sum(listener.open_request_count for listener in self.listeners)

    async def _wait_until_idle(self, latest: float) -> None:
        """Waits until no request is open and no job runs, or until a clock reading."""
        while self.clock() < latest:
            if not self._count_open_requests() + self.job_manager.count_running():
                return
            await asyncio.sleep(STOP_POLL_INTERVAL)
