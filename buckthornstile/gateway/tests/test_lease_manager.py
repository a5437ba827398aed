"""The lease manager's appends while other processes write to the duty topic."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from unittest.mock import Mock

import pytest
from tornado.httputil import HTTPHeaders

from buckthornstile.base import PlatformUnavailableError, ProcessName, UpstreamId
from buckthornstile.duties import (
    DutyRecord,
    LeaseRecord,
    PlannedModelLoad,
    SealRecord,
    UsageTotals,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.gateway import LeaseManager, ModelLoadDispatcher, UsageReporter
from buckthornstile.http_client import HTTPRequest, HTTPResponse
from buckthornstile.platform import AppendConflictError, DutyClient, FetchResult
from buckthornstile.topology import TopologyView, Upstream

TURN_BOUND_SECONDS = 3.0
WINDOW_SECONDS = 5.0
OWN_NAME, OTHER_NAME, THIRD_NAME = map(ProcessName, ("e1", "e2", "e3"))
SEAL = SealRecord(7, {"mill": 3})


class FakeStore:
    """One partition of the store that can hold back the answer to an append."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.held_answer: asyncio.Future[None] | None = None

    def hold_next_answer(self) -> asyncio.Future[None]:
        """Returns a future; the next append is answered as it is completed."""
        self.held_answer = asyncio.get_running_loop().create_future()
        return self.held_answer

    def write(self, record: DutyRecord) -> None:
        """Appends a record of another process."""
        self.records.append(encode_duty_record(record))

    def list_lease_holders(self) -> list[ProcessName]:
        """Returns the holder of each lease record."""
        records = map(decode_duty_record, self.records)
        return [record.holder for record in records if isinstance(record, LeaseRecord)]

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[bytes],
        *,
        at: int,
        timeout: float,
    ) -> int:
        if at != len(self.records):
            raise AppendConflictError("end", len(self.records))
        self.records += records
        held_answer, self.held_answer = self.held_answer, None
        if held_answer is not None:
            await held_answer
        return at

    async def read(
        self, topic: str, part: int, start_offset: int, **options: float
    ) -> FetchResult:
        await asyncio.sleep(0.001)
        end = len(self.records)
        return FetchResult(
            tuple(enumerate(self.records[start_offset:], start_offset)), end, end
        )


