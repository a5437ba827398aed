"""Client of the platform's store, a log of topics and partitions."""

import base64
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import urlencode

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    PlatformUnavailableError,
    Verdict,
    parse_json,
)
from buckthornstile.http_client import (
    ConnectionPool,
    HTTPRequest,
    HTTPResponse,
    ResponseLimit,
    limit_time,
)
from buckthornstile.messages import ClientRequest
from buckthornstile.platform._protocol_names import DEADLINE_HEADER, OPERATOR_TOPIC

LENGTH_PREFIX = struct.Struct(">I")
"""Number of bytes of the record that follows."""
READ_HEADER = struct.Struct(">QQ")
"""End offset of the partition, and the offset of the first record returned."""
CALL_TIMEOUT = 1.0
"""Timeout in seconds of a call that the store does not hold as a long poll."""
MAX_READ_KILOBYTES = 1024
"""Maximum size of the response that a read requests, in kilobytes."""
ENCODING_FACTOR = 2
"""Factor by which the JSON of a response may exceed its records (encoded in base64)."""
MAX_CONCURRENT_RESPONSES = 8
"""Number of the largest responses that may be read at a time."""
DEFAULT_MAX_RECORD_BYTES = 64 << 20
PROBE_TIMEOUT = 0.5
"""Timeout in seconds of a call that only tests whether the store is reachable."""
UNAVAILABLE_STATUSES = (429, 503, 507)
"""Statuses with which the store refuses a call; a refused call has no effect."""
UNREACHABLE_STATUSES = (429, 502, 503)
"""Statuses that show that the store cannot be reached on this path at present. Status
502 comes from a proxy that forwarded the call and got no response."""
STORE_PATH_PREFIX = "/-/log-"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; ``value`` is None if the record removes the key."""

    offset: int
    key: str
    value: bytes | None


@dataclass(slots=True)
class LatestRecords:
    """The latest record of each key, read page by page.

    Attributes:
        records: The records of the pages read so far.
        end_offset: The partition's end offset at the first page, or -1 before it.
        is_complete: Whether all pages were read.
    """

    records: list[KeyedRecord] = field(default_factory=list)
    end_offset: int = -1
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Result of one read.

    Attributes:
        records: Pairs of offset and record.
        end_offset: The partition's end offset.
        next_offset: Offset at which the next read continues.
    """

    records: tuple[tuple[int, bytes], ...]
    end_offset: int
    next_offset: int


class OffsetOutOfRangeError(BuckthornstileError):
    """The requested offset is older than the records that the store retains.

    Args:
        first_offset: The first offset that the store still holds.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            ErrorCode.PLATFORM_UNAVAILABLE, "the requested offset is no longer retained"
        )
        self.first_offset = first_offset


class AppendConflictError(BuckthornstileError):
    """A condition of an append did not hold, and no record was appended.

    Args:
        reason: ``end`` if the end offset is another one, ``fenced`` if the producer's
            epoch is too old, ``sequence`` if its sequence number is not the next one.
        expected: The end offset or the sequence number that the store expects, or -1.
    """

    def __init__(self, reason: str, expected: int) -> None:
        super().__init__(
            ErrorCode.CONFIGURATION_CONFLICT,
            f"append refused: {reason}; expected {expected}",
        )
        self.reason = reason
        self.expected = expected


@dataclass(frozen=True, slots=True)
class Producer:
    """Identifies a writer and its append, so that the store detects duplicates.

    Attributes:
        name: The writer's name.
        epoch: The writer's epoch; the store refuses appends of older epochs.
        sequence: Sequence number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


class ProxySelector(Protocol):
    """Selects the path of each call to the store, and records the call's outcome.

    A path is the address of a process that serves as a proxy, or "" for the direct
    path.
    """

    def select_proxy(self, *, avoids_direct_path: bool = False) -> str:
        """Returns the address of the proxy to use, or "" for the direct path."""

    def record_success(self, proxy: str) -> None:
        """Records a call that the store responded to."""

    def record_failure(self, proxy: str) -> None:
        """Records a call that the store did not accept or did not respond to."""


class NoProxy:
    """Selects the direct path for every call."""

    def select_proxy(self, *, avoids_direct_path: bool = False) -> str:
        """Returns "", the direct path."""
        return ""

    def record_success(self, proxy: str) -> None:
        """Ignores the outcome."""

    def record_failure(self, proxy: str) -> None:
        """Ignores the outcome."""


