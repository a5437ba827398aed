"""The platform's store: a log of topics and partitions."""

import asyncio
import base64
import json
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import urlencode

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    PlatformUnavailableError,
    Verdict,
)
from buckthornstile.http_client import ConnectionPool, HTTPRequest, HTTPResponse
from buckthornstile.messages import ClientRequest
from buckthornstile.platform._protocol_names import DEADLINE, OPERATOR_TOPIC

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
CALL_TIMEOUT = 1.0
"""Seconds for a call that does not wait at the store."""
READ_KILOBYTES = 1024
PROBE_TIMEOUT = 0.5
"""Seconds for a call that only shows whether the store can be reached."""
UNAVAILABLE_STATUSES = (429, 503, 507)
TURNED_AWAY_STATUSES = (429, 502, 503)
"""Answers that show that this way to the store does not work now; 502 comes from a
process that passed the call on and got no answer."""
STORE_PATH = "/-/log-"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; ``value`` is None where the key was dropped."""

    offset: int
    key: str
    value: bytes | None


@dataclass(slots=True)
class LatestRecords:
    """Pages of the newest records; ``end`` is that of the first page."""

    records: list[KeyedRecord] = field(default_factory=list)
    end_offset: int = -1
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Records read from an offset on, and the partition's end."""

    records: tuple[tuple[int, bytes], ...]
    end_offset: int
    next_offset: int


