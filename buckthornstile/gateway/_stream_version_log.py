"""Shares with all entries which software version began each stream.

Streams at the default version of their route need no record. Only a stream that begins
at another version is recorded in the store before its first event is passed on.
"""

import asyncio
from collections.abc import Callable
from math import inf

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    ProcessName,
    SoftwareVersion,
    Verdict,
)
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.gateway._stream_defaults import StreamDefaults, get_route_prefix
from buckthornstile.gateway._stream_record_writer import (
    STREAM_VERSION_TOPIC,
    StreamRecordWriter,
)
from buckthornstile.logs import log_event
from buckthornstile.messages import RoutedCall
from buckthornstile.metrics import CounterName, Counters
from buckthornstile.platform import KeyedRecord, StoreClient
from buckthornstile.stream_versions import (
    Resolution,
    ResolutionState,
    StreamRecord,
    StreamVersionTable,
    compute_stream_digest,
    decode_batch,
    decode_default,
    is_route_key,
    needs_record,
)
from buckthornstile.topology import Route, TopologyView, Upstream

READ_MAX_WAIT = 0.5
"""Maximum seconds of a long poll; a stream that is resumed waits for its end."""
SYNC_TIMEOUT = 1.6
"""Seconds in which a read must show whether a resumed stream has a record."""
MAX_STORE_OUTAGE = 1.0
"""Seconds without the store after which no stream begins that needs a record. A record
that is added before may still be acknowledged in time."""
RECORD_TIMEOUT = 3.0
"""Seconds in which the store must acknowledge a record."""
START_CHECK_INTERVAL = 0.1
"""Seconds between two checks whether a route needs records."""
MAX_UNREADABLE_TIME = 60.0
"""Seconds for which the streams of an unreadable record are assumed to be resumed."""
MAX_USED_FRACTION = 0.8
"""Fraction of the table above which no further stream is recorded. Beyond the table's
size, streams without a record could not be resumed any more."""
LIFETIME_MARGIN = 10.0
"""Seconds after the end of an attempt in which its client resumes the stream."""
DEFAULT_CLIENT_TIME = 30.0
"""Seconds for which a client is assumed to wait if it states none."""
RETRY_AFTER_SECONDS = 0.3
"""Seconds after which a client may try again to resume a stream."""
RECORDS_COUNTER = CounterName("stream_version_records")
TAKE_UPS_COUNTER = CounterName("stream_take_ups")


