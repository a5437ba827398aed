"""Answers clients: calls, batch jobs, their results and bodies."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    ProcessName,
    Verdict,
    get_http_status,
)
from buckthornstile.gateway._call_sender import CallSender
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._peer_client import PeerClient
from buckthornstile.gateway._stream_proxy import StreamProxy
from buckthornstile.gateway._topology_watcher import TopologyWatcher
from buckthornstile.jobs import Job, JobId, JobSpecification
from buckthornstile.logs import log_event
from buckthornstile.messages import (
    ClientRequest,
    Response,
    RoutedCall,
    StreamingResponse,
)
from buckthornstile.platform import ResourceKind, decode_job, encode_results, parse_path
from buckthornstile.topology import PlatformAccount, Route, RouteKind, TopologyView

KEY_BOUND_FRACTION = 0.9
"""Share of the bound on withdrawn keys for which keys are trusted unseen."""
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a request that was not run may come again."""
CATCH_UP_TIME = 0.6
"""Seconds in which a process makes sure that it knows no such job."""
STALE_TIME = 1.2
"""Seconds without the store after which the end of a job's results is not known."""
OPEN_ACCOUNT = AccountId("open")
"""Stands for the callers of open routes in metrics."""
DEFAULT_TIME = 10.0
ANSWER_MARGIN = 0.02
"""Seconds before the client's deadline at which a request is given up."""


@dataclass(frozen=True, slots=True)
class HandlerDependencies:
    """What the handlers use."""

    view: TopologyView
    topology_watcher: TopologyWatcher
    sender: CallSender
    stream_proxy: StreamProxy
    jobs: JobStore
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    metrics: GatewayMetrics
    choose_first_owner: Callable[[JobSpecification], ProcessName]
    peers: PeerClient
    key_bound: float
    fails_closed: bool