class OffsetOutOfRangeError(BuckthornstileError):
    """The offset asked for is no longer kept."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, "history was dropped")
        self.first_offset = first_offset


class AppendConflictError(BuckthornstileError):
    """A condition of an append did not hold; nothing was written.

    Args:
        reason: ``end``, ``fenced`` or ``sequence``.
        expected: The end or sequence number that the store has.
    """

    def __init__(self, reason: str, expected: int) -> None:
        super().__init__(
            ErrorCode.CONFIGURATION_CONFLICT, f"append refused: {reason} {expected}"
        )
        self.reason = reason
        self.expected = expected


@dataclass(frozen=True, slots=True)
class Producer:
    """Who appends to a partition: older epochs are refused, repeats are known."""

    name: str
    epoch: int
    sequence: int


class ProxySelector(Protocol):
    """Chooses the way of each call, and learns what became of it.

    A way is the address of a process that passes calls on, or "" for the direct one.
    """

    def select_proxy(self) -> str:
        """Gives the way of the next call."""

    def record_success(self, relay: str) -> None:
        """Notes a call that the store answered."""

    def record_failure(self, relay: str) -> None:
        """Notes a call that the store did not take, or that had no answer."""


class NoProxy:
    """Makes every call the direct way."""

    def select_proxy(self) -> str:
        """Gives the direct way."""
        return ""

    def record_success(self, relay: str) -> None:
        """Takes no note."""

    def record_failure(self, relay: str) -> None:
        """Takes no note."""


class StoreClient:
    """Calls to the store, each made once.

    Args:
        address: The store, as ``IP:port``.
        proxy_selector: Chooses the way of each call; the direct one by default.

    Example:
        >>> StoreClient("127.0.0.1:1").address
        '127.0.0.1:1'
    """

    def __init__(
        self, address: str, *, proxy_selector: ProxySelector | None = None
    ) -> None:
        self.address = address
        self.proxy_selector = proxy_selector or NoProxy()
        self._pool = ConnectionPool(max_idle_per_peer=16)

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[bytes],
        *,
        at: int | None = None,
        producer: Producer | None = None,
        timeout: float = CALL_TIMEOUT,
    ) -> int:
        """Appends records, all or none.

        Args:
            topic: The topic.
            part: Its partition.
            records: The records.
            at: Append only if the partition ends at this offset.
            producer: Who appends, to fence older ones and know repeats.
            timeout: Seconds to wait.

        Returns:
            The offset of the first record.

        Raises:
            AppendConflictError: A condition does not hold.
            PlatformUnavailableError: It was refused or got no answer.
        """
        query: dict[str, object] = {"topic": topic, "part": part}
        if at is not None:
            query["at"] = at
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        path = "/-/log-append?" + urlencode(query)
        answer = await self._call("POST", path, body, timeout)
        if answer.status not in (409, 412):
            _check_status(answer)
        data = _decode_json(answer.body) if answer.body else {}
        if answer.status == 412:
            raise AppendConflictError("end", int(data.get("end", -1)))
        if answer.status == 409:
            if data.get("why") == "fenced":
                raise AppendConflictError("fenced", -1)
            raise AppendConflictError("sequence", _find_sequence(data))
        return int(data["offset"])

    async def read(
        self,
        topic: str,
        part: int,
        start: int,
        *,
        wait: float = 0.0,
        timeout: float = CALL_TIMEOUT,
    ) -> FetchResult:
        """Reads records from an offset on; waits up to ``wait`` seconds for one.

        Raises:
            OffsetOutOfRangeError: The offset is older than what is kept.
            PlatformUnavailableError: It was refused or got no answer.
        """
        query = {
            "topic": topic,
            "part": part,
            "from": start,
            "maxKb": READ_KILOBYTES,
            "waitMs": int(wait * 1000),
        }
        path = "/-/log-read?" + urlencode(query)
        answer = await self._call("GET", path, None, wait + timeout)
        if answer.status == 410:
            raise OffsetOutOfRangeError(int(_decode_json(answer.body).get("first", 0)))
        _check_status(answer)
        return _decode_slice(bytes(answer.body), start)

    async def read_latest(
        self, topic: str, part: int, *, timeout: float = CALL_TIMEOUT
    ) -> tuple[list[KeyedRecord], int]:
        """Reads the newest record of each key, and the end before the first page.

        Pages are no snapshot: reading on from the returned end repeats what
        changed between them.
        """
        loading = LatestRecords()
        while not loading.is_complete:
            await self.read_latest_page(topic, part, loading, timeout=timeout)
        return loading.records, loading.end_offset

    async def read_latest_page(
        self,
        topic: str,
        part: int,
        pages: "LatestRecords",
        *,
        timeout: float = CALL_TIMEOUT,
    ) -> None:
        """Reads the page after those that were read.

        A page that fails may be asked for again; those before it stay.

        Raises:
            PlatformUnavailableError: It was refused or got no answer.
        """
        query: dict[str, object] = {"topic": topic, "part": part}
        if pages.records:
            query["after"] = pages.records[-1].key
        path = "/-/log-newest?" + urlencode(query)
        answer = await self._call("GET", path, None, timeout)
        _check_status(answer)
        data = _decode_json(answer.body)
        if pages.end_offset < 0:
            pages.end_offset = int(data["end"])
        for item in data.get("items") or ():
            value = base64.b64decode(item["value"])
            pages.records.append(KeyedRecord(item["offset"], item["key"], value))
        pages.is_complete = not data.get("hasMore") or not pages.records

    async def forward(self, request: ClientRequest) -> HTTPResponse:
        """Makes another process's call the direct way.

        Raises:
            PlatformUnavailableError: It got no answer.
        """
        timeout = request.remaining_time or CALL_TIMEOUT
        body = request.body if request.method == "POST" else None
        return await self._call(
            request.method, request.target, body, timeout, is_direct=True
        )

    async def probe(self) -> None:
        """Makes a small call the direct way.

        Raises:
            PlatformUnavailableError: It got no answer.
        """
        query = {"topic": OPERATOR_TOPIC, "part": 0, "from": 0, "maxKb": 1}
        path = "/-/log-read?" + urlencode(query)
        await self._call("GET", path, None, PROBE_TIMEOUT, is_direct=True)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: float,
        *,
        is_direct: bool = False,
    ) -> HTTPResponse:
        relay = "" if is_direct else self.proxy_selector.select_proxy()
        address = relay or self.address
        headers = [("Host", self.address)]
        if relay:
            headers.append((DEADLINE, str(int(timeout * 1000))))
        request = HTTPRequest(method, path, headers, body)
        try:
            async with asyncio.timeout(timeout):
                answer = await self._pool.send(address, request)
        except TimeoutError as error:
            # Open connections may all have gone silent while new ones work.
            self._pool.close_idle(address)
            self.proxy_selector.record_failure(relay)
            raise PlatformUnavailableError(
                "the store gave no answer in time"
            ) from error
        except BuckthornstileError as error:
            self.proxy_selector.record_failure(relay)
            raise PlatformUnavailableError(
                f"the store: {error.message}",
                may_have_taken_effect=error.verdict is not Verdict.NOT_RUN,
            ) from error
        if answer.status in TURNED_AWAY_STATUSES:
            self.proxy_selector.record_failure(relay)
        else:
            self.proxy_selector.record_success(relay)
        return answer


def is_store_call(path: str) -> bool:
    """Whether a path is that of a call to the store.

    Example:
        >>> is_store_call("/-/log-read")
        True
    """
    return path.startswith(STORE_PATH)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed_record(offset: int, record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed topic.

    Raises:
        ValueError: The bytes hold no key.
    """
    if not record or len(record) < 1 + record[0]:
        raise ValueError(f"the record at {offset} holds no key")
    split = 1 + record[0]
    value = record[split:]
    return KeyedRecord(offset, record[1:split].decode(), value or None)


def _find_sequence(data: dict[str, object]) -> int:
    for name in ("sequence", "expected", "end"):
        value = data.get(name)
        if isinstance(value, int):
            return value
    return -1


def _check_status(answer: HTTPResponse) -> None:
    if answer.status == 200:
        return
    raise PlatformUnavailableError(
        f"the store answered with status {answer.status}",
        may_have_taken_effect=answer.status not in UNAVAILABLE_STATUSES,
    )


def _decode_json(body: bytes | bytearray) -> dict[str, Any]:
    try:
        data = json.loads(bytes(body))
    except ValueError as error:
        raise PlatformUnavailableError("the store's answer is no JSON") from error
    if not isinstance(data, dict):
        raise PlatformUnavailableError("the store's answer is no object")
    return data


def _decode_slice(data: bytes, start: int) -> FetchResult:
    if len(data) < READ_HEAD.size:
        raise PlatformUnavailableError("the store's answer is too short")
    end, first = READ_HEAD.unpack_from(data)
    records = []
    position = READ_HEAD.size
    offset = max(start, first)
    while position + LENGTH.size <= len(data):
        (length,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        if position + length > len(data):
            raise PlatformUnavailableError("the store's answer holds half a record")
        records.append((offset, data[position : position + length]))
        position += length
        offset += 1
    return FetchResult(tuple(records), end, offset)
