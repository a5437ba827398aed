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
from buckthornstile.commands._log_reader import LogReader
from buckthornstile.configuration import Configuration, apply_change
from buckthornstile.records import ConfigurationChange, encode_record

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


async def submit_change(
    reader: LogReader, make_change: MakeChange, *, sleep: Sleep = asyncio.sleep
) -> SubmitResult:
    """Submits a change until the log shows that it was accepted or rejected.

    Every attempt carries the same change id, so an append that timed out and took
    effect later is harmless.

    Args:
        reader: The log's reader.
        make_change: Works out the change for a configuration; gives None if it is
            in force already, and raises ``CONFIGURATION_CONFLICT`` if another
            operator's change has altered what it would do.
        sleep: Waits that many seconds.

    Returns:
        What became of it.

    Raises:
        BuckthornstileError: It conflicts or is invalid.
        PlatformUnavailableError: The platform did not answer; the change may have
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

    def __init__(self, reader: LogReader, make_change: MakeChange) -> None:
        self.reader = reader
        self.make_change = make_change
        self.may_have_run = False
        self._made: ConfigurationChange | None = None

    async def run(self) -> SubmitResult | None:
        """Gives what became of the change, or None if another was first."""
        current = await self.reader.read_to_end()
        found = self._find_result()
        if found is not None:
            return found
        change = self.make_change(current)
        if change is None:
            return SubmitResult(current.revision, current.through, False)
        # The log need not hold what every reader will reject.
        apply_change(current, change, offset=0)
        self._made = change
        await self._append(encode_record(change))
        await self.reader.read_to_end()
        return self._find_result()

    async def _append(self, data: bytes) -> None:
        try:
            await self.reader.log.append(data)
            self.may_have_run = True
        except PlatformUnavailableError as error:
            self.may_have_run |= error.may_have_taken_effect
            raise

    def _find_result(self) -> SubmitResult | None:
        if self._made is None:
            return None
        revision = self.reader.fold.find_change(self._made.change_id)
        if revision is None:
            return None
        history = self.reader.list_history()
        offsets = [made.offset for made in history if made.revision == revision]
        offset = offsets[-1] if offsets else self.reader.current.through
        return SubmitResult(revision, offset, True)
