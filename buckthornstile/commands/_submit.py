"""Submits configuration changes and reads their results back from the store."""

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
RETRY_DELAY_S = 0.2
"""Delay before the first retry, in seconds; it grows linearly with each retry."""

ChangeFactory = Callable[[Configuration], ConfigurationChange | None]
Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """The result of a submitted change.

    Args:
        revision: Revision that the change created, or the current revision if no
            change was needed.
        offset: Offset in the configuration topic up to which a process must have read
            for the change to be in effect.
        changed: Whether this command changed the configuration.
    """

    revision: Revision
    offset: Offset
    changed: bool


class ConfigurationClient:
    """Reads the configuration from the store and appends changes to it.

    Args:
        store: Client of the store.
        timeout: Timeout of one call to the store, in seconds.
    """

    def __init__(self, store: StoreClient, *, timeout: float = 2.0) -> None:
        self.store = store
        self.timeout = timeout
        self.state = ConfigurationState()
        self.end_offset = 0

    async def read(self) -> Configuration:
        """Reads the latest configuration.

        Raises:
            PlatformUnavailableError: The store did not respond.
            BuckthornstileError: ``CONFIGURATION_INVALID``: a record is malformed.
        """
        while True:
            records, self.end_offset = await self.store.read_latest(
                CONFIGURATION_TOPIC, 0, timeout=self.timeout
            )
            state = ConfigurationState()
            try:
                for record in sorted(records, key=lambda record: record.offset):
                    state.apply(Offset(record.offset), record.key, record.value)
            except ValueError as error:
                raise BuckthornstileError(
                    ErrorCode.CONFIGURATION_INVALID,
                    f"the store holds a malformed configuration record: {error}",
                ) from None
            # The pages are not one snapshot: a change appended between two pages shows
            # up as a record past the end offset, and everything is read again.
            if all(record.offset < self.end_offset for record in records):
                state.commit()
                self.state = state
                return state.current

    async def append(self, change: ConfigurationChange) -> None:
        """Appends a change if the store is unchanged since the last read.

        Raises:
            AppendConflictError: Another record was appended since the last read.
            PlatformUnavailableError: The store rejected the change, or its outcome is
                unknown.
        """
        records = [
            encode_keyed_record(record.key, record.value)
            for record in encode_change(change)
        ]
        await self.store.append(
            CONFIGURATION_TOPIC, 0, records, at=self.end_offset, timeout=self.timeout
        )


async def submit_change(
    client: ConfigurationClient,
    make_change: ChangeFactory,
    *,
    sleep: Sleep = asyncio.sleep,
) -> SubmitResult:
    """Submits a change, with retries, until the store shows its result.

    All attempts have the same change id. If an append timed out but took effect
    later, the next read finds the change by this id, and it is not appended again.

    Args:
        client: Reads the configuration and appends the change.
        make_change: Returns the change for a configuration, or None if no change is
            needed. Raises ``CONFIGURATION_CONFLICT`` if another operator's change
            altered the effect of this one.
        sleep: Waits for the given number of seconds.

    Returns:
        The result of the change.

    Raises:
        BuckthornstileError: The change conflicts with another one or is invalid.
        PlatformUnavailableError: The store did not respond; the attribute
            ``may_have_taken_effect`` shows whether the change may have taken
            effect.
    """
    submission = _Submission(client, make_change)
    last_error: PlatformUnavailableError | None = None
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await sleep(RETRY_DELAY_S * attempt)
        try:
            result = await submission.run()
        except PlatformUnavailableError as error:
            last_error = error
            continue
        if result is not None:
            return result
    if last_error is None:
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_CONFLICT,
            f"other operators' changes were accepted first in {MAX_ATTEMPTS} attempts; "
            "run the command again",
        )
    suffix = "; the change may have taken effect" if submission.may_have_run else ""
    raise PlatformUnavailableError(
        f"{last_error.message}{suffix}", may_have_taken_effect=submission.may_have_run
    )


class _Submission:
    """A change that is submitted, with the state that its attempts share."""

    def __init__(self, client: ConfigurationClient, make_change: ChangeFactory) -> None:
        self.client = client
        self.make_change = make_change
        self.may_have_run = False
        self._submitted: ConfigurationChange | None = None

    async def run(self) -> SubmitResult | None:
        """Makes one attempt; returns None if another change was appended first."""
        current = await self.client.read()
        found = self._find_result()
        if found is not None:
            return found
        change = self.make_change(current)
        if change is None:
            return SubmitResult(current.revision, current.last_offset, False)
        # Raises an error if the change is invalid: an invalid change must not get into
        # the store, since no process could apply it.
        apply_change(current, change, offset=0)
        self._submitted = change
        try:
            await self.client.append(change)
            self.may_have_run = True
        except AppendConflictError:
            return None
        except PlatformUnavailableError as error:
            self.may_have_run |= error.may_have_taken_effect
            raise
        await self.client.read()
        return self._find_result()

    def _find_result(self) -> SubmitResult | None:
        if self._submitted is None:
            return None
        revision = self.client.state.find_revision(self._submitted.change_id)
        if revision is None:
            return None
        return SubmitResult(revision, self.client.state.current.last_offset, True)
