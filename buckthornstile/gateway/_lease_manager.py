"""Manages the lease whose holder runs the tasks that only one process may run."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import ProcessName
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.duties import (
    DUTY_TOPIC,
    DutyRecord,
    DutyState,
    Lease,
    SealHistory,
    SealRecord,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import AppendConflictError, StoreClient

READ_MAX_WAIT = 0.5
"""Seconds for which the store may hold a read of the duty topic (long poll)."""
APPEND_TIMEOUT = 0.6
"""Seconds for one append to the duty topic."""
MIN_REMAINING_TIME = 0.15
"""Seconds that the lease must still last for a call to be started."""


class LeaseManager:
    """Consumes the duty topic, and claims and renews the lease.

    Args:
        name: Name of this process.
        store: Client of the store.
        clock: Returns the time in seconds; must also advance during suspend.
        turn_bound: Seconds within which the lease must not pass to another process
            and back.
    """

    def __init__(
        self,
        name: ProcessName,
        *,
        store: StoreClient,
        clock: Callable[[], float],
        turn_bound: float,
    ) -> None:
        self.name = name
        self.store = store
        self.clock = clock
        self.duty_state = DutyState(clock)
        self.lease = Lease(name, self.duty_state, clock=clock, turn_bound=turn_bound)
        self.seal_history = SealHistory()
        self.is_leaving = False
        self.consumer = PartitionConsumer(
            store,
            DUTY_TOPIC,
            0,
            clock=clock,
            max_wait=READ_MAX_WAIT,
            on_raw_record=self._apply,
            on_caught_up=self._on_caught_up,
            on_loss=self._on_loss,
        )
        self._reconnected_at = -1e9
        self._append_lock = asyncio.Lock()

    def can_act(self) -> bool:
        """Whether this process holds the lease for long enough to start a call."""
        return (
            self.lease.is_held()
            and self.lease.get_remaining_time() > MIN_REMAINING_TIME
        )

    def clamp_timeout(self, seconds: float) -> float:
        """Limits a timeout to the remaining time of the lease."""
        return min(seconds, self.lease.get_remaining_time())

    async def keep(self) -> None:
        """Appends the claim or renewal that is due, if any.

        Raises:
            PlatformUnavailableError: The append failed or its outcome is unknown.
        """
        if (
            not self.consumer.is_loaded
            or self.consumer.get_staleness() > READ_MAX_WAIT + APPEND_TIMEOUT
        ):
            return
        record = None if self.is_leaving else self.lease.get_due_record()
        if record is None:
            return
        sent_at = self.clock()
        offset = await self.append(record)
        if offset is None:
            return
        self.lease.record_acknowledged(record, offset, sent_at)
        if record.term is None:
            log_event("lease.taken", term=self.duty_state.term)

    async def append(self, record: DutyRecord) -> int | None:
        """Appends a record at the last known end of the duty topic.

        Returns:
            The offset of the record, or None if the topic has grown meanwhile.

        Raises:
            PlatformUnavailableError: The append failed or its outcome is unknown.
        """
        async with self._append_lock:
            try:
                return await self.store.append(
                    DUTY_TOPIC,
                    0,
                    [encode_duty_record(record)],
                    at=self.duty_state.end_offset,
                    timeout=APPEND_TIMEOUT,
                )
            except AppendConflictError:
                # The consumer reads the records that were written meanwhile.
                return None

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            record = decode_duty_record(data)
        except ValueError as error:
            log_event("duty.record_unreadable", offset=offset, reason=error)
            return
        if isinstance(record, SealRecord) and not record.is_reported:
            self.seal_history.record_new_seal(record.window)
        previous_holder = self.duty_state.holder
        self.duty_state.apply(offset, record)
        if self.duty_state.holder != previous_holder:
            log_event(
                "lease.holder", holder=self.duty_state.holder, term=self.duty_state.term
            )

    def _on_loss(self) -> None:
        # The holder knows all seals: nobody else seals while it holds the lease.
        if not self.lease.is_held():
            self.seal_history.record_loss(self.clock())

    def _on_caught_up(self) -> None:
        self.duty_state.end_offset = max(
            self.duty_state.end_offset, self.consumer.end_offset
        )
        if self.consumer.reconnected_at > self._reconnected_at:
            self._reconnected_at = self.consumer.reconnected_at
            self.duty_state.reset_last_record_at()