class ClientHandlers:
    """Answers the requests that come through the clients' door."""

    def __init__(self, dependencies: HandlerDependencies) -> None:
        self.dependencies = dependencies

    async def handle(self, request: ClientRequest) -> Response | StreamingResponse:
        """Answers one request; failures become an honest status."""
        return await self._answer(request, self._dispatch(request))

    async def handle_forwarded(
        self, request: ClientRequest
    ) -> Response | StreamingResponse:
        """Answers a request about a job that another entry passed on."""
        return await self._answer(request, self._serve_job(request))

    async def _answer(
        self,
        request: ClientRequest,
        work: Coroutine[Any, Any, Response | StreamingResponse],
    ) -> Response | StreamingResponse:
        try:
            return await work
        except BuckthornstileError as error:
            reply = make_error_response(error)
            log_event(
                "request.refused",
                request=request.id,
                path=request.path[:60],
                error=error.code.value,
                reason=error.message,
                verdict=error.verdict.value,
                status=reply.status,
                configuration=getattr(
                    self.dependencies.view.configuration, "version", None
                ),
                store_age=self.dependencies.topology_watcher.operator.get_staleness(),
            )
            return reply

    async def _dispatch(self, request: ClientRequest) -> Response | StreamingResponse:
        subject, _ = parse_path(request.path)
        if subject in (ResourceKind.JOB, ResourceKind.ITEM):
            return await self._serve_or_forward(request)
        route = self._find_route(request)
        account = self._authenticate(request, route.allows_anonymous)
        if route.kind is RouteKind.ROLLOUT:
            return await self._submit(request, route, account)
        return await self._call(request, route, account)

    # Filters

    def _find_route(self, request: ClientRequest) -> Route:
        if self.dependencies.view.configuration is None:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_MISSING,
                "no configuration is known yet",
                retry_after=RETRY_AFTER_SECONDS,
            )
        route = self.dependencies.view.find_route(request.host, request.path)
        if route is None or not route.services:
            raise BuckthornstileError(
                ErrorCode.ROUTE_UNKNOWN, f"no route for host {request.host!r}"
            )
        return route

    def _authenticate(
        self, request: ClientRequest, is_open: bool = False
    ) -> PlatformAccount | None:
        view = self.dependencies.view
        configuration = view.configuration
        if configuration is None:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_MISSING,
                "no configuration is known yet",
                retry_after=RETRY_AFTER_SECONDS,
            )
        if is_open or not configuration.accounts:
            return None
        age = self.dependencies.topology_watcher.operator.get_staleness()
        if (
            self.dependencies.fails_closed
            and age > KEY_BOUND_FRACTION * self.dependencies.key_bound
        ):
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_OLD,
                f"the configuration is {age:.1f} s old, too old to trust a key",
                retry_after=RETRY_AFTER_SECONDS,
            )
        if not request.key:
            raise BuckthornstileError(ErrorCode.KEY_MISSING, "the request has no key")
        account = view.find_account(request.key)
        if account is None:
            raise BuckthornstileError(ErrorCode.KEY_UNKNOWN, "the key is not known")
        return account

    # Calls

    async def _call(
        self, request: ClientRequest, route: Route, account: PlatformAccount | None
    ) -> Response | StreamingResponse:
        if not request.id:
            raise BuckthornstileError(ErrorCode.HEADER_INVALID, "the request has no id")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        left = (
            DEFAULT_TIME if request.remaining_time is None else request.remaining_time
        )
        time = min(left - ANSWER_MARGIN, route.timeout)
        if time <= 0:
            raise BuckthornstileError(ErrorCode.DEADLINE_PASSED, "no time is left")
        planned = RoutedCall(
            request,
            route,
            account.name if account else None,
            started_at + time,
        )
        if route.is_streaming:
            return await self.dependencies.stream_proxy.open(planned)
        answer = await self.dependencies.sender.send(planned)
        self.dependencies.metrics.record_call(
            account.name if account else OPEN_ACCOUNT, loop.time() - started_at
        )
        log_event(
            "call.answered",
            request=request.id,
            route=route.name,
            upstream=answer.upstream,
            status=answer.head.status,
            seconds=loop.time() - started_at,
        )
        return Response(answer.head.status, answer.body, answer.head.headers)

    # Batch jobs

    async def _submit(
        self, request: ClientRequest, route: Route, account: PlatformAccount | None
    ) -> Response:
        owner = _get_name(account)
        known = self.dependencies.jobs.table.find(JobId(request.id))
        if known is not None and known.specification.account == owner:
            return Response(202)
        specification = decode_job(
            request.id,
            request.body,
            account=owner,
            route=route,
            submitted_at=self.dependencies.wall_clock(),
        )
        first_owner = self.dependencies.choose_first_owner(specification)
        await self.dependencies.jobs.accept(specification, first_owner)
        log_event(
            "job.accepted",
            job=specification.id,
            account=owner,
            owner=first_owner,
            items=len(specification.items),
            step=specification.step,
            minimum_version=specification.minimum_version,
            wanted_groups=specification.wanted_groups,
        )
        return Response(202)

    async def _serve_or_forward(self, request: ClientRequest) -> Response:
        """Answers a request about a job, here or where its partition is followed."""
        jobs = self.dependencies.jobs
        part = jobs.find_partition(_get_name(self._authenticate(request)))
        if jobs.is_consumed(part):
            return await self._serve_job(request)
        try:
            return await self.dependencies.peers.forward(request, part)
        except BuckthornstileError:
            # Followed from now on, it is known here when the client comes again.
            jobs.request_partition(part)
            raise

    async def _serve_job(self, request: ClientRequest) -> Response:
        account = self._authenticate(request)
        if not self.dependencies.jobs.is_consumed(
            self.dependencies.jobs.find_partition(_get_name(account))
        ):
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the job's partition is not followed here",
                retry_after=RETRY_AFTER_SECONDS,
            )
        subject, name = parse_path(request.path)
        if subject is ResourceKind.ITEM:
            return await self._read_item(request, JobId(name), account)
        if subject is ResourceKind.JOB:
            return await self._handle_job(request, JobId(name), account)
        raise BuckthornstileError(
            ErrorCode.ROUTE_UNKNOWN, f"no job's path {request.path[:60]!r}"
        )

    async def _handle_job(
        self, request: ClientRequest, job_id: JobId, account: PlatformAccount | None
    ) -> Response:
        if request.method == "DELETE":
            return await self._end_job(job_id, account)
        if request.method != "GET":
            raise BuckthornstileError(
                ErrorCode.HEADER_INVALID, f"method {request.method!r} is not allowed"
            )
        start = _read_position(request)
        job = await self._find_job(job_id, account)
        if start >= len(job.results) and not job.is_finished():
            await self._wait_for_result(job, start, request.wait)
        total = len(job.items)
        if start >= len(job.results) and len(job.results) < total:
            self._check_fresh(job)
        body = encode_results(job.results, total, start)
        return Response(200, body, (("Content-Type", "application/json"),))

    async def _read_item(
        self, request: ClientRequest, job_id: JobId, account: PlatformAccount | None
    ) -> Response:
        job = await self._find_job(job_id, account)
        names = parse_qs(request.query).get("id", [""])
        for item in job.iterate_pending_items():
            if item.id == names[0] and not job.ended:
                return Response(200, item.body)
        raise BuckthornstileError(
            ErrorCode.LOT_UNKNOWN, f"job {job_id!r} has no open item {names[0]!r}"
        )

    async def _end_job(
        self, job_id: JobId, account: PlatformAccount | None
    ) -> Response:
        job = await self._find_job(job_id, account)
        if not job.ended:
            await self.dependencies.jobs.end(job)
            log_event("job.ended", job=job_id, listed=len(job.results))
        return Response(200)

    async def _find_job(self, job_id: JobId, account: PlatformAccount | None) -> Job:
        table = self.dependencies.jobs.table
        job = table.find(job_id)
        if job is None:
            part = self.dependencies.jobs.find_partition(_get_name(account))
            consumer = self.dependencies.jobs.consumers[part]
            if not await consumer.wait_until_synced(CATCH_UP_TIME):
                raise BuckthornstileError(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    f"it is not known whether job {job_id!r} exists",
                    retry_after=RETRY_AFTER_SECONDS,
                )
            job = table.find(job_id)
        owner = _get_name(account)
        if job is None or job.specification.account != owner:
            raise BuckthornstileError(
                ErrorCode.LOT_UNKNOWN, f"job {job_id!r} does not exist"
            )
        return job

    async def _wait_for_result(self, job: Job, start: int, wait: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while start >= len(job.results) and not job.is_finished():
            left = until - loop.time()
            if left <= 0:
                return
            changed: asyncio.Future[None] = loop.create_future()

            def wake(changed: "asyncio.Future[None]" = changed) -> None:
                if not changed.done():
                    changed.set_result(None)

            job.change_callbacks.append(wake)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed

    def _check_fresh(self, job: Job) -> None:
        age = self.dependencies.jobs.consumers[job.part].get_staleness()
        if age > STALE_TIME:
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"the results of job {job.id!r} are {age:.1f} s old",
                retry_after=RETRY_AFTER_SECONDS,
            )


def make_error_response(error: BuckthornstileError) -> Response:
    """Makes the answer to a request that failed.

    Statuses that promise that nothing ran are given only with that verdict.
    """
    status = get_http_status(error.code)
    if status >= 500 or status == 429:
        status = 503 if error.verdict is Verdict.NOT_RUN else status
        if error.verdict is not Verdict.NOT_RUN and status in (429, 503):
            status = 502
    body = error.code.value.encode()
    return Response(status, body, (("Content-Type", "text/plain"),), error.retry_after)


def _get_name(account: PlatformAccount | None) -> AccountId:
    return account.name if account else AccountId("")


def _read_position(request: ClientRequest) -> int:
    value = parse_qs(request.query).get("after", ["0"])[0]
    if not value.isdigit():
        raise BuckthornstileError(
            ErrorCode.HEADER_INVALID, f"position {value[:20]!r} is no number"
        )
    return int(value)
