"""Trainers' lots, run as batch jobs.

A lot is a job for each oldest version that its samples may have: a trainer that
advances has the samples that became too old made again by the next job, which takes
over what still fits. Results stand in the store, so any entry serves any attach.
"""

import asyncio
from collections.abc import AsyncGenerator

from buckthornstile.api._dependencies import ApiDependencies, authenticate, authorize
from buckthornstile.api._generation import (
    GENERATION_PATH,
    find_model,
)
from buckthornstile.api._lot_attachment import POLL_PERIOD, LotAttachment, LotJobs
from buckthornstile.api._lot_jobs import (
    make_sample,
    make_trainer_name,
)
from buckthornstile.api._lot_requests import is_count, parse_slots, read_object
from buckthornstile.api._requests import ApiRequest, make_json_reply
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    LotId,
    Verdict,
)
from buckthornstile.jobs import (
    Job,
)
from buckthornstile.logs import log_event
from buckthornstile.messages import Response, StreamingResponse
from buckthornstile.samples import (
    EndLine,
    ErrorLine,
    HeartbeatLine,
    encode_line,
    encode_sample,
    make_lot_id,
    parse_specification,
)

LOT_PATH = "/v1/lots"
TRAINER_PATH = "/v1/trainers/"
HEARTBEAT_PERIOD = 1.0
"""Seconds between two lines of a lot that makes no sample."""
MAX_ATTACH = 1 << 40
LINE_TYPE = ("Content-Type", "application/x-ndjson")