class Setup:
    """A lease manager on a fake store, with a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store = FakeStore()
        self.manager = LeaseManager(
            OWN_NAME,
            store=self.store,
            clock=lambda: self.now,
            turn_bound=TURN_BOUND_SECONDS,
        )
        self.failure: asyncio.Task[None] | None = None
        self._consumer = asyncio.create_task(self.manager.consumer.run())

    async def wait_for(self, is_met: Callable[[], bool]) -> None:
        """Waits until a condition is met."""
        async with asyncio.timeout(8.0):
            while not is_met():
                await asyncio.sleep(0.001)

    async def read_all(self) -> None:
        """Waits until the manager has read all records, at the present time."""
        consumer = self.manager.consumer
        await self.wait_for(
            lambda: (
                consumer.end_offset == len(self.store.records)
                and consumer.synced_at == self.now
            )
        )

    async def lose_answer(self, record: DutyRecord) -> Callable[[], None]:
        """Starts an append that is executed; returns what reports its answer as lost.

        It is one of the manager's own, so that its later appends wait for it.
        """
        answer = self.store.hold_next_answer()
        task = asyncio.create_task(self.manager.append(lambda: record))
        await self.wait_for(lambda: self.store.held_answer is None)

        async def expect_failure() -> None:
            with pytest.raises(PlatformUnavailableError):
                await task

        self.failure = asyncio.create_task(expect_failure())
        return lambda: answer.set_exception(PlatformUnavailableError("lost"))

    def make_usage_reporter(self) -> UsageReporter:
        """Returns a reporter with one window that has to be sealed."""
        totals = UsageTotals(WINDOW_SECONDS)
        window = int(self.now // WINDOW_SECONDS) - 2
        totals.apply(OWN_NAME, {window: {"mill": 3}}, self.now)
        return UsageReporter(
            "front-a",
            self.manager,
            totals=totals,
            client=DutyClient("127.0.0.1:1"),
            wall_clock=lambda: self.now,
            due=12.0,
            list_pending_processes=lambda: [],
        )

    async def close(self) -> None:
        if self.failure is not None:
            await self.failure
        self._consumer.cancel()
        await asyncio.gather(self._consumer, return_exceptions=True)


async def act_behind_lost_answer(
    setup: Setup, act: Callable[[], Coroutine[None, None, None]]
) -> None:
    """Calls ``act`` during a lost append; meanwhile another process takes the lease."""
    report_loss = await setup.lose_answer(SEAL)
    await setup.read_all()
    action = asyncio.create_task(act())
    await asyncio.sleep(0)
    setup.now += 4.0
    setup.store.write(LeaseRecord(OTHER_NAME))
    await setup.read_all()
    report_loss()
    await action


def test_renewal_decided_before_another_claim_is_not_appended_after_it() -> None:
    """A frozen holder took the lease back with its old, lower term."""

    async def run() -> None:
        setup = Setup()
        await setup.read_all()
        await setup.manager.keep()
        assert setup.manager.lease.is_held()
        setup.now += 0.5
        await act_behind_lost_answer(setup, setup.manager.keep)
        assert setup.store.list_lease_holders() == [OWN_NAME, OTHER_NAME]
        assert not setup.manager.lease.is_held()
        await setup.close()

    asyncio.run(run())


def test_claim_decided_before_another_claim_is_not_appended_after_it() -> None:
    """A process took the lease from one that had held it for a moment."""

    async def run() -> None:
        setup = Setup()
        setup.store.write(LeaseRecord(THIRD_NAME))
        await setup.read_all()
        setup.now += TURN_BOUND_SECONDS
        await act_behind_lost_answer(setup, setup.manager.keep)
        assert setup.store.list_lease_holders() == [THIRD_NAME, OTHER_NAME]
        await setup.close()

    asyncio.run(run())


def test_window_is_not_sealed_by_a_process_that_lost_the_lease_meanwhile() -> None:
    """A process sealed a window with old counts, beside the holder that followed it."""

    async def run() -> None:
        setup = Setup()
        await setup.read_all()
        await setup.manager.keep()
        reporter = setup.make_usage_reporter()
        await act_behind_lost_answer(setup, reporter.report)
        records = [decode_duty_record(data) for data in setup.store.records]
        assert [record for record in records if isinstance(record, SealRecord)] == [
            SEAL
        ]
        await setup.close()

    asyncio.run(run())


def test_report_that_has_become_overdue_during_another_is_not_sent() -> None:
    """The age of each window was computed once, before all seals and reports."""

    async def run() -> None:
        setup = Setup()
        await setup.read_all()
        await setup.manager.keep()
        reporter = setup.make_usage_reporter()
        reported: list[int] = []

        async def report_usage(window: int, *args: object, **options: object) -> None:
            reported.append(window)
            wall_times.append(setup.now + reporter.due)

        wall_times = [setup.now]
        reporter.wall_clock = lambda: wall_times[-1]
        reporter.client = Mock(report_usage=report_usage)
        for window in (17, 18):
            setup.manager.duty_state.seals[window] = SealRecord(window, {"mill": 1})
        await reporter.report()
        assert reported == [17]
        await setup.close()

    asyncio.run(run())


class ConnectingPool:
    """Connections that open when the test says so."""

    def __init__(self) -> None:
        self.is_connecting = asyncio.Event()
        self.opens = asyncio.Event()
        self.sent: list[HTTPRequest] = []

    async def send(
        self,
        address: str,
        request: HTTPRequest,
        *,
        before_send: Callable[[], None] | None = None,
        **options: bool,
    ) -> HTTPResponse:
        self.is_connecting.set()
        await self.opens.wait()
        if before_send is not None:
            before_send()
        self.sent.append(request)
        return HTTPResponse(200, HTTPHeaders(), bytearray())


def make_load_dispatcher(setup: Setup, pool: ConnectingPool) -> ModelLoadDispatcher:
    """Returns a dispatcher with one order that is due."""
    view = TopologyView()
    upstream = Upstream(UpstreamId("w1"), "engines", "127.0.0.1", 9000, "a", 8)
    view.apply_upstream(upstream, setup.now)
    planner = Mock()
    planner.plan.return_value = [PlannedModelLoad(upstream.id, "llm", 2)]
    planner.list_upstreams_to_poll.return_value = []
    planner.get_order_count.return_value = 0
    return ModelLoadDispatcher(
        "front-a",
        setup.manager,
        view=view,
        planner=planner,
        clock=lambda: setup.now,
        pool=pool,
        on_version_loaded=lambda: None,
        record_failure=lambda upstream: None,
    )


@pytest.mark.parametrize("call", ["order", "report"])
def test_holder_that_lost_the_lease_while_connecting_sends_nothing(call: str) -> None:
    """A call of a suspended holder arrived with a lower term than the next holder's."""

    async def run() -> None:
        setup = Setup()
        await setup.read_all()
        await setup.manager.keep()
        pool = ConnectingPool()
        if call == "order":
            await make_load_dispatcher(setup, pool).order()
        else:
            reporter = setup.make_usage_reporter()
            reporter.client._pool = pool
            asyncio.create_task(reporter.report())
        await pool.is_connecting.wait()
        setup.now += 4.0
        setup.store.write(LeaseRecord(OTHER_NAME))
        await setup.read_all()
        pool.opens.set()
        await asyncio.sleep(0.02)
        assert pool.sent == []
        await setup.close()

    asyncio.run(run())
