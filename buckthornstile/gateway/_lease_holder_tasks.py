"""Runs the tasks that only the holder of the lease may perform."""

import asyncio
from collections.abc import Callable, Coroutine

from buckthornstile.base import BuckthornstileError
from buckthornstile.gateway._lease_manager import LeaseManager
from buckthornstile.gateway._model_load_dispatcher import ModelLoadDispatcher
from buckthornstile.gateway._usage_reporter import UsageReporter
from buckthornstile.logs import log_event

TASK_INTERVAL = 0.1
"""Seconds between two calls of a task."""


class LeaseHolderTasks:
    """Renews the lease and, while this process holds it, performs the tasks.

    Args:
        lease_manager: Claims and renews the lease.
        load_dispatcher: Sends orders to load model versions.
        usage_reporter: Reports usage; None if the platform accepts no reports.
    """

    def __init__(
        self,
        lease_manager: LeaseManager,
        load_dispatcher: ModelLoadDispatcher,
        usage_reporter: UsageReporter | None,
    ) -> None:
        self.lease_manager = lease_manager
        self.load_dispatcher = load_dispatcher
        self.usage_reporter = usage_reporter

    async def run(self) -> None:
        """Runs the tasks periodically until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.lease_manager.consumer.run())
            group.create_task(_repeat(self.lease_manager.keep))
            group.create_task(_repeat(self.load_dispatcher.order))
            if self.usage_reporter is not None:
                group.create_task(_repeat(self.usage_reporter.report))


async def _repeat(step: Callable[[], Coroutine[None, None, None]]) -> None:
    while True:
        try:
            await step()
        except BuckthornstileError as error:
            log_event("duty.step_failed", step=step.__name__, reason=error.message)
        await asyncio.sleep(TASK_INTERVAL)
