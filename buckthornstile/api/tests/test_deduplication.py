"""A named call runs once, whichever entries its attempts reach."""

import asyncio

import pytest

from buckthornstile.api import CallDeduplicator
from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.messages import Response
from buckthornstile.platform import StoreClient
from standins.server import listen
from standins.store import make_application

ACCOUNT = "mill"


class World:
    def __init__(self, guard_type=CallDeduplicator):
        self.application = make_application()
        port = listen(self.application, "127.0.0.1", 0)
        self.faults = self.application.faults
        self.guards = [
            guard_type(StoreClient(f"127.0.0.1:{port}"), parts=2) for _ in range(2)
        ]
        self.runs = 0

    async def attempt(self, entry, *, key="blade-7", error=None, seconds=0.0):
        async def work():
            await asyncio.sleep(seconds)
            if error is not None:
                raise error
            self.runs += 1
            return Response(200, b"done")

        return await self.guards[entry].run(ACCOUNT, key, work)

    async def refuse(self, entry, **options):
        with pytest.raises(BuckthornstileError) as caught:
            await self.attempt(entry, **options)
        return caught.value


def play(scenario, **options):
    async def run():
        world = World(**options)
        await scenario(world)
        return world

    return asyncio.run(run())


def test_the_same_entry_gives_the_first_answer_again():
    async def scenario(world):
        first, second = await asyncio.gather(
            world.attempt(0, seconds=0.1), world.attempt(0)
        )
        assert first.body == second.body == b"done"
        assert (await world.attempt(0)).body == b"done"

    assert play(scenario).runs == 1


def test_another_entry_refuses_a_call_that_ran():
    async def scenario(world):
        await world.attempt(0)
        error = await world.refuse(1)
        assert error.code is ErrorCode.DUPLICATE_IN_FLIGHT
        assert error.verdict is Verdict.MAY_HAVE_RUN

    assert play(scenario).runs == 1


def test_a_call_that_did_not_run_may_run_elsewhere():
    not_run = BuckthornstileError(ErrorCode.NO_UPSTREAM)

    async def scenario(world):
        for entry in (0, 1, 0):
            assert await world.refuse(entry, error=not_run) is not_run
        assert (await world.attempt(1)).body == b"done"
        assert (await world.refuse(0)).verdict is Verdict.MAY_HAVE_RUN

    assert play(scenario).runs == 1


def test_a_call_that_may_have_run_runs_no_more():
    lost = BuckthornstileError(ErrorCode.UPSTREAM_FAILED, verdict=Verdict.MAY_HAVE_RUN)

    async def scenario(world):
        assert await world.refuse(0, error=lost) is lost
        assert await world.refuse(0) is lost
        assert (await world.refuse(1)).verdict is Verdict.MAY_HAVE_RUN

    assert play(scenario).runs == 0


@pytest.mark.parametrize("entries", [(0, 1), (1, 0)])
def test_two_entries_at_once_run_it_once(entries):
    async def scenario(world):
        outcomes = await asyncio.gather(
            *[world.attempt(entry, seconds=0.05) for entry in entries],
            return_exceptions=True,
        )
        errors = [one for one in outcomes if isinstance(one, BuckthornstileError)]
        assert len(errors) == 1

    assert play(scenario).runs == 1


def test_a_lost_answer_of_the_store_is_asked_again():
    async def scenario(world):
        world.faults.add({"kind": "lose_answer", "target": "append", "count": 2})
        assert (await world.attempt(0)).body == b"done"
        assert (await world.refuse(1)).verdict is Verdict.MAY_HAVE_RUN

    assert play(scenario).runs == 1


def test_without_the_store_nothing_runs_and_nothing_is_promised():
    async def scenario(world):
        world.faults.add({"kind": "busy", "target": "append"})
        error = await world.refuse(0)
        assert error.code is ErrorCode.PLATFORM_UNAVAILABLE
        assert error.verdict is Verdict.MAY_HAVE_RUN
        assert (await world.attempt(0, key="auto-1")).body == b"done"

    assert play(scenario).runs == 1


class TrustsTheStoresAnswer(CallDeduplicator):
    """Takes an acknowledged append for a claim of its own."""

    async def claim(self, name):
        await self._append(name, 0, b"mine")
        return 0


def test_without_reading_the_claim_a_call_would_run_twice():
    async def scenario(world):
        await world.attempt(0)
        await world.attempt(1)

    assert play(scenario, guard_type=TrustsTheStoresAnswer).runs == 2
