"""Keeps this process's lease of the duties that one process performs for all."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import ProcessName
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.duties import (
    DUTY_TOPIC,
    DutyRecord,
    DutyState,
    Lease,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import AppendConflictError, StoreClient

DUTY_WAIT = 0.5
"""Seconds that a read of the duties' topic is held."""
APPEND_TIMEOUT = 0.6
MIN_TIME_LEFT = 0.15
"""Seconds of the lease that must be left to begin a call."""


class LeaseManager:
    """Follows the duties' topic, and claims and renews the lease.

    Args:
        name: This process's name.
        store: The store.
        clock: The time in seconds; it must go on while suspended.
        turn_bound: Seconds in which the holder may not change there and back.
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
        self.is_leaving = False
        self.consumer = PartitionConsumer(
            store,
            DUTY_TOPIC,
            0,
            clock=clock,
            max_wait=DUTY_WAIT,
            on_raw_record=self._apply,
            on_caught_up=self._note_read,
        )
        self._returned_at = -1e9
        self._writing = asyncio.Lock()

    def may_act(self) -> bool:
        """Whether enough of the lease is left to begin a call."""
        return self.lease.is_held() and self.lease.get_remaining_time() > MIN_TIME_LEFT

    def bound(self, seconds: float) -> float:
        """Bounds a time-out by what is left of the lease."""
        return min(seconds, self.lease.get_remaining_time())

    async def keep(self) -> None:
        """Appends the claim or renewal that is due, if any.

        Raises:
            PlatformUnavailableError: The store did not take it, or gave no answer.
        """
        if (
            not self.consumer.is_loaded
            or self.consumer.get_staleness() > DUTY_WAIT + APPEND_TIMEOUT
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
        """Appends a record at the end that is known; None if that has moved on.

        Raises:
            PlatformUnavailableError: The store did not take it, or gave no answer.
        """
        async with self._writing:
            try:
                return await self.store.append(
                    DUTY_TOPIC,
                    0,
                    [encode_duty_record(record)],
                    at=self.duty_state.end_offset,
                    timeout=APPEND_TIMEOUT,
                )
            except AppendConflictError:
                # The tail shows what was written meanwhile.
                return None

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            record = decode_duty_record(data)
        except ValueError as error:
            log_event("duty.record_unreadable", offset=offset, reason=error)
            return
        before = self.duty_state.holder
        self.duty_state.apply(offset, record)
        if self.duty_state.holder != before:
            log_event(
                "lease.holder", holder=self.duty_state.holder, term=self.duty_state.term
            )

    def _note_read(self) -> None:
        self.duty_state.end_offset = max(
            self.duty_state.end_offset, self.consumer.end_offset
        )
        if self.consumer.reconnected_at > self._returned_at:
            self._returned_at = self.consumer.reconnected_at
            self.duty_state.reset_last_record_at()
