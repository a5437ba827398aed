"""Client for trainers, which runs lots through any entry."""

import asyncio
import json
import ssl
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

from buckthornstile.base import BuckthornstileError, TrainerId, WeightVersion
from buckthornstile.client._errors import (
    make_connection_lost_error,
    make_truncated_error,
    parse_error,
)
from buckthornstile.client._exchange import Exchange, HttpRequest, open_exchange
from buckthornstile.client._line_reader import LineReader
from buckthornstile.client._session import (
    AttachAttempt,
    LotSession,
    SessionAction,
    SessionPolicy,
)
from buckthornstile.samples import (
    LotSpecification,
    SampleLine,
    SampleReceiver,
    Slot,
    TokenRange,
    decode_line,
)

_POST_TIMEOUT_S = 2.0
_MIN_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class ReceivedSample:
    """A sample that a trainer has received.

    Args:
        slot: Position of the sample in the lot.
        text: Generated text.
        body: Complete response of the engine.
        labels: Token ranges with the weight version that generated each.
    """

    slot: Slot
    text: str
    body: dict[str, Any]
    labels: tuple[TokenRange, ...]

    @property
    def oldest_version(self) -> WeightVersion:
        """Oldest weight version that generated any of the tokens."""
        return min(label.version for label in self.labels)

    @property
    def newest_version(self) -> WeightVersion:
        """Newest weight version that generated any of the tokens."""
        return max(label.version for label in self.labels)


