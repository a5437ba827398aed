"""Runs the duties that one process performs for all."""

import asyncio
from collections.abc import Callable, Coroutine

from buckthornstile.base import BuckthornstileError
from buckthornstile.gateway._lease_manager import LeaseManager
from buckthornstile.gateway._model_load_dispatcher import ModelLoadDispatcher
from buckthornstile.gateway._usage_reporter import UsageReporter
from buckthornstile.logs import log_event

TICK = 0.1
"""Seconds between two looks at what is due."""


class LeaseHolderTasks:
    """Keeps the lease and, while it is held, performs the duties.

    Args:
        lease_manager: Keeps the lease.
        load_dispatcher: Orders loads of weights.
        usage_reporter: Reports usage; None where the platform takes no reports.
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
        """Performs the duties until cancelled."""
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
        await asyncio.sleep(TICK)