class StreamVersionLog:
    """Records the versions that began streams and finds those of resumed streams.

    Args:
        name: Name of this process.
        store: Client of the store.
        view: The topology in effect.
        clock: Returns the monotonic time in seconds.
        get_view_staleness: Returns the seconds since the upstreams were read.
        is_holder: Whether this process holds the lease.
        list_entries: Returns the entries that may be writing.
        max_record_bytes: Maximum size of a record in the store.
        writes_per_second: Write calls that the store accepts from all entries.
        counters: Counts records and resumed streams.
    """

    def __init__(
        self,
        name: ProcessName,
        store: StoreClient,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        get_view_staleness: Callable[[], float],
        is_holder: Callable[[], bool],
        list_entries: Callable[[], list[ProcessName]],
        max_record_bytes: int,
        writes_per_second: float,
        counters: Counters,
    ) -> None:
        self.view = view
        self.clock = clock
        self.counters = counters
        self.table = StreamVersionTable()
        self.consumer = PartitionConsumer(
            store,
            STREAM_VERSION_TOPIC,
            0,
            clock=clock,
            max_wait=READ_MAX_WAIT,
            on_record=self._apply,
            on_snapshot=self._apply_snapshot,
        )
        self.writer = StreamRecordWriter(
            name,
            store,
            clock=clock,
            list_entries=list_entries,
            max_record_bytes=max_record_bytes,
            writes_per_second=writes_per_second,
        )
        self.defaults = StreamDefaults(
            store,
            view,
            self.table,
            self.consumer,
            clock=clock,
            get_view_staleness=get_view_staleness,
            is_holder=is_holder,
            list_entries=list_entries,
        )

    def is_ready(self) -> bool:
        """Whether the records are loaded, or no route needs them."""
        return self.consumer.is_loaded or not self.defaults.list_routes()

    async def run(self) -> None:
        """Reads and writes records until cancelled, once a route needs them."""
        while not self.defaults.list_routes():
            await asyncio.sleep(START_CHECK_INTERVAL)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.consumer.run())
            group.create_task(self.writer.run())
            group.create_task(self.defaults.run())

    # Streams that begin

    def may_begin(self, call: RoutedCall, version: SoftwareVersion) -> bool:
        """Whether a stream may begin at a version now."""
        if not self._needs_record(call, version):
            return True
        failures = (self.writer.failing_since, self.consumer.disconnected_at)
        since = min((one for one in failures if one is not None), default=inf)
        return self.clock() - since <= MAX_STORE_OUTAGE and self._has_room()

    def _has_room(self) -> bool:
        """Whether another record fits beside those of entries that were replaced."""
        max_streams = MAX_USED_FRACTION * self.table.max_streams
        return self.table.count_streams() < max_streams and self.writer.has_room()

    async def record_begin(self, call: RoutedCall, version: SoftwareVersion) -> None:
        """Returns once the first event of a stream may be passed on.

        Raises:
            BuckthornstileError: The store has not acknowledged the record in time.
        """
        now = self.clock()
        record = _make_record(call.request.id, call, version)
        self.table.add_own(record, now)
        if not self._needs_record(call, version):
            return
        self.counters.increment(RECORDS_COUNTER)
        deadline = asyncio.get_running_loop().time() + RECORD_TIMEOUT
        deadline = min(call.deadline, deadline)
        if not await self.writer.write(record, deadline=deadline):
            raise BuckthornstileError(
                ErrorCode.ANSWER_TRUNCATED,
                f"the store has not acknowledged that request {call.request.id!r} "
                f"began at software version {version!r}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        log_event(
            "stream.recorded",
            request=call.request.id,
            software=version,
            seconds=self.clock() - now,
        )

    def record_take_up(self, call: RoutedCall, upstream: Upstream) -> None:
        """Records that an upstream goes on with a stream, and renews its record."""
        resumed_request = call.request.resumed_request
        version = upstream.software_version
        log_event(
            "stream.taken_up",
            request=call.request.id,
            resumes=resumed_request,
            last_event=call.request.last_event_id,
            upstream=upstream.id,
            software=version,
        )
        if not (call.may_be_resumed and resumed_request):
            return
        record = _make_record(resumed_request, call, version)
        self.table.add_own(record, self.clock())
        if self._needs_record(call, version) and self._has_room():
            self.writer.add(record)

    def _needs_record(self, call: RoutedCall, version: SoftwareVersion) -> bool:
        return needs_record(
            get_route_prefix(call.route),
            version,
            self.table,
            self.defaults.observations,
            now=self.clock(),
            synced_at=self.consumer.synced_at,
            client_time=_get_client_time(call),
        )

    # Streams that are resumed by their clients

    async def find_version(self, call: RoutedCall) -> SoftwareVersion:
        """Returns the version that began the stream that a client resumes.

        Raises:
            BuckthornstileError: It is not known, or no upstream of it is in service.
        """
        resolution = await self._resolve(call)
        version = resolution.version
        result = resolution.state.value
        if version is not None and not self._is_in_service(call.route, version):
            result = "gone"
        self.counters.increment(TAKE_UPS_COUNTER, result=result)
        if version is not None and result != "gone":
            return version
        log_event(
            "stream.not_taken_up",
            request=call.request.id,
            resumes=call.request.resumed_request,
            result=result,
            software=version,
        )
        raise BuckthornstileError(
            ErrorCode.NO_UPSTREAM,
            f"no upstream may resume the stream of request "
            f"{call.request.resumed_request!r} ({result})",
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _resolve(self, call: RoutedCall) -> Resolution:
        route, resumed_request = (
            get_route_prefix(call.route),
            call.request.resumed_request,
        )
        stream = compute_stream_digest(resumed_request)
        if resumed_request:
            known = self.table.find(stream, self.clock())
            if known is not None:
                return known
        # A record is acknowledged before the first event is passed on, so that a read
        # which is sent now finds it.
        remaining = call.deadline - asyncio.get_running_loop().time()
        timeout = min(SYNC_TIMEOUT, max(0.0, remaining))
        if not await self.consumer.wait_until_synced(timeout):
            return Resolution(ResolutionState.UNKNOWN)
        target = call.request.host + call.request.path
        former, now = self.defaults.list_former_routes(target), self.clock()
        if resumed_request:
            return self.table.resolve(route, stream, now, former=former)
        registered = self.defaults.count_versions([call.route])[route]
        return self.table.resolve_unnamed(route, registered.keys(), now, former=former)

    def _is_in_service(self, route: Route, version: SoftwareVersion) -> bool:
        return any(
            upstream.software_version == version
            for service, _ in route.services
            for upstream in self.view.list_available_upstreams(service)
        )

    # Records

    def _apply_snapshot(self, records: list[KeyedRecord]) -> None:
        self.table.clear_keys()
        for record in records:
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        key, value, now = record.key, record.value, self.clock()
        try:
            if is_route_key(key):
                default = decode_default(value) if value is not None else None
                self.table.apply_default(key, default, now)
            elif value is None:
                self.table.remove_batch(key)
            else:
                self.table.apply_batch(key, decode_batch(value), now)
                self.writer.batches.reclaim(key, now)
        except ValueError as error:
            self.table.record_loss(now + MAX_UNREADABLE_TIME)
            log_event("stream_version.unreadable", key=key, reason=error)


def _make_record(
    request_id: str, call: RoutedCall, version: SoftwareVersion
) -> StreamRecord:
    digest = compute_stream_digest(request_id)
    return StreamRecord(digest, version, _get_client_time(call))


def _get_client_time(call: RoutedCall) -> float:
    """Returns the seconds within which a client resumes the stream of an attempt.

    An attempt lasts no longer than its route allows; one that resumes the stream counts
    anew.
    """
    remaining = call.request.remaining_time
    if remaining is None:
        remaining = DEFAULT_CLIENT_TIME
    return min(remaining, call.route.timeout) + LIFETIME_MARGIN