class LotHandlers:
    """Answers trainers."""

    def __init__(self, dependencies: ApiDependencies) -> None:
        self.dependencies = dependencies
        self.lot_jobs = LotJobs(dependencies)
        self._newest: dict[LotId, int] = {}
        self.open = 0

    async def handle(self, request: ApiRequest) -> Response | StreamingResponse:
        """Answers a request below the trainers' paths.

        Raises:
            BuckthornstileError: It is refused.
        """
        if request.method != "POST":
            raise BuckthornstileError(
                ErrorCode.HEADER_INVALID, f"method {request.method!r} is not allowed"
            )
        if request.path == LOT_PATH:
            return await self._attach(request)
        words = request.path.split("/")[2:]
        if len(words) == 3 and words[0] == "lots" and words[2] == "acknowledge":
            return await self._acknowledge(request, words[1])
        if len(words) == 3 and words[0] == "trainers" and words[2] == "version":
            return await self._set_version(request, words[1])
        raise BuckthornstileError(
            ErrorCode.ROUTE_UNKNOWN, f"no trainers' path {request.path[:80]!r}"
        )

    # Versions and acknowledgements

    async def _set_version(self, request: ApiRequest, trainer: str) -> Response:
        key = authenticate(self.dependencies, request)
        version = read_object(request).get("version")
        if not is_count(version):
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "version must be a whole number from 0"
            )
        configuration = self.dependencies.configuration_watcher.current
        rule = configuration.find_rule(
            LOT_PATH, key.account, trainer
        ) or configuration.find_rule(GENERATION_PATH, key.account, trainer)
        model = None
        if rule is not None:
            model = find_model(self.dependencies.view, rule.service, trainer)
        name = make_trainer_name(key.account, trainer)
        await self.dependencies.configuration_watcher.publish_version(
            name, model, int(str(version))
        )
        return make_json_reply({"version": version})

    async def _acknowledge(self, request: ApiRequest, lot: str) -> Response:
        """Ends the lot's jobs once the trainer has every sample."""
        key = authenticate(self.dependencies, request)
        data = read_object(request)
        slots = parse_slots(data.get("slots", []))
        trainer = data.get("trainer")
        if not isinstance(trainer, str):
            raise BuckthornstileError(ErrorCode.LOT_INVALID, "trainer must be a text")
        lot_id = make_lot_id(key.account, trainer, lot)
        jobs = self.lot_jobs.find_jobs(lot_id)
        if not jobs:
            raise BuckthornstileError(
                ErrorCode.LOT_UNKNOWN, f"lot {lot!r} is not known here"
            )
        if int(str(data.get("attach") or 0)) < self._newest.get(lot_id, 0):
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, "the trainer has attached again since"
            )
        return make_json_reply({"acknowledged": len(slots)})

    # Lots

    async def _attach(self, request: ApiRequest) -> StreamingResponse:
        if self.dependencies.is_stopping():
            raise _make_draining()
        attach = self._plan(request)
        if self.open >= self.dependencies.settings.max_lots:
            raise BuckthornstileError(
                ErrorCode.QUEUE_FULL, f"{self.open} lots are open", retry_after=1.0
            )
        await self.lot_jobs.follow(attach)
        job = await self.lot_jobs.open_job(attach)
        log_event(
            "lot.attached",
            lot=attach.lot,
            job=job.id,
            attach=attach.number,
            missing=len(attach.missing),
        )
        chunks = self._stream(attach, job)
        await anext(chunks)
        return StreamingResponse(200, (LINE_TYPE,), chunks)

    def _plan(self, request: ApiRequest) -> LotAttachment:
        data = read_object(request)
        specification = parse_specification(data.get("specification"))
        number = data.get("attach")
        if not is_count(number) or int(str(number)) >= MAX_ATTACH:
            raise BuckthornstileError(
                ErrorCode.LOT_INVALID, "attach must be a whole number from 0"
            )
        authorization = authorize(
            self.dependencies, request, specification.trainer, specification.path
        )
        account = authorization.account.name
        lot = make_lot_id(account, specification.trainer, specification.lot)
        if int(str(number)) < self._newest.get(lot, 0):
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, "the trainer has attached again since"
            )
        self._newest[lot] = int(str(number))
        service = authorization.route.services[0][0]
        bounded = specification.model_copy(
            update={
                "maximum_age": min(specification.maximum_age, authorization.maximum_age)
            }
        )
        received = parse_slots(data.get("received", []))
        return LotAttachment(
            authorization,
            bounded,
            lot,
            int(str(number)),
            find_model(self.dependencies.view, service, specification.trainer),
            self.dependencies.clock() + specification.timeout,
            set(bounded.iterate_slots()) - received,
        )

    async def _stream(
        self, attach: LotAttachment, job: Job
    ) -> AsyncGenerator[bytes, None]:
        self.open += 1
        try:
            yield b""
            async for line in self._make_lines(attach, job):
                yield line
        except BuckthornstileError as error:
            log_event(
                "lot.ended",
                lot=attach.lot,
                error=error.code.value,
                reason=error.message,
            )
            yield encode_line(
                ErrorLine(
                    code=error.code,
                    message=error.message,
                    verdict=error.verdict,
                    retry_after=error.retry_after,
                )
            )
        finally:
            self.open -= 1

    async def _make_lines(
        self, attach: LotAttachment, job: Job
    ) -> AsyncGenerator[bytes, None]:
        silent_since = self.dependencies.clock()
        position = 0
        while attach.missing:
            self._check(attach)
            self.dependencies.jobs.request_partition(job.part)
            minimum = self.lot_jobs.find_minimum(attach)
            if minimum > job.specification.minimum_version:
                job, position = await self.lot_jobs.open_job(attach), 0
            while position < len(job.results):
                result = job.results[position]
                position += 1
                sample = make_sample(result, minimum)
                if sample is not None and sample.slot in attach.missing:
                    attach.missing.discard(sample.slot)
                    silent_since = self.dependencies.clock()
                    yield encode_sample(sample)
            if not attach.missing:
                break
            if job.is_finished():
                # The next attach has them made again.
                raise BuckthornstileError(
                    ErrorCode.UPSTREAM_FAILED,
                    f"{len(attach.missing)} samples of the lot were given up",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            if self.dependencies.clock() - silent_since > HEARTBEAT_PERIOD:
                silent_since = self.dependencies.clock()
                yield encode_line(HeartbeatLine())
            await _wait_for_change(job, POLL_PERIOD)
        yield encode_line(EndLine(delivered=attach.specification.slot_count))

    def _check(self, attach: LotAttachment) -> None:
        """Checks that the attach may go on.

        Raises:
            BuckthornstileError: The key, the attach, the time or the entry has ended.
        """
        error = self.dependencies.revocation.find_error(attach.authorization.key)
        if error is not None:
            raise error
        if self._newest.get(attach.lot, 0) > attach.number:
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, "the trainer has attached again since"
            )
        if self.dependencies.clock() > attach.deadline:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "the lot's timeout has passed",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        if self.dependencies.is_stopping():
            raise _make_draining()


async def _wait_for_change(job: Job, seconds: float) -> None:
    changed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not changed.done():
            changed.set_result(None)

    job.change_callbacks.append(wake)
    await asyncio.wait({changed}, timeout=seconds)


def _make_draining() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.DRAINING, "this entry stops", retry_after=POLL_PERIOD
    )
