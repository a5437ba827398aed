"""Appends a change and answers only after reading back what became of it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Offset,
    PlatformUnavailableError,
    Revision,
)
from buckthornstile.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationState,
    apply_change,
    encode_change,
)
from buckthornstile.platform import (
    CONFIGURATION_TOPIC,
    AppendConflictError,
    StoreClient,
    encode_keyed_record,
)

MAX_ATTEMPTS = 5
PAUSE = 0.2
"""Time between two attempts, in seconds."""

MakeChange = Callable[[Configuration], ConfigurationChange | None]
Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """What became of a change.

    Args:
        revision: The revision that it made, or that already held it.
        offset: The offset from which on it is in force.
        changed: Whether this command made it.
    """

    revision: Revision
    offset: Offset
    changed: bool


class ConfigurationClient:
    """Reads the configuration as the store holds it.

    Args:
        store: The store.
        timeout: Seconds for one call.
    """

    def __init__(self, store: StoreClient, *, timeout: float = 2.0) -> None:
        self.store = store
        self.timeout = timeout
        self.state = ConfigurationState()
        self.end_offset = 0

    async def read(self) -> Configuration:
        """Reads the newest configuration.

        Raises:
            PlatformUnavailableError: The store did not answer.
            BuckthornstileError: ``CONFIGURATION_INVALID``: a record is malformed.
        """
        while True:
            records, self.end_offset = await self.store.read_latest(
                CONFIGURATION_TOPIC, 0, timeout=self.timeout
            )
            fold = ConfigurationState()
            try:
                for record in sorted(records, key=lambda one: one.offset):
                    fold.apply(Offset(record.offset), record.key, record.value)
            except ValueError as error:
                raise BuckthornstileError(
                    ErrorCode.CONFIGURATION_INVALID,
                    f"the store holds a malformed record: {error}",
                ) from None
            # Pages are no snapshot: a change between them shows as a later record.
            if all(record.offset < self.end_offset for record in records):
                fold.commit()
                self.state = fold
                return fold.current

    async def append(self, change: ConfigurationChange) -> None:
        """Appends a change, if the store stands as it was read.

        Raises:
            AppendConflictError: It does not.
            PlatformUnavailableError: The outcome is not known, or it was refused.
        """
        records = [
            encode_keyed_record(record.key, record.value)
            for record in encode_change(change)
        ]
        await self.store.append(
            CONFIGURATION_TOPIC, 0, records, at=self.end_offset, timeout=self.timeout
        )


async def submit_change(
    reader: ConfigurationClient,
    make_change: MakeChange,
    *,
    sleep: Sleep = asyncio.sleep,
) -> SubmitResult:
    """Submits a change until the store shows that it was accepted or refused.

    Every attempt carries the same change id, so an append that timed out and took
    effect later is found by the next reading.

    Args:
        reader: Reads the store and appends to it.
        make_change: Works out the change for a configuration; gives None if it is
            in force already, and raises ``CONFIGURATION_CONFLICT`` if another
            operator's change has altered what it would do.
        sleep: Waits that many seconds.

    Returns:
        What became of it.

    Raises:
        BuckthornstileError: It conflicts or is invalid.
        PlatformUnavailableError: The store did not answer; the change may have
            taken effect if ``may_have_taken_effect`` says so.
    """
    attempt = _Attempt(reader, make_change)
    last_error: PlatformUnavailableError | None = None
    for number in range(MAX_ATTEMPTS):
        if number:
            await sleep(PAUSE * number)
        try:
            result = await attempt.run()
        except PlatformUnavailableError as error:
            last_error = error
            continue
        if result is not None:
            return result
    if last_error is None:
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_CONFLICT,
            f"other operators were first {MAX_ATTEMPTS} times; run the command again",
        )
    suffix = "; the change may have taken effect" if attempt.may_have_run else ""
    raise PlatformUnavailableError(
        f"{last_error.message}{suffix}", may_have_taken_effect=attempt.may_have_run
    )


class _Attempt:
    """One change over all its attempts."""

    def __init__(self, reader: ConfigurationClient, make_change: MakeChange) -> None:
        self.reader = reader
        self.make_change = make_change
        self.may_have_run = False
        self._made: ConfigurationChange | None = None

    async def run(self) -> SubmitResult | None:
        """Gives what became of the change, or None if another was first."""
        current = await self.reader.read()
        found = self._find_result()
        if found is not None:
            return found
        change = self.make_change(current)
        if change is None:
            return SubmitResult(current.revision, current.last_offset, False)
        # The store must not hold what no reader could put in force.
        apply_change(current, change, offset=0)
        self._made = change
        try:
            await self.reader.append(change)
            self.may_have_run = True
        except AppendConflictError:
            return None
        except PlatformUnavailableError as error:
            self.may_have_run |= error.may_have_taken_effect
            raise
        await self.reader.read()
        return self._find_result()

    def _find_result(self) -> SubmitResult | None:
        if self._made is None:
            return None
        revision = self.reader.state.find_revision(self._made.change_id)
        if revision is None:
            return None
        return SubmitResult(revision, self.reader.state.current.last_offset, True)
