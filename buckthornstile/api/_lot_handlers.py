"""Handlers of trainers' requests, which run lots as batch jobs.

A lot has one job for each minimum weight version of its samples. When the trainer
advances, a new job reuses the samples that are still recent enough and generates the
others again. The results are in the store, so a trainer may attach to its lot at any
entry.
"""

import asyncio
from collections.abc import AsyncGenerator

from buckthornstile.api._dependencies import ApiDependencies, authenticate, authorize
from buckthornstile.api._generation import (
    GENERATION_PATH,
    find_model,
)
from buckthornstile.api._lot_attachment import POLL_INTERVAL, LotAttachment, LotJobs
from buckthornstile.api._lot_jobs import (
    make_sample,
    make_trainer_key,
)
from buckthornstile.api._lot_requests import (
    is_non_negative_int,
    parse_json_object,
    parse_slots,
)
from buckthornstile.api._requests import ApiRequest, make_json_response
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
HEARTBEAT_INTERVAL = 1.0
"""Seconds without a line after which a heartbeat line is sent."""
ATTACH_NUMBER_LIMIT = 1 << 40
"""Number that all attach numbers must be below; a trainer increases its attach number
with each attach."""
NDJSON_CONTENT_TYPE = ("Content-Type", "application/x-ndjson")


