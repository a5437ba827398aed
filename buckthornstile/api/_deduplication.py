"""At most one run of a non-idempotent call, whichever entries its attempts reach.

Before a call runs, its entry appends a claim under a producer of the call's own name
with the next sequence number. The store takes one claim for each number and answers a
later one as a repeat, with the first one's offset; whose record stands there has the
call. A call that was certainly not run is released by the number that follows, and
may be claimed again with the one after.
"""

import asyncio
import hashlib
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    PlatformUnavailableError,
    Verdict,
)
from buckthornstile.logs import log_event
from buckthornstile.messages import Response
from buckthornstile.platform import (
    AppendConflictError,
    OffsetOutOfRangeError,
    Producer,
    StoreClient,
)
from buckthornstile.routing import compute_rendezvous_score

GENERATED_KEY_PREFIX = "auto-"
"""Begins the keys that the library makes for calls without one of their own."""
CALL_TOPIC = "calls"
EPOCH = 1
MAX_CLAIMS = 16
"""Times that one call may be released and claimed again."""
CLAIM_TRIES = 3
"""Sends of one append without an answer before the call is refused."""
KEPT_ANSWERS = 4096
KEPT_BYTES = 16 << 20
"""Bytes of answers that are kept for attempts that come again."""
NAME_BYTES = 16
TOKEN_BYTES = 8


@dataclass(slots=True)
class _Kept:
    """An answer that is kept, or the run that will make it."""

    task: "asyncio.Task[Response]"
    size: int = 0


class CallDeduplicator:
    """Runs each named call at most once.

    Args:
        store: The store.
        parts: Partitions of a topic.
    """

    def __init__(self, store: StoreClient, *, parts: int) -> None:
        self.store = store
        self.parts = parts
        self._kept: OrderedDict[str, _Kept] = OrderedDict()
        self._kept_bytes = 0

    async def run(
        self,
        account: AccountId,
        key: IdempotencyKey,
        work: Callable[[], Awaitable[Response]],
    ) -> Response:
        """Runs a call, or gives the answer of the run that it had here.

        Args:
            account: The client account.
            key: The caller's name for the call. One that the library made for a
                single call is claimed in no store: no other process knows it.
            work: Runs it. An error with the verdict NOT_RUN releases the call.

        Raises:
            BuckthornstileError: What the run raised; ``DUPLICATE_IN_FLIGHT``, if
                another attempt has run it or may have; ``PLATFORM_UNAVAILABLE`` if
                the store cannot say.
        """
        name = make_call_name(account, key)
        kept = self._kept.get(name)
        if kept is None:
            is_generated = key.startswith(GENERATED_KEY_PREFIX)
            running = work() if is_generated else self._run_first(name, work)
            task = asyncio.ensure_future(running)
            kept = self._kept[name] = _Kept(task)
            task.add_done_callback(lambda done: self._note_end(name, done))
        # The caller of one attempt may leave while another waits for the same run.
        return await asyncio.shield(kept.task)

    async def _run_first(
        self, name: str, work: Callable[[], Awaitable[Response]]
    ) -> Response:
        sequence = await self.claim(name)
        try:
            return await work()
        except BuckthornstileError as error:
            if error.verdict is Verdict.NOT_RUN:
                await self.release(name, sequence)
            raise

    def _note_end(self, name: str, task: "asyncio.Task[Response]") -> None:
        kept = self._kept.get(name)
        if kept is None:
            return
        error = None if task.cancelled() else task.exception()
        is_open = isinstance(error, BuckthornstileError) and (
            error.verdict is Verdict.NOT_RUN
        )
        if task.cancelled() or is_open:
            del self._kept[name]
            return
        kept.size = len(task.result().body) if error is None else 0
        self._kept_bytes += kept.size
        while len(self._kept) > KEPT_ANSWERS or self._kept_bytes > KEPT_BYTES:
            oldest = next((one for one in self._kept.values() if one.task.done()), None)
            if oldest is None:
                return
            names = [name for name, one in self._kept.items() if one is oldest]
            self._kept_bytes -= oldest.size
            del self._kept[names[0]]

    # Claims

    async def claim(self, name: str) -> int:
        """Claims a call, and gives the claim's sequence number.

        Raises:
            BuckthornstileError: Another attempt has it, or the store cannot say.
        """
        token = secrets.token_bytes(TOKEN_BYTES)
        sequence = 0
        while sequence < 2 * MAX_CLAIMS:
            try:
                offset = await self._append(name, sequence, token)
            except AppendConflictError as error:
                # An even number is free; before an odd one an earlier claim stands.
                if error.expected % 2 or error.expected <= sequence:
                    break
                sequence = error.expected
                continue
            if await self._read(name, offset) == token:
                return sequence
            sequence += 2
        log_event("call.claimed_elsewhere", call=name)
        raise BuckthornstileError(
            ErrorCode.DUPLICATE_IN_FLIGHT,
            "another attempt of this call has run it, or may have",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def release(self, name: str, sequence: int) -> None:
        """Lets a call that was certainly not run be claimed again."""
        try:
            await self._append(name, sequence + 1, b"released")
        except BuckthornstileError as error:
            log_event("call.release_failed", call=name, reason=error.message)

    async def _append(self, name: str, sequence: int, record: bytes) -> int:
        """Appends a record, again if there is no answer: a repeat changes nothing."""
        producer = Producer(name, EPOCH, sequence)
        for left in reversed(range(CLAIM_TRIES)):
            try:
                return await self.store.append(
                    CALL_TOPIC, self._find_part(name), [record], producer=producer
                )
            except PlatformUnavailableError as error:
                if not left:
                    raise self._make_unavailable() from error
        raise self._make_unavailable()

    async def _read(self, name: str, offset: int) -> bytes | None:
        """Reads the record at an offset; None if it is not kept any more."""
        try:
            data = await self.store.read(CALL_TOPIC, self._find_part(name), offset)
        except OffsetOutOfRangeError:
            return None
        except PlatformUnavailableError as error:
            raise self._make_unavailable() from error
        found = dict(data.records)
        return found.get(offset)

    def _find_part(self, name: str) -> int:
        return compute_rendezvous_score("call", name) % self.parts

    def _make_unavailable(self) -> BuckthornstileError:
        return BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            "the store cannot say whether this call has run before",
            verdict=Verdict.MAY_HAVE_RUN,
        )


def make_call_name(account: AccountId, key: IdempotencyKey) -> str:
    """Makes the name under which a call is claimed.

    Example:
        >>> make_call_name("mill-7", "k") == make_call_name("mill-8", "k")
        False
    """
    text = f"{account}\x00{key}".encode()
    return hashlib.blake2b(text, digest_size=NAME_BYTES).hexdigest()
