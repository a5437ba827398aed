"""Handlers of clients' requests: calls, batch jobs, their results and item bodies."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    ProcessName,
    Verdict,
    get_http_status,
    parse_integer,
)
from buckthornstile.gateway._call_sender import CallSender
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._key_checks import KeyChecker, RequestKey
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._peer_client import PeerClient
from buckthornstile.gateway._stream_proxy import StreamProxy
from buckthornstile.gateway._topology_watcher import TopologyWatcher
from buckthornstile.jobs import Job, JobId, JobSpecification
from buckthornstile.logs import log_event
from buckthornstile.messages import (
    ClientRequest,
    KeyDecision,
    Response,
    RoutedCall,
    StreamingResponse,
)
from buckthornstile.platform import (
    ResourceKind,
    decode_job,
    decode_key_decision,
    encode_key_decision,
    encode_results,
    parse_path,
)
from buckthornstile.topology import Route, RouteKind, TopologyView

RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a client may retry a request that was not run."""
MEMORY_RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a client may submit a job again for which there was no room."""
CATCH_UP_TIMEOUT = 0.6
"""Seconds in which this process must read the store's latest records before it reports
a job as unknown."""
EARLIER_RELEASE_READ_TIMEOUT = 0.5
"""Seconds in which this process must read the operators' latest records before it
responds to an entry of an earlier release, which does not state its configuration."""
MAX_RESULT_STALENESS = 1.2
"""Seconds since the last read that reached the end of a job's partition, after which
the job may have results that this process does not know."""
NO_ACCOUNT = AccountId("")
"""Account of the jobs of a configuration without client accounts."""
ANONYMOUS_ACCOUNT = AccountId("open")
"""Account under which metrics count the callers of routes that need no key."""
DEFAULT_TIMEOUT = 10.0
"""Seconds that a request may take if it states no remaining time."""
RESPONSE_MARGIN = 0.02
"""Seconds before the client's deadline at which a request fails, so that the response
arrives in time."""


@dataclass(frozen=True, slots=True)
class HandlerDependencies:
    """The objects and settings that the handlers use.

    Attributes:
        view: The topology in effect.
        topology_watcher: Keeps the view up to date.
        sender: Sends calls to upstreams.
        stream_proxy: Opens streams at upstreams.
        job_store: The batch jobs.
        wall_clock: Returns the seconds since the epoch.
        metrics: Records the latencies of calls.
        choose_first_owner: Returns the process that runs a new job first.
        peer_client: Forwards requests to other entries.
        key_checker: Looks up API keys.
        max_job_bytes: Maximum size of the bodies of unfinished jobs, in bytes; a single
            job may exceed it.
    """

    view: TopologyView
    topology_watcher: TopologyWatcher
    sender: CallSender
    stream_proxy: StreamProxy
    job_store: JobStore
    wall_clock: Callable[[], float]
    metrics: GatewayMetrics
    choose_first_owner: Callable[[JobSpecification], ProcessName]
    peer_client: PeerClient
    key_checker: KeyChecker
    max_job_bytes: int


class ClientHandlers:
    """Handles the requests that clients and other entries send."""

    def __init__(self, dependencies: HandlerDependencies) -> None:
        self.dependencies = dependencies

    async def handle(self, request: ClientRequest) -> Response | StreamingResponse:
        """Handles a client's request; an error becomes an error response."""
        return await self._respond(request, self._dispatch(request))

    async def handle_forwarded(
        self, request: ClientRequest
    ) -> Response | StreamingResponse:
        """Handles a request about a job that another entry forwarded.

        The response states what this process has decided about the key.
        """
        stated = decode_key_decision(request.headers)
        key = self._make_request_key(request, stated=stated)
        response = await self._respond(request, self._serve_forwarded(request, key))
        headers = encode_key_decision(key.get_last_decision())
        return replace(response, headers=(*response.headers, *headers))

    async def _respond(
        self,
        request: ClientRequest,
        coroutine: Coroutine[Any, Any, Response | StreamingResponse],
    ) -> Response | StreamingResponse:
        try:
            return await coroutine
        except BuckthornstileError as error:
            response = make_error_response(error)
            log_event(
                "request.refused",
                request=request.id,
                path=request.path[:60],
                error=error.code.value,
                reason=error.message,
                verdict=error.verdict.value,
                status=response.status,
                configuration=getattr(
                    self.dependencies.view.configuration, "version", None
                ),
                store_age=(
                    self.dependencies.topology_watcher.operator_consumer.get_staleness()
                ),
            )
            return response

    async def _dispatch(self, request: ClientRequest) -> Response | StreamingResponse:
        resource_kind, _ = parse_path(request.path)
        if resource_kind in (ResourceKind.JOB, ResourceKind.ITEM):
            return await self._serve_or_forward(request)
        route = self._find_route(request)
        key = self._make_request_key(request, allows_anonymous=route.allows_anonymous)
        decision = key.check()
        if route.kind is RouteKind.ROLLOUT:
            return await self._submit(request, route, decision, key)
        return await self._call(request, route, decision, key)

    # Routing and authentication

    def _find_route(self, request: ClientRequest) -> Route:
        self.dependencies.key_checker.get_configuration()
        route = self.dependencies.view.find_route(request.host, request.path)
        if route is None or not route.services:
            self.dependencies.key_checker.check_newest()
            raise BuckthornstileError(
                ErrorCode.ROUTE_UNKNOWN, f"no route for host {request.host!r}"
            )
        return route

    def _make_request_key(
        self,
        request: ClientRequest,
        *,
        allows_anonymous: bool = False,
        stated: KeyDecision | None = None,
    ) -> RequestKey:
        return RequestKey(
            self.dependencies.key_checker,
            request.key,
            allows_anonymous=allows_anonymous,
            stated=stated,
        )

    # Calls

    async def _call(
        self,
        request: ClientRequest,
        route: Route,
        decision: KeyDecision,
        key: RequestKey,
    ) -> Response | StreamingResponse:
        if not request.id:
            raise BuckthornstileError(ErrorCode.HEADER_INVALID, "the request has no id")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        remaining = (
            DEFAULT_TIMEOUT
            if request.remaining_time is None
            else request.remaining_time
        )
        timeout = min(remaining - RESPONSE_MARGIN, route.timeout)
        if timeout <= 0:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED, "the request's deadline has already passed"
            )
        call = RoutedCall(
            request,
            route,
            decision.account,
            started_at + timeout,
            before_send=key.check_before_send,
            check_after_wait=key.check,
            may_be_resumed=route.is_streaming and route.is_resumable,
        )
        if route.is_streaming:
            return await self.dependencies.stream_proxy.open(call)
        upstream_response = await self.dependencies.sender.send(call)
        self.dependencies.metrics.record_call(
            decision.account or ANONYMOUS_ACCOUNT, loop.time() - started_at
        )
        log_event(
            "call.answered",
            request=request.id,
            route=route.name,
            upstream=upstream_response.upstream,
            status=upstream_response.head.status,
            seconds=loop.time() - started_at,
        )
        return Response(
            upstream_response.head.status,
            upstream_response.body,
            upstream_response.head.headers,
        )

    # Batch jobs

    async def _submit(
        self,
        request: ClientRequest,
        route: Route,
        decision: KeyDecision,
        key: RequestKey,
    ) -> Response:
        account_id = decision.account or NO_ACCOUNT
        existing = self.dependencies.job_store.table.find(JobId(request.id))
        if existing is not None and existing.specification.account == account_id:
            return Response(202)
        specification = decode_job(
            request.id,
            request.body,
            account=account_id,
            route=route,
            submitted_at=self.dependencies.wall_clock(),
            configuration_version=decision.version,
        )
        if self.dependencies.job_store.is_consumed(
            self.dependencies.job_store.find_partition(account_id)
        ):
            # Otherwise the job is not held here, and may have been accepted before.
            self._check_job_memory(specification)
        first_owner = self.dependencies.choose_first_owner(specification)

        def check_before_send() -> None:
            key.check()
            self._check_route(request, route)

        await self.dependencies.job_store.accept(
            specification, first_owner, before_send=check_before_send
        )
        log_event(
            "job.accepted",
            job=specification.id,
            account=account_id,
            owner=first_owner,
            items=len(specification.items),
            step=specification.step,
            minimum_version=specification.minimum_version,
            wanted_groups=specification.wanted_groups,
        )
        return Response(202)

    def _check_route(self, request: ClientRequest, route: Route) -> None:
        """Checks that a job's route is the one that its specification was made for.

        Raises:
            BuckthornstileError: ``CONFIGURATION_CHANGED``.
        """
        current_route = self.dependencies.view.find_route(request.host, request.path)
        if current_route != route:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_CHANGED,
                f"route {route.name!r} has changed during the request",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def _check_job_memory(self, specification: JobSpecification) -> None:
        """Refuses a job if the unfinished jobs that this process holds are too large.

        Raises:
            BuckthornstileError: ``MEMORY_FULL``.
        """
        held = self.dependencies.job_store.table.count_unfinished_bytes()
        needed = held + specification.count_body_bytes()
        if held and needed > self.dependencies.max_job_bytes:
            raise BuckthornstileError(
                ErrorCode.MEMORY_FULL,
                f"unfinished jobs hold {held} bytes",
                retry_after=MEMORY_RETRY_AFTER_SECONDS,
            )

    async def _serve_or_forward(self, request: ClientRequest) -> Response:
        """Handles a request about a job, or forwards it to an assigned entry."""
        key = self._make_request_key(request)
        decision = key.check()
        part = self._find_partition(decision)
        if self._can_serve(request, part):
            return await self._serve_job(request, key)
        try:
            answer = await self.dependencies.peer_client.forward(
                request,
                part,
                decision,
                accepts_earlier_release=self.dependencies.key_checker.is_known_to_all(),
            )
        except BuckthornstileError as error:
            # This process starts to consume the partition, so that it can serve the
            # client's retry itself, unless others will be able to serve it soon.
            is_soon = error.code is ErrorCode.CONFIGURATION_OLD
            if not (is_soon and self.dependencies.key_checker.fails_closed):
                self.dependencies.job_store.request_partition(part)
            raise
        key.confirm(answer.decision)
        return answer.response

    def _find_partition(self, decision: KeyDecision) -> int:
        return self.dependencies.job_store.find_partition(
            decision.account or NO_ACCOUNT
        )

    def _can_serve(self, request: ClientRequest, part: int) -> bool:
        """Whether this process can handle a request about a job of a partition.

        A job that it knows can also be ended while its records are loaded again.
        """
        job_store = self.dependencies.job_store
        if job_store.is_consumed(part):
            return True
        resource_kind, name = parse_path(request.path)
        is_end = request.method == "DELETE" and resource_kind is ResourceKind.JOB
        return is_end and job_store.table.find(JobId(name)) is not None

    async def _serve_forwarded(
        self, request: ClientRequest, key: RequestKey
    ) -> Response:
        """Handles a forwarded request under a configuration that is recent enough.

        A read that is sent now returns whatever an entry of an earlier release, which
        states no decision, had read when it forwarded the request.

        Raises:
            BuckthornstileError: The request is refused.
        """
        consumer = self.dependencies.topology_watcher.operator_consumer
        if key.stated is None and not await consumer.wait_until_synced(
            EARLIER_RELEASE_READ_TIMEOUT
        ):
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_OLD,
                "the store could not be read to check the API key",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return await self._serve_job(request, key)

    async def _serve_job(self, request: ClientRequest, key: RequestKey) -> Response:
        if not self._can_serve(request, self._find_partition(key.check())):
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "this process does not consume the job's partition",
                retry_after=RETRY_AFTER_SECONDS,
            )
        resource_kind, name = parse_path(request.path)
        if resource_kind is ResourceKind.ITEM:
            return await self._read_item(request, JobId(name), key)
        if resource_kind is ResourceKind.JOB:
            return await self._handle_job(request, JobId(name), key)
        raise BuckthornstileError(
            ErrorCode.ROUTE_UNKNOWN, f"path {request.path[:60]!r} does not name a job"
        )

    async def _handle_job(
        self, request: ClientRequest, job_id: JobId, key: RequestKey
    ) -> Response:
        if request.method == "DELETE":
            return await self._end_job(job_id, key)
        if request.method != "GET":
            raise BuckthornstileError(
                ErrorCode.HEADER_INVALID, f"method {request.method!r} is not allowed"
            )
        start = _parse_position(request)
        job = await self._find_job(job_id, key)
        if start >= len(job.results) and not job.is_finished():
            await self._wait_for_result(job, start, request.wait)
            key.check()
        total = len(job.items)
        if start >= len(job.results) and len(job.results) < total:
            self._check_freshness(job)
        body = encode_results(job.results, total, start)
        return Response(200, body, (("Content-Type", "application/json"),))

    async def _read_item(
        self, request: ClientRequest, job_id: JobId, key: RequestKey
    ) -> Response:
        job = await self._find_job(job_id, key)
        item_ids = parse_qs(request.query).get("id", [""])
        for item in job.iterate_pending_items():
            if item.id == item_ids[0] and not job.ended:
                return Response(200, item.body)
        raise BuckthornstileError(
            ErrorCode.LOT_UNKNOWN, f"job {job_id!r} has no open item {item_ids[0]!r}"
        )

    async def _end_job(self, job_id: JobId, key: RequestKey) -> Response:
        job = await self._find_job(job_id, key)
        if not job.ended:
            await self.dependencies.job_store.end(job, before_send=key.check)
            log_event("job.ended", job=job_id, listed=len(job.results))
        return Response(200)

    async def _find_job(self, job_id: JobId, key: RequestKey) -> Job:
        table = self.dependencies.job_store.table
        decision = key.check()
        job = table.find(job_id)
        if job is None:
            part = self._find_partition(decision)
            consumer = self.dependencies.job_store.consumers[part]
            if not await consumer.wait_until_synced(CATCH_UP_TIMEOUT):
                raise BuckthornstileError(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    f"the store could not be read to look up job {job_id!r}",
                    retry_after=RETRY_AFTER_SECONDS,
                )
            key.check()
            job = table.find(job_id)
        account = decision.account or NO_ACCOUNT
        if job is None or job.specification.account != account:
            raise BuckthornstileError(
                ErrorCode.LOT_UNKNOWN, f"job {job_id!r} does not exist"
            )
        return job

    async def _wait_for_result(self, job: Job, start: int, wait: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while start >= len(job.results) and not job.is_finished():
            remaining = deadline - loop.time()
            if remaining <= 0:
                return
            changed: asyncio.Future[None] = loop.create_future()

            def wake(changed: "asyncio.Future[None]" = changed) -> None:
                if not changed.done():
                    changed.set_result(None)

            job.change_callbacks.append(wake)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await changed

    def _check_freshness(self, job: Job) -> None:
        staleness = self.dependencies.job_store.consumers[job.part].get_staleness()
        if staleness > MAX_RESULT_STALENESS:
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"the results of job {job.id!r} are {staleness:.1f} s old",
                retry_after=RETRY_AFTER_SECONDS,
            )


def make_error_response(error: BuckthornstileError) -> Response:
    """Builds the response to a request that failed.

    A status by which clients conclude that the request was not run is returned only if
    the verdict is NOT_RUN.
    """
    status = get_http_status(error.code)
    if status >= 500 or status == 429:
        status = 503 if error.verdict is Verdict.NOT_RUN else status
        if error.verdict is not Verdict.NOT_RUN and status in (429, 503):
            status = 502
    body = error.code.value.encode()
    return Response(status, body, (("Content-Type", "text/plain"),), error.retry_after)


def _parse_position(request: ClientRequest) -> int:
    value = parse_qs(request.query).get("after", ["0"])[0]
    position = parse_integer(value)
    if position is None:
        raise BuckthornstileError(
            ErrorCode.HEADER_INVALID, f"position {value[:20]!r} is not a number"
        )
    return position
