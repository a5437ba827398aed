"""Trainers' lots, run as batch jobs.

A lot is a job for each oldest version that its samples may have: a trainer that
advances has the samples that became too old made again by the next job, which takes
over what still fits. Results stand in the store, so any entry serves any attach.
"""

import asyncio
from collections.abc import AsyncGenerator, Iterable
from dataclasses import dataclass, field

from buckthornstile.api._generation import (
    GENERATION_PATH,
    find_model,
)
from buckthornstile.api._lot_jobs import (
    has_given_up,
    make_job,
    make_job_id,
    make_lot_name,
    make_sample,
    make_trainer_name,
)
from buckthornstile.api._requests import ApiRequest, make_json_reply
from buckthornstile.api._tools import ApiTools, Grant, authenticate, authorize
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    LotId,
    Verdict,
    WeightVersion,
)
from buckthornstile.calls import Reply, StreamReply
from buckthornstile.jobs import (
    Job,
    JobId,
)
from buckthornstile.logs import log_event
from buckthornstile.samples import (
    EndLine,
    ErrorLine,
    HeartbeatLine,
    LotSpecification,
    Slot,
    encode_line,
    encode_sample,
    make_lot_id,
    parse_specification,
)
from buckthornstile.topology import ModelName

LOT_PATH = "/v1/lots"
TRAINER_PATH = "/v1/trainers/"
HEARTBEAT_PERIOD = 1.0
"""Seconds between two lines of a lot that makes no sample."""
POLL_PERIOD = 0.1
"""Seconds between two looks at what ends or changes a lot."""
JOB_WAIT = 3.0
"""Seconds for an accepted job to be read back from the store."""
MAX_ATTACH = 1 << 40
MAX_TRIES = 8
"""Jobs of a lot for one oldest version: each further one makes what was given up."""
LINE_TYPE = ("Content-Type", "application/x-ndjson")


@dataclass(slots=True)
class _Attach:
    """One attach of a trainer to a lot."""

    grant: Grant
    specification: LotSpecification
    lot: LotId
    number: int
    model: ModelName
    deadline: float
    missing: set[Slot] = field(default_factory=set)
    delivered: int = 0

    def get_minimum(self, trainer_version: int) -> int:
        """The oldest version that a sample may have."""
        version = max(self.specification.version, trainer_version)
        return int(self.specification.get_minimum_version(WeightVersion(version)))