class StoreClient:
    """Sends calls to the store, without retries.

    Args:
        address: Address of the store, as ``IP:port``.
        proxy_selector: Selects the path of each call; by default the direct one.
        max_record_bytes: Maximum size of a record. A response is limited to the size
            that a read requests and one record more.

    Example:
        >>> StoreClient("127.0.0.1:1").address
        '127.0.0.1:1'
    """

    def __init__(
        self,
        address: str,
        *,
        proxy_selector: ProxySelector | None = None,
        max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
    ) -> None:
        self.address = address
        self.proxy_selector = proxy_selector or NoProxy()
        max_response_bytes = ENCODING_FACTOR * (
            (MAX_READ_KILOBYTES << 10) + max_record_bytes
        )
        self._pool = ConnectionPool(
            max_idle_per_peer=16,
            limit=ResponseLimit(
                max_response_bytes=max_response_bytes,
                max_total_bytes=MAX_CONCURRENT_RESPONSES * max_response_bytes,
            ),
        )

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[bytes],
        *,
        at: int | None = None,
        producer: Producer | None = None,
        timeout: float = CALL_TIMEOUT,
        avoids_direct_path: bool = False,
        before_send: Callable[[], object] | None = None,
    ) -> int:
        """Appends all of the records or none.

        Args:
            topic: The topic.
            part: Number of the partition.
            records: The records.
            at: End offset that the partition must have, or None for any.
            producer: The writer and sequence number, which make the append idempotent
                and fence writers of older epochs; None for neither.
            timeout: Seconds to wait for the response.
            avoids_direct_path: Whether to use a proxy if there is one, also while the
                direct path is not known to be lost.
            before_send: Called just before the call is written; raises if the records
                must no longer be appended. Its error is raised unchanged.

        Returns:
            The offset of the first record.

        Raises:
            AppendConflictError: The end offset differs, the producer's epoch is too
                old, or the sequence number is not the expected one.
            PlatformUnavailableError: The call was refused or got no response.
        """
        query: dict[str, object] = {"topic": topic, "part": part}
        if at is not None:
            query["at"] = at
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        body = b"".join(LENGTH_PREFIX.pack(len(record)) + record for record in records)
        path = "/-/log-append?" + urlencode(query)
        response = await self._call(
            "POST",
            path,
            body,
            timeout,
            avoids_direct_path=avoids_direct_path,
            before_send=before_send,
        )
        if response.status not in (409, 412):
            _check_status(response)
        data = _decode_json(response.body) if response.body else {}
        if response.status == 412:
            raise AppendConflictError("end", int(data.get("end", -1)))
        if response.status == 409:
            if data.get("why") == "fenced":
                raise AppendConflictError("fenced", -1)
            raise AppendConflictError("sequence", _get_expected_sequence(data))
        return int(data["offset"])

    async def read(
        self,
        topic: str,
        part: int,
        start_offset: int,
        *,
        wait: float = 0.0,
        timeout: float = CALL_TIMEOUT,
        max_kilobytes: int = MAX_READ_KILOBYTES,
    ) -> FetchResult:
        """Reads the records from an offset on.

        Args:
            topic: The topic.
            part: Number of the partition.
            start_offset: Offset of the first record to read.
            wait: Maximum seconds for which the store holds the call until a record is
                appended.
            timeout: Seconds to wait for the response, in addition to ``wait``.
            max_kilobytes: Maximum size of the response, in kilobytes.

        Raises:
            OffsetOutOfRangeError: The offset is older than the retained records.
            PlatformUnavailableError: The call was refused or got no response.
        """
        query = {
            "topic": topic,
            "part": part,
            "from": start_offset,
            "maxKb": max_kilobytes,
            "waitMs": int(wait * 1000),
        }
        path = "/-/log-read?" + urlencode(query)
        response = await self._call("GET", path, None, wait + timeout)
        if response.status == 410:
            raise OffsetOutOfRangeError(
                int(_decode_json(response.body).get("first", 0))
            )
        _check_status(response)
        return _decode_fetch_result(bytes(response.body), start_offset)

    async def read_latest(
        self, topic: str, part: int, *, timeout: float = CALL_TIMEOUT
    ) -> tuple[list[KeyedRecord], int]:
        """Reads the latest record of each key, page by page.

        The pages are not a consistent snapshot: a read from the returned end offset
        on repeats the records that were appended between them.

        Returns:
            The records, and the partition's end offset at the first page.

        Raises:
            PlatformUnavailableError: A call was refused or got no response.
        """
        latest = LatestRecords()
        while not latest.is_complete:
            await self.read_latest_page(topic, part, latest, timeout=timeout)
        return latest.records, latest.end_offset

    async def read_latest_page(
        self,
        topic: str,
        part: int,
        latest: "LatestRecords",
        *,
        timeout: float = CALL_TIMEOUT,
    ) -> None:
        """Reads the next page of the latest records.

        A call that failed may be repeated; the pages read before it are kept.

        Args:
            topic: The topic.
            part: Number of the partition.
            latest: The pages read so far, to which the next one is added.
            timeout: Seconds to wait for the response.

        Raises:
            PlatformUnavailableError: The call was refused or got no response.
        """
        query: dict[str, object] = {"topic": topic, "part": part}
        if latest.records:
            query["after"] = latest.records[-1].key
        path = "/-/log-newest?" + urlencode(query)
        response = await self._call("GET", path, None, timeout)
        _check_status(response)
        data = _decode_json(response.body)
        if latest.end_offset < 0:
            latest.end_offset = int(data["end"])
        for item in data.get("items") or ():
            value = base64.b64decode(item["value"])
            latest.records.append(KeyedRecord(item["offset"], item["key"], value))
        latest.is_complete = not data.get("hasMore") or not latest.records

    async def forward(self, request: ClientRequest) -> HTTPResponse:
        """Sends the call of another process to the store on the direct path.

        Raises:
            PlatformUnavailableError: The call got no response.
        """
        timeout = request.remaining_time or CALL_TIMEOUT
        body = request.body if request.method == "POST" else None
        return await self._call(
            request.method, request.target, body, timeout, is_direct=True
        )

    async def probe(self) -> None:
        """Sends a small call to the store on the direct path.

        Raises:
            PlatformUnavailableError: The call got no response.
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
        avoids_direct_path: bool = False,
        before_send: Callable[[], object] | None = None,
    ) -> HTTPResponse:
        check_errors: list[BuckthornstileError] = []

        def check_before_send() -> None:
            try:
                if before_send is not None:
                    before_send()
            except BuckthornstileError as error:
                check_errors.append(error)
                raise

        proxy = ""
        if not is_direct:
            proxy = self.proxy_selector.select_proxy(
                avoids_direct_path=avoids_direct_path
            )
        address = proxy or self.address
        headers = [("Host", self.address)]
        if proxy:
            headers.append((DEADLINE_HEADER, str(int(timeout * 1000))))
        request = HTTPRequest(method, path, headers, body)
        try:
            async with limit_time(timeout):
                response = await self._pool.send(
                    address, request, before_send=check_before_send
                )
        except TimeoutError as error:
            # The idle connections may all be dead while a new one would work.
            self._pool.close_idle(address)
            self.proxy_selector.record_failure(proxy)
            raise PlatformUnavailableError(
                "the store did not respond in time"
            ) from error
        except BuckthornstileError as error:
            if error in check_errors:
                raise
            self.proxy_selector.record_failure(proxy)
            raise PlatformUnavailableError(
                f"call to the store failed: {error.message}",
                may_have_taken_effect=error.verdict is not Verdict.NOT_RUN,
            ) from error
        if response.status in UNREACHABLE_STATUSES:
            self.proxy_selector.record_failure(proxy)
        else:
            self.proxy_selector.record_success(proxy)
        return response


def is_store_call(path: str) -> bool:
    """Whether a path belongs to a call to the store.

    Example:
        >>> is_store_call("/-/log-read")
        True
    """
    return path.startswith(STORE_PATH_PREFIX)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic; an empty value removes the key."""
    encoded_key = key.encode()
    return bytes([len(encoded_key)]) + encoded_key + value


