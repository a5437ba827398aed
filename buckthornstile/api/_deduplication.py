"""Execution of a non-idempotent call at most once, whichever entries receive it.

Before a call runs, its entry appends a claim to the store with the digest of the call
as the producer id and the next even sequence number. The store keeps one record for
each sequence number. For a duplicate it returns the offset of the first record, and the
entry whose record is at that offset owns the call. A call that was certainly not run is
released by a record with the next, odd sequence number, and may then be claimed again.
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
"""Prefix of the idempotency keys that the client library generates."""
CALL_TOPIC = "calls"
PRODUCER_EPOCH = 1
MAX_CLAIMS = 16
"""Maximum number of times that one call may be claimed."""
MAX_APPEND_ATTEMPTS = 3
"""Number of failed appends of a record after which the call is rejected."""
MAX_CACHED_RESPONSES = 4096
"""Maximum number of runs whose outcome is cached for retries."""
MAX_CACHED_BYTES = 16 << 20
"""Maximum total size of the responses that are cached for retries."""
CALL_DIGEST_BYTES = 16
CLAIM_TOKEN_BYTES = 8


@dataclass(slots=True)
class _CachedRun:
    """A task that runs or has run a call, and the size of its response in bytes."""

    task: "asyncio.Task[Response]"
    size: int = 0


class CallDeduplicator:
    """Runs each call with an idempotency key at most once.

    Args:
        store: The store client.
        parts: Number of partitions of a topic.
    """

    def __init__(self, store: StoreClient, *, parts: int) -> None:
        self.store = store
        self.parts = parts
        self._cache: OrderedDict[str, _CachedRun] = OrderedDict()
        self._cached_bytes = 0

    async def run(
        self,
        account: AccountId,
        key: IdempotencyKey,
        work: Callable[[], Awaitable[Response]],
    ) -> Response:
        """Runs a call, or returns the response of its earlier run in this entry.

        Args:
            account: The client account.
            key: The idempotency key of the call. A key that the client library
                generated is not claimed in the store: only one client process sends it,
                and that process retries a non-idempotent call only if it was not run.
            work: Runs the call. An error with the verdict ``NOT_RUN`` releases the
                call.

        Raises:
            BuckthornstileError: The error of the run; ``DUPLICATE_IN_FLIGHT`` if
                another attempt has run the call or may have run it;
                ``PLATFORM_UNAVAILABLE`` if the store is unavailable.
        """
        digest = make_call_digest(account, key)
        cached = self._cache.get(digest)
        if cached is None:
            is_generated = key.startswith(GENERATED_KEY_PREFIX)
            running = work() if is_generated else self._run_claimed(digest, work)
            task = asyncio.ensure_future(running)
            cached = self._cache[digest] = _CachedRun(task)
            task.add_done_callback(lambda done: self._on_run_finished(digest, done))
        # One caller may disconnect while another attempt waits for the same run.
        return await asyncio.shield(cached.task)

    async def _run_claimed(
        self, digest: str, work: Callable[[], Awaitable[Response]]
    ) -> Response:
        sequence = await self.claim(digest)
        try:
            return await work()
        except BuckthornstileError as error:
            if error.verdict is Verdict.NOT_RUN:
                await self.release(digest, sequence)
            raise

    def _on_run_finished(self, digest: str, task: "asyncio.Task[Response]") -> None:
        cached = self._cache.get(digest)
        if cached is None:
            return
        error = None if task.cancelled() else task.exception()
        was_not_run = isinstance(error, BuckthornstileError) and (
            error.verdict is Verdict.NOT_RUN
        )
        if task.cancelled() or was_not_run:
            del self._cache[digest]
            return
        cached.size = len(task.result().body) if error is None else 0
        self._cached_bytes += cached.size
        while (
            len(self._cache) > MAX_CACHED_RESPONSES
            or self._cached_bytes > MAX_CACHED_BYTES
        ):
            oldest = next(
                (run for run in self._cache.values() if run.task.done()), None
            )
            if oldest is None:
                return
            digests = [digest for digest, run in self._cache.items() if run is oldest]
            self._cached_bytes -= oldest.size
            del self._cache[digests[0]]

    # Claims

    async def claim(self, digest: str) -> int:
        """Claims a call and returns the sequence number of the claim.

        Raises:
            BuckthornstileError: Another attempt owns the call, or the store is
                unavailable.
        """
        token = secrets.token_bytes(CLAIM_TOKEN_BYTES)
        sequence = 0
        while sequence < 2 * MAX_CLAIMS:
            try:
                offset = await self._append(digest, sequence, token)
            except AppendConflictError as error:
                # If the store expects an odd number, the claim before it was not
                # released. A larger even number follows a release.
                if error.expected % 2 or error.expected <= sequence:
                    break
                sequence = error.expected
                continue
            if await self._read(digest, offset) == token:
                return sequence
            sequence += 2
        log_event("call.claimed_elsewhere", call=digest)
        raise BuckthornstileError(
            ErrorCode.DUPLICATE_IN_FLIGHT,
            "another attempt of this call has run it or may have run it",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def release(self, digest: str, sequence: int) -> None:
        """Releases a call that was certainly not run, so that it may be claimed again.

        Args:
            digest: The digest of the call.
            sequence: The sequence number of its claim.
        """
        try:
            await self._append(digest, sequence + 1, b"released")
        except BuckthornstileError as error:
            log_event("call.release_failed", call=digest, reason=error.message)

    async def _append(self, digest: str, sequence: int, record: bytes) -> int:
        """Appends a record and retries failures, as the append is idempotent."""
        producer = Producer(digest, PRODUCER_EPOCH, sequence)
        for attempts_left in reversed(range(MAX_APPEND_ATTEMPTS)):
            try:
                return await self.store.append(
                    CALL_TOPIC,
                    self._find_partition(digest),
                    [record],
                    producer=producer,
                )
            except PlatformUnavailableError as error:
                if not attempts_left:
                    raise self._make_unavailable_error() from error
        raise self._make_unavailable_error()

    async def _read(self, digest: str, offset: int) -> bytes | None:
        """Returns the record at an offset, or None if the store no longer has it."""
        try:
            fetched = await self.store.read(
                CALL_TOPIC, self._find_partition(digest), offset
            )
        except OffsetOutOfRangeError:
            return None
        except PlatformUnavailableError as error:
            raise self._make_unavailable_error() from error
        records = dict(fetched.records)
        return records.get(offset)

    def _find_partition(self, digest: str) -> int:
        return compute_rendezvous_score("call", digest) % self.parts

    def _make_unavailable_error(self) -> BuckthornstileError:
        return BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            "the store is unavailable, so this call may have run before",
            verdict=Verdict.MAY_HAVE_RUN,
        )


def make_call_digest(account: AccountId, key: IdempotencyKey) -> str:
    """Returns the digest that identifies a call in the store.

    Example:
        >>> make_call_digest("mill-7", "k") == make_call_digest("mill-8", "k")
        False
    """
    text = f"{account}\x00{key}".encode()
    return hashlib.blake2b(text, digest_size=CALL_DIGEST_BYTES).hexdigest()