class LotHandlers:
    """Answers trainers."""

    def __init__(self, tools: ApiTools) -> None:
        self.tools = tools
        self._newest: dict[LotId, int] = {}
        self.open = 0

    async def handle(self, request: ApiRequest) -> Reply | StreamReply:
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

    async def _set_version(self, request: ApiRequest, trainer: str) -> Reply:
        key = authenticate(self.tools, request)
        version = _read_object(request).get("version")
        if not _is_count(version):
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "version must be a whole number from 0"
            )
        configuration = self.tools.watch.current
        rule = configuration.find_rule(
            LOT_PATH, key.account, trainer
        ) or configuration.find_rule(GENERATION_PATH, key.account, trainer)
        model = None
        if rule is not None:
            model = find_model(self.tools.view, rule.service, trainer)
        name = make_trainer_name(key.account, trainer)
        await self.tools.watch.name_version(name, model, int(str(version)))
        return make_json_reply({"version": version})

    async def _acknowledge(self, request: ApiRequest, lot: str) -> Reply:
        """Ends the lot's jobs once the trainer has every sample."""
        key = authenticate(self.tools, request)
        data = _read_object(request)
        slots = _parse_slots(data.get("slots", []))
        trainer = data.get("trainer")
        if not isinstance(trainer, str):
            raise BuckthornstileError(ErrorCode.LOT_INVALID, "trainer must be a text")
        lot_id = make_lot_id(key.account, trainer, lot)
        jobs = self._find_jobs(lot_id)
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

    async def _attach(self, request: ApiRequest) -> StreamReply:
        if self.tools.is_stopping():
            raise _make_draining()
        attach = self._plan(request)
        if self.open >= self.tools.settings.max_lots:
            raise BuckthornstileError(
                ErrorCode.QUEUE_FULL, f"{self.open} lots are open", retry_after=1.0
            )
        await self._follow(attach)
        job = await self._open_job(attach)
        log_event(
            "lot.attached",
            lot=attach.lot,
            job=job.id,
            attach=attach.number,
            missing=len(attach.missing),
        )
        chunks = self._stream(attach, job)
        await anext(chunks)
        return StreamReply(200, (LINE_TYPE,), chunks)

    def _plan(self, request: ApiRequest) -> _Attach:
        data = _read_object(request)
        specification = parse_specification(data.get("specification"))
        number = data.get("attach")
        if not _is_count(number) or int(str(number)) >= MAX_ATTACH:
            raise BuckthornstileError(
                ErrorCode.LOT_INVALID, "attach must be a whole number from 0"
            )
        grant = authorize(
            self.tools, request, specification.trainer, specification.path
        )
        account = grant.account.name
        lot = make_lot_id(account, specification.trainer, specification.lot)
        if int(str(number)) < self._newest.get(lot, 0):
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, "the trainer has attached again since"
            )
        self._newest[lot] = int(str(number))
        service = grant.route.services[0][0]
        bounded = specification.model_copy(
            update={"maximum_age": min(specification.maximum_age, grant.maximum_age)}
        )
        received = _parse_slots(data.get("received", []))
        return _Attach(
            grant,
            bounded,
            lot,
            int(str(number)),
            find_model(self.tools.view, service, specification.trainer),
            self.tools.clock() + specification.timeout,
            set(bounded.iterate_slots()) - received,
        )

    async def _follow(self, attach: _Attach) -> None:
        """Has the account's partition followed here, and waits until it is read.

        Raises:
            BuckthornstileError: ``PLATFORM_UNAVAILABLE``: the store did not answer.
        """
        jobs = self.tools.jobs
        part = jobs.find_part(attach.grant.account.name)
        end = self.tools.clock() + JOB_WAIT
        jobs.follow(part)
        while not jobs.is_followed(part):
            if self.tools.clock() > end:
                raise BuckthornstileError(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "the account's lots could not be read from the store",
                    retry_after=POLL_PERIOD,
                )
            await asyncio.sleep(POLL_PERIOD / 5)

    async def _open_job(self, attach: _Attach) -> Job:
        """Finds or makes the job of the samples that a lot lacks.

        Raises:
            BuckthornstileError: It is not known to be stored.
        """
        account = attach.grant.account.name
        minimum = self._find_minimum(attach)
        job_id, job = self._find_open_job(attach, minimum)
        if job is None:
            specification = make_job(
                attach.specification,
                job_id,
                lot=attach.lot,
                account=account,
                key=attach.grant.key,
                route=attach.grant.route.path_prefix,
                model=attach.model,
                minimum=minimum,
                submitted_at=self.tools.wall_clock(),
            )
            owner = self.tools.choose_first_owner(specification)
            await self.tools.jobs.accept(specification, owner)
            log_event("job.accepted", job=job_id, lot=attach.lot, owner=owner)
            job = await self._wait_for_job(job_id)
        await self._end_older(attach.lot, minimum)
        return job

    def _find_open_job(self, attach: _Attach, minimum: int) -> tuple[JobId, Job | None]:
        """Finds the newest job of a lot that may still make what is missing.

        Raises:
            BuckthornstileError: Too many jobs have given samples up.
        """
        for number in range(MAX_TRIES):
            job_id = make_job_id(attach.lot, minimum, number)
            job = self.tools.jobs.table.find(job_id)
            if job is None or not has_given_up(job, attach.missing):
                return job_id, job
        raise BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            f"samples of the lot were given up {MAX_TRIES} times",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _wait_for_job(self, job_id: JobId) -> Job:
        end = self.tools.clock() + JOB_WAIT
        while self.tools.clock() < end:
            job = self.tools.jobs.table.find(job_id)
            if job is not None:
                return job
            await asyncio.sleep(POLL_PERIOD / 5)
        raise BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"job {job_id!r} is stored, but could not be read back",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _end_older(self, lot: LotId, minimum: int) -> None:
        for job in self._find_jobs(lot):
            if job.specification.minimum_version < minimum and not job.is_finished():
                await self.tools.jobs.end(job)

    def _find_jobs(self, lot: LotId) -> list[Job]:
        prefix = make_lot_name(lot) + "."
        jobs = self.tools.jobs.table.jobs
        return [job for name, job in jobs.items() if name.startswith(prefix)]

    def _find_minimum(self, attach: _Attach) -> int:
        name = make_trainer_name(
            attach.grant.account.name, attach.specification.trainer
        )
        return attach.get_minimum(self.tools.watch.get_trainer_version(name))

    async def _stream(self, attach: _Attach, job: Job) -> AsyncGenerator[bytes, None]:
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
        self, attach: _Attach, job: Job
    ) -> AsyncGenerator[bytes, None]:
        silent_since = self.tools.clock()
        position = 0
        while attach.missing:
            self._check(attach)
            self.tools.jobs.follow(job.part)
            minimum = self._find_minimum(attach)
            if minimum > job.specification.minimum_version:
                job, position = await self._open_job(attach), 0
            while position < len(job.results):
                result = job.results[position]
                position += 1
                sample = make_sample(result, minimum)
                if sample is not None and sample.slot in attach.missing:
                    attach.missing.discard(sample.slot)
                    silent_since = self.tools.clock()
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
            if self.tools.clock() - silent_since > HEARTBEAT_PERIOD:
                silent_since = self.tools.clock()
                yield encode_line(HeartbeatLine())
            await _wait_for_change(job, POLL_PERIOD)
        yield encode_line(EndLine(delivered=attach.specification.slot_count))

    def _check(self, attach: _Attach) -> None:
        """Checks that the attach may go on.

        Raises:
            BuckthornstileError: The key, the attach, the time or the entry has ended.
        """
        error = self.tools.revocation.find_error(attach.grant.key)
        if error is not None:
            raise error
        if self._newest.get(attach.lot, 0) > attach.number:
            raise BuckthornstileError(
                ErrorCode.ATTACH_OLD, "the trainer has attached again since"
            )
        if self.tools.clock() > attach.deadline:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "the lot's timeout has passed",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        if self.tools.is_stopping():
            raise _make_draining()


async def _wait_for_change(job: Job, seconds: float) -> None:
    changed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not changed.done():
            changed.set_result(None)

    job.waiters.append(wake)
    await asyncio.wait({changed}, timeout=seconds)


def _make_draining() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.DRAINING, "this entry stops", retry_after=POLL_PERIOD
    )


def _is_count(value: object) -> bool:
    return type(value) is int and value >= 0


def _read_object(request: ApiRequest) -> dict[str, object]:
    value = request.read_json()
    if not isinstance(value, dict):
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, "the body is no JSON object"
        )
    return value


def _parse_slots(value: object) -> set[Slot]:
    """Parses pairs of group and index.

    Raises:
        BuckthornstileError: ``LOT_INVALID``.
    """
    if not isinstance(value, list):
        raise _make_slots_error()
    return set(_iterate_slots(value))


def _iterate_slots(pairs: Iterable[object]) -> Iterable[Slot]:
    for pair in pairs:
        if (
            not isinstance(pair, list)
            or len(pair) != 2
            or not all(map(_is_count, pair))
        ):
            raise _make_slots_error()
        yield Slot(pair[0], pair[1])


def _make_slots_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.LOT_INVALID, "slots must be pairs of group and index"
    )
