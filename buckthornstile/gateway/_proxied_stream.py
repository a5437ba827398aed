"""Proxies the events of one stream to its client as they arrive."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from functools import cache

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    Verdict,
)
from buckthornstile.gateway._admission_ticket import AdmissionTicket
from buckthornstile.gateway._call_sender import (
    MAX_REFUSALS,
    NOT_RUN_STATUSES,
    REFUSAL_PAUSE,
    CallSender,
    is_check_error,
)
from buckthornstile.gateway._fingerprint import compute_fingerprint
from buckthornstile.gateway._incarnation_checker import IncarnationChecker
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.gateway._request_profiles import make_call_profile
from buckthornstile.gateway._slot_waiting import (
    get_latest_start,
    get_retry_delay,
    wait_for_slot,
)
from buckthornstile.gateway._stream_run import (
    STREAM_STATUS,
    StreamRun,
    make_stream_call,
)
from buckthornstile.gateway._stream_version_log import StreamVersionLog
from buckthornstile.http_client import ConnectionPool
from buckthornstile.logs import log_event
from buckthornstile.messages import (
    Response,
    ResponseHead,
    RoutedCall,
    StreamingResponse,
)
from buckthornstile.platform import encode_event
from buckthornstile.topology import Upstream

FIRST_FAILURE_STATUS = 300
"""HTTP status from which a response needs no signature of its upstream."""
STREAM_IDLE_TIMEOUT = 1.2
"""Seconds without an event after which a resumable stream moves to another upstream."""
UNKNOWN_VERSION = SoftwareVersion("")
"""Version of a stream that began at an upstream whose present software is not known. No
upstream registers it, so that nothing resumes the stream."""


@dataclass(frozen=True, slots=True)
class StreamResources:
    """What all streams of an entry share.

    Attributes:
        sender: Chooses services and is notified of requests that were run.
        balancer: Chooses upstreams.
        pool: Connections to them.
        versions: Knows which software versions began streams.
        incarnations: Checks that an upstream is the one whose version is known.
    """

    sender: CallSender
    balancer: LoadBalancer
    pool: ConnectionPool
    versions: StreamVersionLog
    incarnations: IncarnationChecker


class ProxiedStream:
    """One request and its attempts at upstreams.

    Args:
        resources: What all streams of the entry share.
        call: The request.
        software_version: The version that began the stream, if its client resumes it.

    Attributes:
        tried: Upstreams that the request was sent to.
        run_count: Number of attempts started, without those that are known not to have
            run the request.
        refusal_count: Number of attempts that are known not to have run the request.
        may_have_run: Whether an upstream may have run the request.
        last_event_id: Id of the last event that the client has, or None.
        version: Model version of the last event; before the first event, of the head.
        software_version: Version of the upstreams' software that began the stream, the
            only one that may continue it; None before the first event of all attempts.
        is_reported: Whether the sender was notified that the request was run.
        current_run: The run whose events are proxied, or None before the first.
        ticket: The admission of the request.
    """

    def __init__(
        self,
        resources: StreamResources,
        call: RoutedCall,
        software_version: SoftwareVersion | None,
    ) -> None:
        self.resources = resources
        self.call = call
        self.route = call.route
        self.software_version = software_version
        self.service: ServiceName = resources.sender.choose_service(
            call.route, self._make_filter()
        )
        self.profile = make_call_profile(call, self.service)
        self.tried: list[UpstreamId] = []
        self.run_count = 0
        self.refusal_count = 0
        self.may_have_run = False
        self.last_event_id = call.request.last_event_id
        self.version: int | None = None
        self.is_reported = False
        self.current_run: StreamRun | None = None
        self.started_at = asyncio.get_running_loop().time()
        self.ticket = AdmissionTicket(resources.sender.admission, call, self.service)

    async def open(self) -> Response | StreamingResponse:
        balancer = self.resources.balancer
        balancer.rate_limits.record_request(self.service)
        self.resources.sender.crash_detector.check_allowed(self.call)
        try:
            await self.ticket.acquire()
            latest_start = get_latest_start(
                self.call, asyncio.get_running_loop().time()
            )
            while self._pick() is None:
                if not await wait_for_slot(
                    balancer, self.service, latest_start, self._make_filter()
                ):
                    break
            return await self._open_run()
        except BaseException:
            self.ticket.end(is_complete=False)
            raise

    async def _open_run(self) -> Response | StreamingResponse:
        while True:
            run = self._start()
            is_proxied = False
            try:
                head = await run.wait_for_head(self._get_idle_deadline())
                if head is None:
                    await self._record_failure(run)
                elif head.is_refusal:
                    self._record_refusal(run, head)
                elif head.status < FIRST_FAILURE_STATUS and (
                    head.has_content_encoding or not head.signature
                ):
                    await self._record_failure(run)
                elif head.status != STREAM_STATUS:
                    response = await self._read_failure(run, head)
                    self.ticket.end(is_complete=False)
                    return response
                elif not await self._may_resume_at(run.upstream):
                    self.may_have_run = True
                else:
                    if self.last_event_id is not None:
                        self.resources.versions.record_take_up(self.call, run.upstream)
                    self.version = head.version
                    chunks = self._proxy_events(run)
                    await anext(chunks)
                    is_proxied = True
                    return StreamingResponse(
                        STREAM_STATUS,
                        head.headers,
                        chunks,
                        count_buffered=self._count_buffered,
                    )
            finally:
                if not is_proxied:
                    await run.cancel()
            if not self.may_have_run and self._may_be_sent_again():
                await self.ticket.acquire(is_retry=True)

    def _may_be_sent_again(self) -> bool:
        has_runs_left = self.run_count < max(1, self.route.max_attempts)
        return has_runs_left and self.refusal_count < MAX_REFUSALS

    def _pick(self) -> Upstream | None:
        return self.resources.balancer.pick(
            self.service,
            avoided=self.tried,
            is_eligible=self._make_filter(),
            profile=self.profile,
            body_bytes=len(self.call.request.body),
        )

    def _make_filter(self) -> Callable[[Upstream], bool]:
        """Returns whether an upstream may run the stream now."""
        may_run = cache(self._may_run_at)
        is_replaced = self.resources.incarnations.is_replaced
        return lambda upstream: (
            may_run(upstream.software_version)
            and not (self.software_version is not None and is_replaced(upstream))
        )

    def _may_run_at(self, version: SoftwareVersion) -> bool:
        if self.software_version is not None:
            return version == self.software_version
        return not self.call.may_be_resumed or self.resources.versions.may_begin(
            self.call, version
        )

    async def _may_resume_at(self, upstream: Upstream) -> bool:
        """Whether a run whose head has arrived is at the version that began the stream.

        True for a run that begins the stream.
        """
        if self.software_version is None:
            return True
        state = await self.resources.incarnations.check(upstream)
        return state.may_be_listed

    async def _find_first_version(self, run: StreamRun) -> SoftwareVersion | None:
        """Returns the version that begins the stream, or None if it must not begin."""
        state = await self.resources.incarnations.check(run.upstream)
        if run.has_been_replaced():
            return None
        if state.may_be_listed:
            return run.upstream.software_version
        versions = self.resources.versions
        if self.call.may_be_resumed and not versions.may_begin(
            self.call, UNKNOWN_VERSION
        ):
            return None
        return UNKNOWN_VERSION

    def _start(self) -> StreamRun:
        """Starts the next run.

        Raises:
            BuckthornstileError: No further run is allowed or possible.
        """
        loop, balancer = asyncio.get_running_loop(), self.resources.balancer
        if loop.time() >= self.call.deadline:
            raise self._make_error(
                ErrorCode.DEADLINE_PASSED, "no upstream responded before the deadline"
            )
        has_runs_left = self.run_count < max(1, self.route.max_attempts)
        if self.may_have_run and not (self.route.is_resumable and has_runs_left):
            raise self._make_error(
                ErrorCode.ANSWER_TRUNCATED,
                "the stream ended early and cannot be resumed",
            )
        if self.resources.sender.crash_detector.get_remaining_time(self.call):
            raise self._make_error(
                ErrorCode.QUARANTINED, "upstreams that ran the same request crashed"
            )
        upstream = None
        if self._may_be_sent_again():
            upstream = self._pick()
        if upstream is None:
            refusal = None if self.may_have_run else self.ticket.refuse()
            raise refusal or self._make_error(
                ErrorCode.NO_UPSTREAM,
                f"no upstream of service {self.service!r} accepted the request",
            )
        self.tried.append(upstream.id)
        self.run_count += 1
        permit = balancer.acquire_permit(
            upstream, self.profile, body_bytes=len(self.call.request.body)
        )
        self.ticket.confirm_start()
        return StreamRun(
            self.resources.pool,
            self.resources.balancer,
            upstream,
            make_stream_call(self.call, upstream, self.last_event_id, loop.time()),
            permit,
            self.call.before_send,
        )

    async def _read_failure(self, run: StreamRun, head: ResponseHead) -> Response:
        self.may_have_run = True
        body = await run.read_failure(self.call.deadline)
        if body is None:
            raise self._make_error(
                ErrorCode.DEADLINE_PASSED, "no complete response before the deadline"
            )
        if not self.route.is_resumable and head.status in NOT_RUN_STATUSES:
            raise self._make_error(
                ErrorCode.UPSTREAM_FAILED,
                f"the upstream refused with {head.status} what it may have run",
            )
        return Response(head.status, body, head.headers)

    async def _record_failure(self, run: StreamRun) -> None:
        error = run.get_error()
        if error is not None and is_check_error(error):
            raise self._make_error(error.code, error.message)
        self.resources.balancer.record_failure(run.upstream)
        if error is None:
            # A run that still connects must not send the request later.
            await run.cancel()
        if not run.is_sent or (error and error.verdict is Verdict.NOT_RUN):
            self.run_count -= 1
            self.refusal_count += 1
        else:
            self.may_have_run = True
        log_event(
            "stream.run_failed",
            request=self.call.request.id,
            upstream=run.upstream.id,
            fingerprint=compute_fingerprint(self.call),
            last_event=self.last_event_id,
            reason=error or "silent",
        )
        crash_detector = self.resources.sender.crash_detector
        await crash_detector.record_failure(self.call, run.upstream, error)

    def _record_refusal(self, run: StreamRun, head: ResponseHead) -> None:
        self.run_count -= 1
        self.refusal_count += 1
        if head.other_upstream is not None:
            self.resources.balancer.record_failure(run.upstream)
        else:
            self.resources.balancer.record_refusal(run.upstream, REFUSAL_PAUSE)

    async def _proxy_events(self, run: StreamRun) -> AsyncGenerator[bytes, None]:
        try:
            # Closing a generator that was never started skips its finally block, so
            # the caller takes this first, empty chunk.
            yield b""
            while True:
                async for chunk in self._proxy_run(run):
                    yield chunk
                if run.is_complete():
                    self.resources.balancer.record_success(run.upstream)
                    self.resources.sender.crash_detector.record_response(self.call)
                    self.ticket.end(is_complete=True)
                    return
                await run.cancel()
                await self._record_failure(run)
                previous = run.upstream
                run = await self._resume()
                log_event(
                    "stream.resumed",
                    request=self.call.request.id,
                    last_event=self.last_event_id,
                    upstream=run.upstream.id,
                    software=run.upstream.software_version,
                    previous_software=previous.software_version,
                )
        finally:
            self.ticket.end(is_complete=False)
            await run.cancel()

    def _count_buffered(self) -> int:
        return 0 if self.current_run is None else self.current_run.events.byte_count

    async def _proxy_run(self, run: StreamRun) -> AsyncGenerator[bytes, None]:
        self.current_run = run
        is_first = True
        while True:
            event_and_block = await run.next_event(self._get_idle_deadline())
            if event_and_block is None:
                return
            event, block = event_and_block
            if is_first and self.route.is_resumable and run.has_been_replaced():
                run.is_malformed = True
                return
            is_first = False
            if self.last_event_id is not None and event.id != self.last_event_id + 1:
                run.is_malformed = True
                return
            self._report_executed()
            if self.software_version is None and self.route.is_resumable:
                self.software_version = await self._find_first_version(run)
                if self.software_version is None:
                    run.is_malformed = True
                    return
                if self.call.may_be_resumed:
                    await self.resources.versions.record_begin(
                        self.call, self.software_version
                    )
            has_new_version = self.version not in (None, event.version)
            self.last_event_id, self.version = event.id, event.version
            yield encode_event(block, event.version if has_new_version else None)

    async def _resume(self) -> StreamRun:
        """Starts a run that continues after the last event.

        Raises:
            BuckthornstileError: The stream cannot be resumed.
        """
        while True:
            run = self._start()
            head = None
            try:
                head = await run.wait_for_head(self._get_idle_deadline())
                if head is not None and head.is_refusal:
                    self._record_refusal(run, head)
                elif head is None or head.status != STREAM_STATUS or not head.signature:
                    await self._record_failure(run)
                elif await self._may_resume_at(run.upstream):
                    return run
            except BaseException:
                await run.cancel()
                raise
            await run.cancel()

    def _get_idle_deadline(self) -> float:
        """Returns the time at which a silent run is given up, in the loop's time."""
        if not self.route.is_resumable:
            return self.call.deadline
        return min(
            self.call.deadline, asyncio.get_running_loop().time() + STREAM_IDLE_TIMEOUT
        )

    def _report_executed(self) -> None:
        if not self.is_reported and self.call.account is not None:
            elapsed = asyncio.get_running_loop().time() - self.started_at
            self.resources.sender.on_executed(self.call.account, elapsed)
        self.is_reported = True

    def _make_error(self, code: ErrorCode, message: str) -> BuckthornstileError:
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN
        retry_after = None
        if not self.may_have_run:
            retry_after = get_retry_delay(
                self.resources.balancer, self.service, self._make_filter()
            )
        return BuckthornstileError(
            code, message, verdict=verdict, retry_after=retry_after
        )