class TrainerClient:
    """Runs lots for one trainer.

    Args:
        entries: URLs of the entries or of their load balancer, with IP addresses.
        key: API key of the client account.
        trainer: Id of the trainer.
        policy: Timeout and delays for attaching to lots.
        ssl_options: TLS options for ``https`` URLs.

    Example:
        >>> trainer = TrainerClient(["http://127.0.0.1:1"], "key", "geometry")
        >>> trainer.idle_seconds
        0.0
    """

    def __init__(
        self,
        entries: Sequence[str],
        key: str,
        trainer: str,
        *,
        policy: SessionPolicy | None = None,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        self.entries = tuple(entries)
        self.key = key
        self.trainer = TrainerId(trainer)
        self.policy = policy or SessionPolicy()
        self.ssl_options = ssl_options
        self.idle_seconds = 0.0
        self.attach_count = 0
        self.duplicate_count = 0
        self.too_old_count = 0
        self._sessions: set[LotSession] = set()
        self._acknowledge_tasks: dict[LotSession, asyncio.Task[None]] = {}
        self._next_entry_index = 0
        self._next_attach = 0
        self._key_was_accepted = False

    async def run_lot(
        self, specification: LotSpecification
    ) -> AsyncIterator[ReceivedSample]:
        """Runs a lot and yields each of its samples once, in order of arrival.

        Args:
            specification: Specification of the lot.

        Raises:
            BuckthornstileError: With ``DEADLINE_PASSED`` at the lot's timeout, or
                the error with which the entries refuse the lot.
        """
        # Attach numbers start at the seconds since the epoch, so that they keep
        # increasing when the trainer restarts.
        first_attach = max(self._next_attach, int(time.time()))
        received = SampleReceiver(specification, first_attach=first_attach)
        session = LotSession(
            received,
            entry_count=len(self.entries),
            now=time.monotonic(),
            first_entry_index=self._next_entry_index,
            policy=self.policy,
            key_was_accepted=self._key_was_accepted,
        )
        self._sessions.add(session)
        try:
            idle_since = time.monotonic()
            async for line in self._receive_samples(session):
                self.idle_seconds += time.monotonic() - idle_since
                yield _make_sample(line)
                idle_since = time.monotonic()
            self.idle_seconds += time.monotonic() - idle_since
        finally:
            self._sessions.discard(session)
            self._next_entry_index = session.entry_index
            self._key_was_accepted = session.key_was_accepted
            self._next_attach = max(self._next_attach, received.next_attach)
            self.attach_count += session.attach_count
            self.duplicate_count += received.duplicate_count
            self.too_old_count += received.too_old_count

    async def set_version(self, version: int) -> None:
        """Sends the trainer's current weight version to all entries.

        Errors are ignored: the age of every sample is checked again when it
        arrives.

        Args:
            version: Current weight version of the trainer.
        """
        for session in self._sessions:
            session.received.update_trainer_version(version)
        path = f"/v1/trainers/{self.trainer}/version"
        posts = [
            self._post(entry_index, path, {"version": version})
            for entry_index in range(len(self.entries))
        ]
        await asyncio.gather(*posts, return_exceptions=True)

    async def close(self) -> None:
        """Waits until the pending acknowledgements are sent."""
        await asyncio.gather(*self._acknowledge_tasks.values(), return_exceptions=True)

    async def _receive_samples(self, session: LotSession) -> AsyncIterator[SampleLine]:
        action = SessionAction.ATTACH
        while action is not SessionAction.FINISH:
            attempt = session.start_attach(time.monotonic())
            await asyncio.sleep(attempt.delay)
            action = SessionAction.READ
            exchange = None
            try:
                exchange = await self._open(attempt)
                reader = LineReader(exchange)
                while action in (SessionAction.READ, SessionAction.YIELD):
                    line = decode_line(await _read(reader, session))
                    action = session.on_line(line, time.monotonic())
                    if action is SessionAction.YIELD:
                        assert isinstance(line, SampleLine)
                        self._start_acknowledging(session)
                        yield line
                        action = (
                            SessionAction.FINISH
                            if session.received.is_complete
                            else action
                        )
            except BuckthornstileError as error:
                action = session.on_stream_failed(time.monotonic(), error)
            finally:
                if exchange is not None:
                    exchange.close()
        self._start_acknowledging(session)

    async def _open(self, attempt: AttachAttempt) -> Exchange:
        body = json.dumps(attempt.request.to_json()).encode()
        exchange = await self._send(attempt.entry_index, "/v1/lots", body)
        try:
            async with asyncio.timeout(self.policy.silence_timeout):
                status, _ = await exchange.read_headers()
                if status < _MIN_ERROR_STATUS:
                    return exchange
                chunks = [chunk async for chunk in exchange.iterate_chunks()]
        except TimeoutError as error:
            exchange.close()
            raise make_connection_lost_error(
                "the entry did not respond to the attach request"
            ) from error
        except BaseException:
            exchange.close()
            raise
        exchange.close()
        refusal = parse_error(b"".join(chunks))
        raise refusal or make_connection_lost_error(
            f"the entry returned status {status}"
        )

    async def _send(self, entry_index: int, path: str, body: bytes) -> Exchange:
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        request = HttpRequest(self.entries[entry_index], "POST", path, headers, body)
        return await open_exchange(request, ssl_options=self.ssl_options)

    async def _post(self, entry_index: int, path: str, value: object) -> None:
        async with asyncio.timeout(_POST_TIMEOUT_S):
            exchange = await self._send(entry_index, path, json.dumps(value).encode())
            try:
                status, _ = await exchange.read_headers()
            finally:
                exchange.close()
        if status >= _MIN_ERROR_STATUS:
            raise make_connection_lost_error(f"the entry returned status {status}")

    def _start_acknowledging(self, session: LotSession) -> None:
        if session not in self._acknowledge_tasks and session.received.unacknowledged:
            task = asyncio.ensure_future(self._acknowledge(session))
            self._acknowledge_tasks[session] = task

    async def _acknowledge(self, session: LotSession) -> None:
        received = session.received
        path = f"/v1/lots/{received.specification.lot}/acknowledge"
        try:
            while (
                slots := received.unacknowledged
            ) and session.last_attach_attempt is not None:
                value = {
                    "attach": session.last_attach_attempt.request.attach,
                    "trainer": self.trainer,
                    "slots": [[slot.group, slot.index] for slot in slots],
                }
                await self._post(session.last_attach_attempt.entry_index, path, value)
                received.mark_acknowledged(slots)
        except (BuckthornstileError, TimeoutError):
            # A lost acknowledgement does no harm: the receiver drops duplicates.
            return
        finally:
            del self._acknowledge_tasks[session]


async def _read(reader: LineReader, session: LotSession) -> bytes:
    try:
        async with asyncio.timeout(session.get_read_timeout(time.monotonic())):
            line = await reader.read()
    except TimeoutError as error:
        raise make_connection_lost_error(
            "no line arrived within the silence timeout"
        ) from error
    if line is None:
        raise make_truncated_error("the lot's stream ended without its end line")
    return line


def _make_sample(line: SampleLine) -> ReceivedSample:
    return ReceivedSample(
        line.slot, str(line.body.get("text", "")), line.body, line.ranges
    )