class LotHandlers:
    """Handles the requests of trainers."""

    def __init__(self, dependencies: ApiDependencies) -> None:
        self.dependencies = dependencies
        self.lot_jobs = LotJobs(dependencies)
        self._newest_attach: dict[LotId, int] = {}
        self.open_lots = 0

    async def handle(self, request: ApiRequest) -> Response | StreamingResponse:
        """Handles a request on a path for trainers.

        Raises:
            BuckthornstileError: The request is rejected.
        """
        if request.method != "POST":
            raise BuckthornstileError(
                ErrorCode.HEADER_INVALID, f"method {request.method!r} is not allowed"
            )
        if request.path == LOT_PATH:
            return await self._attach(request)
        segments = request.path.split("/")[2:]
        if (
            len(segments) == 3
            and segments[0] == "lots"
            and segments[2] == "acknowledge"
        ):
            return await self._acknowledge(request, segments[1])
        if (
            len(segments) == 3
            and segments[0] == "trainers"
            and segments[2] == "version"
        ):
            return await self._set_version(request, segments[1])
        raise BuckthornstileError(
            ErrorCode.ROUTE_UNKNOWN, f"path {request.path[:80]!r} does not exist"
        )

    # Versions and acknowledgements

    async def _set_version(self, request: ApiRequest, trainer: str) -> Response:
        key = authenticate(self.dependencies, request)
        version = parse_json_object(request).get("version")
        if not is_non_negative_int(version):
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "version must be an integer of at least 0"
            )
        configuration = self.dependencies.configuration_watcher.current
        rule = configuration.find_rule(
            LOT_PATH, key.account, trainer
        ) or configuration.find_rule(GENERATION_PATH, key.account, trainer)
        model = None
        if rule is not None:
            model = find_model(self.dependencies.view, rule.service, trainer)
        trainer_key = make_trainer_key(key.account, trainer)
        await self.dependencies.configuration_watcher.publish_version(
            trainer_key, model, int(str(version))
        )
        return make_json_response({"version": version})

    async def _acknowledge(self, request: ApiRequest, lot: str) -> Response:
        """Checks an acknowledgement of received slots; nothing is stored.

        It is rejected if the trainer has attached to the lot again since.
        """
        key = authenticate(self.dependencies, request)
        data = parse_json_object(request)
        slots = parse_slots(data.get("slots", []))
        trainer = data.get("trainer")
        if not isinstance(trainer, str):
            raise BuckthornstileError(ErrorCode.LOT_INVALID, "trainer must be a string")
        lot_id = make_lot_id(key.account, trainer, lot)
        jobs = self.lot_jobs.find_jobs(lot_id)
        if not jobs:
            raise BuckthornstileError(
                ErrorCode.LOT_UNKNOWN, f"lot {lot!r} is not known to this entry"
            )
        if int(str(data.get("attach") or 0)) < self._newest_attach.get(lot_id, 0):
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD,
                "the trainer has attached to the lot again",
            )
        return make_json_response({"acknowledged": len(slots)})

    # Lots

    async def _attach(self, request: ApiRequest) -> StreamingResponse:
        if self.dependencies.is_stopping():
            raise _make_draining_error()
        attachment = self._prepare_attachment(request)
        if self.open_lots >= self.dependencies.settings.max_lots:
            raise BuckthornstileError(
                ErrorCode.QUEUE_FULL, f"{self.open_lots} lots are open", retry_after=1.0
            )
        await self.lot_jobs.load_partition(attachment)
        job = await self.lot_jobs.open_job(attachment)
        log_event(
            "lot.attached",
            lot=attachment.lot,
            job=job.id,
            attach=attachment.number,
            missing=len(attachment.missing),
        )
        chunks = self._stream(attachment, job)
        await anext(chunks)
        return StreamingResponse(200, (NDJSON_CONTENT_TYPE,), chunks)

    def _prepare_attachment(self, request: ApiRequest) -> LotAttachment:
        data = parse_json_object(request)
        specification = parse_specification(data.get("specification"))
        number = data.get("attach")
        if not is_non_negative_int(number) or int(str(number)) >= ATTACH_NUMBER_LIMIT:
            raise BuckthornstileError(
                ErrorCode.LOT_INVALID,
                "attach must be an integer from 0 to 2**40 - 1",
            )
        authorization = authorize(
            self.dependencies, request, specification.trainer, specification.path
        )
        account = authorization.account.name
        lot = make_lot_id(account, specification.trainer, specification.lot)
        if int(str(number)) < self._newest_attach.get(lot, 0):
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD,
                "the trainer has attached to the lot again",
            )
        self._newest_attach[lot] = int(str(number))
        service = authorization.route.services[0][0]
        bounded_specification = specification.model_copy(
            update={
                "maximum_age": min(specification.maximum_age, authorization.maximum_age)
            }
        )
        received = parse_slots(data.get("received", []))
        return LotAttachment(
            authorization,
            bounded_specification,
            lot,
            int(str(number)),
            find_model(self.dependencies.view, service, specification.trainer),
            self.dependencies.clock() + specification.timeout,
            set(bounded_specification.iterate_slots()) - received,
        )

    async def _stream(
        self, attachment: LotAttachment, job: Job
    ) -> AsyncGenerator[bytes, None]:
        self.open_lots += 1
        try:
            # A generator that has not started skips its cleanup when it is closed, so
            # the caller advances it to this yield first.
            yield b""
            async for line in self._generate_lines(attachment, job):
                yield line
        except BuckthornstileError as error:
            log_event(
                "lot.ended",
                lot=attachment.lot,
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
            self.open_lots -= 1

    async def _generate_lines(
        self, attachment: LotAttachment, job: Job
    ) -> AsyncGenerator[bytes, None]:
        last_line_at = self.dependencies.clock()
        position = 0
        while attachment.missing:
            self._check_attachment(attachment)
            self.dependencies.jobs.request_partition(job.part)
            minimum_version = self.lot_jobs.find_minimum_version(attachment)
            if minimum_version > job.specification.minimum_version:
                job, position = await self.lot_jobs.open_job(attachment), 0
            while position < len(job.results):
                result = job.results[position]
                position += 1
                sample = make_sample(result, minimum_version)
                if sample is not None and sample.slot in attachment.missing:
                    attachment.missing.discard(sample.slot)
                    last_line_at = self.dependencies.clock()
                    yield encode_sample(sample)
            if not attachment.missing:
                break
            if job.is_finished():
                # The next attach creates a job that generates these samples again.
                raise BuckthornstileError(
                    ErrorCode.UPSTREAM_FAILED,
                    f"{len(attachment.missing)} samples of the lot were abandoned",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            if self.dependencies.clock() - last_line_at > HEARTBEAT_INTERVAL:
                last_line_at = self.dependencies.clock()
                yield encode_line(HeartbeatLine())
            await _wait_for_change(job, POLL_INTERVAL)
        yield encode_line(EndLine(delivered=attachment.specification.slot_count))

    def _check_attachment(self, attachment: LotAttachment) -> None:
        """Checks that the attachment may continue.

        Raises:
            BuckthornstileError: The key is not valid, the trainer has attached again,
                the timeout has passed or the entry is stopping.
        """
        error = self.dependencies.revocation.find_error(attachment.authorization.key)
        if error is not None:
            raise error
        if self._newest_attach.get(attachment.lot, 0) > attachment.number:
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD,
                "the trainer has attached to the lot again",
            )
        if self.dependencies.clock() > attachment.deadline:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "the lot timed out",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        if self.dependencies.is_stopping():
            raise _make_draining_error()


async def _wait_for_change(job: Job, seconds: float) -> None:
    changed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not changed.done():
            changed.set_result(None)

    job.change_callbacks.append(wake)
    await asyncio.wait({changed}, timeout=seconds)


def _make_draining_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.DRAINING, "this entry is stopping", retry_after=POLL_INTERVAL
    )