def decode_keyed_record(offset: int, record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed topic.

    Raises:
        ValueError: The record holds no key.
    """
    if not record or len(record) < 1 + record[0]:
        raise ValueError(f"the record at offset {offset} holds no key")
    key_end = 1 + record[0]
    value = record[key_end:]
    return KeyedRecord(offset, record[1:key_end].decode(), value or None)


def _get_expected_sequence(data: dict[str, object]) -> int:
    for name in ("sequence", "expected", "end"):
        value = data.get(name)
        if isinstance(value, int):
            return value
    return -1


def _check_status(response: HTTPResponse) -> None:
    if response.status == 200:
        return
    raise PlatformUnavailableError(
        f"the store responded with status {response.status}",
        may_have_taken_effect=response.status not in UNAVAILABLE_STATUSES,
    )


def _decode_json(body: bytes | bytearray) -> dict[str, Any]:
    try:
        data = parse_json(body)
    except ValueError as error:
        raise PlatformUnavailableError(
            "the store's response is not valid JSON"
        ) from error
    if not isinstance(data, dict):
        raise PlatformUnavailableError("the store's response is not a JSON object")
    return data


def _decode_fetch_result(data: bytes, start_offset: int) -> FetchResult:
    if len(data) < READ_HEADER.size:
        raise PlatformUnavailableError(
            "the store's response is shorter than its header"
        )
    end_offset, first_offset = READ_HEADER.unpack_from(data)
    records = []
    position = READ_HEADER.size
    offset = max(start_offset, first_offset)
    while position + LENGTH_PREFIX.size <= len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, position)
        position += LENGTH_PREFIX.size
        if position + length > len(data):
            raise PlatformUnavailableError("the store's response ends within a record")
        records.append((offset, data[position : position + length]))
        position += length
        offset += 1
    return FetchResult(tuple(records), end_offset, offset)
