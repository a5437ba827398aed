"""The trainers' client: runs lots through any entry and keeps what came."""

import asyncio
import json
import ssl
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

from buckthornstile.base import BuckthornstileError, TrainerId, WeightVersion
from buckthornstile.client._errors import make_lost, make_truncated, parse_error
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
_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class ReceivedSample:
    """A sample, as a trainer gets it.

    Args:
        slot: Which sample of the lot it is.
        text: The text.
        body: The engine's whole answer.
        labels: Which weight versions made which tokens.
    """

    slot: Slot
    text: str
    body: dict[str, Any]
    labels: tuple[TokenRange, ...]

    @property
    def oldest_version(self) -> WeightVersion:
        """The oldest version that made any of its tokens."""
        return min(label.version for label in self.labels)

    @property
    def newest_version(self) -> WeightVersion:
        """The newest version that made any of its tokens."""
        return max(label.version for label in self.labels)


class TrainerClient:
    """Runs lots for one trainer.

    Args:
        entries: The entries' or the balancer's URLs, with IP numbers.
        key: The client account's key.
        trainer: The trainer.
        policy: How patiently to follow a lot.
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
        self._tasks: dict[LotSession, asyncio.Task[None]] = {}
        self._next_entry = 0
        self._next_attach = 0

    async def run_lot(
        self, specification: LotSpecification
    ) -> AsyncIterator[ReceivedSample]:
        """Runs a lot and yields each of its samples once, as they finish.

        Args:
            specification: The lot.

        Raises:
            BuckthornstileError: With ``DEADLINE_PASSED`` at the lot's timeout,
                or the entries' refusal.
        """
        # Seconds since the epoch, so that the numbers go on growing when the
        # trainer restarts.
        first_attach = max(self._next_attach, int(time.time()))
        received = SampleReceiver(specification, first_attach=first_attach)
        session = LotSession(
            received,
            entry_count=len(self.entries),
            now=time.monotonic(),
            first_entry=self._next_entry,
            policy=self.policy,
        )
        self._sessions.add(session)
        try:
            idle_since = time.monotonic()
            async for line in self._follow(session):
                self.idle_seconds += time.monotonic() - idle_since
                yield _make_sample(line)
                idle_since = time.monotonic()
            self.idle_seconds += time.monotonic() - idle_since
        finally:
            self._sessions.discard(session)
            self._next_entry = session.entry
            self._next_attach = max(self._next_attach, received.next_attach)
            self.attach_count += session.attach_count
            self.duplicate_count += received.duplicate_count
            self.too_old_count += received.too_old_count

    async def set_version(self, version: int) -> None:
        """Tells the entries which weight version the trainer is at.

        An entry that the news does not reach is no fault: every sample's age is
        checked again when it comes in.

        Args:
            version: The trainer's current weight version.
        """
        for session in self._sessions:
            session.received.update_trainer_version(version)
        path = f"/v1/trainers/{self.trainer}/version"
        posts = [
            self._post(entry, path, {"version": version})
            for entry in range(len(self.entries))
        ]
        await asyncio.gather(*posts, return_exceptions=True)

    async def close(self) -> None:
        """Waits for acknowledgements that are still on their way."""
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _follow(self, session: LotSession) -> AsyncIterator[SampleLine]:
        step = SessionAction.ATTACH
        while step is not SessionAction.FINISH:
            attach = session.begin_attach(time.monotonic())
            await asyncio.sleep(attach.delay)
            step = SessionAction.READ
            exchange = None
            try:
                exchange = await self._open(attach)
                reader = LineReader(exchange)
                while step in (SessionAction.READ, SessionAction.YIELD):
                    line = decode_line(await _read(reader, session))
                    step = session.on_line(line, time.monotonic())
                    if step is SessionAction.YIELD:
                        assert isinstance(line, SampleLine)
                        self._acknowledge_soon(session)
                        yield line
                        step = (
                            SessionAction.FINISH
                            if session.received.is_complete
                            else step
                        )
            except BuckthornstileError as error:
                step = session.on_stream_failed(time.monotonic(), error)
            finally:
                if exchange is not None:
                    exchange.close()
        self._acknowledge_soon(session)

    async def _open(self, attach: AttachAttempt) -> Exchange:
        body = json.dumps(attach.request.to_json()).encode()
        exchange = await self._send(attach.entry, "/v1/lots", body)
        try:
            async with asyncio.timeout(self.policy.silence_timeout):
                status, _ = await exchange.read_head()
                if status < _ERROR_STATUS:
                    return exchange
                parts = [part async for part in exchange.iterate()]
        except TimeoutError as error:
            exchange.close()
            raise make_lost("the entry did not answer the attach") from error
        except BaseException:
            exchange.close()
            raise
        exchange.close()
        refusal = parse_error(b"".join(parts))
        raise refusal or make_lost(f"the entry answered {status}")

    async def _send(self, entry: int, path: str, body: bytes) -> Exchange:
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        request = HttpRequest(self.entries[entry], "POST", path, headers, body)
        return await open_exchange(request, ssl_options=self.ssl_options)

    async def _post(self, entry: int, path: str, value: object) -> None:
        async with asyncio.timeout(_POST_TIMEOUT_S):
            exchange = await self._send(entry, path, json.dumps(value).encode())
            try:
                status, _ = await exchange.read_head()
            finally:
                exchange.close()
        if status >= _ERROR_STATUS:
            raise make_lost(f"the entry answered {status}")

    def _acknowledge_soon(self, session: LotSession) -> None:
        if session not in self._tasks and session.received.unacknowledged:
            task = asyncio.ensure_future(self._acknowledge(session))
            self._tasks[session] = task

    async def _acknowledge(self, session: LotSession) -> None:
        received = session.received
        path = f"/v1/lots/{received.specification.lot}/acknowledge"
        try:
            while (slots := received.unacknowledged) and session.attach is not None:
                value = {
                    "attach": session.attach.request.attach,
                    "trainer": self.trainer,
                    "slots": [[slot.group, slot.index] for slot in slots],
                }
                await self._post(session.attach.entry, path, value)
                received.mark_acknowledged(slots)
        except (BuckthornstileError, TimeoutError):
            # The agents drop the samples by age; nothing is delivered twice.
            return
        finally:
            del self._tasks[session]


async def _read(reader: LineReader, session: LotSession) -> bytes:
    try:
        async with asyncio.timeout(session.get_read_timeout(time.monotonic())):
            line = await reader.read()
    except TimeoutError as error:
        raise make_lost("the entry fell silent") from error
    if line is None:
        raise make_truncated("the lot's stream ended early")
    return line


def _make_sample(line: SampleLine) -> ReceivedSample:
    return ReceivedSample(
        line.slot, str(line.body.get("text", "")), line.body, line.ranges
    )
