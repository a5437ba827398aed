"""Manages the lease whose holder runs the tasks that only one process may run."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from buckthornstile.base import BuckthornstileError, ErrorCode, ProcessName
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.duties import (
    DUTY_TOPIC,
    DutyRecord,
    DutyState,
    Lease,
    LeaseRecord,
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


RecordT = TypeVar("RecordT", bound=DutyRecord)


@dataclass(frozen=True, slots=True)
class AppendedRecord(Generic[RecordT]):
    """A record that the store has acknowledged.

    Attributes:
        record: The record.
        offset: Its offset in the duty topic.
        sent_at: Clock time in seconds at which it was sent.
    """

    record: RecordT
    offset: int
    sent_at: float


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

    def check_term(self, term: int) -> None:
        """Raises unless this process may still act with a term.

        For ``before_send`` of the holder's calls: the process may have been suspended,
        or have lost the lease, while it opened a connection.

        Raises:
            BuckthornstileError: The lease has expired or has another term.
        """
        if not self.lease.is_held() or self.duty_state.term != term:
            raise BuckthornstileError(
                ErrorCode.LEASE_LOST,
                f"the lease of term {term} was lost before the call was sent",
            )

    def clamp_timeout(self, seconds: float) -> float:
        """Limits a timeout to the remaining time of the lease."""
        return min(seconds, self.lease.get_remaining_time())

    async def keep(self) -> None:
        """Appends the claim or renewal that is due, if any.

        Raises:
            PlatformUnavailableError: The append failed or its outcome is unknown.
        """
        appended = await self.append(self._choose_lease_record)
        if appended is None:
            return
        self.lease.record_acknowledged(
            appended.record, appended.offset, appended.sent_at
        )
        if appended.record.term is None:
            log_event("lease.taken", term=self.duty_state.term)

    async def append(
        self, choose_record: Callable[[], RecordT | None]
    ) -> AppendedRecord[RecordT] | None:
        """Appends a record at the last known end of the duty topic.

        Args:
            choose_record: Returns the record, or None for no append. It is called
                after the wait for other appends of this process: the store compares
                the end offset that was known at the decision, so that a record that
                another process appended since then prevents the append.

        Returns:
            The acknowledged record, or None if there was none to append or the topic
            has grown meanwhile.

        Raises:
            PlatformUnavailableError: The append failed or its outcome is unknown.
        """
        async with self._append_lock:
            record, end_offset = choose_record(), self.duty_state.end_offset
            if record is None:
                return None
            sent_at = self.clock()
            try:
                offset = await self.store.append(
                    DUTY_TOPIC,
                    0,
                    [encode_duty_record(record)],
                    at=end_offset,
                    timeout=APPEND_TIMEOUT,
                )
            except AppendConflictError:
                # The consumer reads the records that were written meanwhile.
                return None
        return AppendedRecord(record, offset, sent_at)

    def _choose_lease_record(self) -> LeaseRecord | None:
        """Returns the claim or renewal that is due, if any."""
        if (
            self.is_leaving
            or not self.consumer.is_loaded
            or self.consumer.get_staleness() > READ_MAX_WAIT + APPEND_TIMEOUT
        ):
            return None
        return self.lease.get_due_record()

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            record = decode_duty_record(data)
        except ValueError as error:
            log_event("duty.record_unreadable", offset=offset, reason=error)
            return
        if isinstance(record, SealRecord) and not record.is_reported:
            self.seal_history.record_new_seal(record.window)
        if isinstance(record, LeaseRecord) and not self.duty_state.accepts(record):
            log_event(
                "lease.renewal_ignored",
                holder=record.holder,
                term=record.term,
                current_term=self.duty_state.term,
            )
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
