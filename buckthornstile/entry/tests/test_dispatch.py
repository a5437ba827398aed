"""A call's fate over entry and agents, as its caller and the upstreams saw it."""

import asyncio

import pytest

from buckthornstile.agent.tests.fakes import settle
from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.wire import Answer, Chunk, Started

KEYED = {"idempotency_key": "order-1"}


async def get_refusal(task):
    with pytest.raises(BuckthornstileError) as caught:
        await task
    return caught.value.verdict, caught.value.code


def test_a_call_goes_elsewhere_when_it_was_proved_not_to_run(play):
    async def story(network):
        for world in network.worlds.values():
            world.upstream.refuses = True
        network.worlds["u1"].upstream.refuses = False
        for _ in range(6):
            task = network.call()
            await settle()
            network.end_all()
            assert b"e1/" in await task
        assert {name for name, _ in network.list_seen()} == {"u1"}
        assert len(network.list_seen()) == 6

    play(story)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_call_that_may_have_run_goes_elsewhere_only_if_idempotent(play, idempotent):
    async def story(network):
        task = network.call(idempotent=idempotent)
        await settle()
        broken = BuckthornstileError(
            ErrorCode.ANSWER_TRUNCATED, verdict=Verdict.MAY_HAVE_RUN
        )
        network.end_all(broken)
        await settle()
        if idempotent:
            network.end_all()
            assert await task
            assert len({name for name, _ in network.list_seen()}) == 2
            return
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.ANSWER_TRUNCATED)
        assert await get_refusal(task) == outcome
        assert len(network.list_seen()) == 1

    play(story)


def test_the_verdict_is_the_worst_of_all_sends(play):
    async def story(network):
        task = network.call(idempotent=True)
        await settle()
        for world in network.worlds.values():
            world.upstream.refuses = True
        network.end_all(
            BuckthornstileError(
                ErrorCode.ANSWER_TRUNCATED, verdict=Verdict.MAY_HAVE_RUN
            )
        )
        verdict, _ = await get_refusal(task)
        assert verdict is Verdict.MAY_HAVE_RUN

    play(story)


def test_a_call_without_another_upstream_spends_no_more_than_its_own_retries(play):
    async def story(network):
        for world in network.worlds.values():
            world.upstream.refuses = True
        verdict, _ = await get_refusal(network.call())
        assert verdict is Verdict.NOT_RUN
        assert network.dispatcher.budget.tokens == 18.0
        assert network.dispatcher.counters.sent == 2

    play(story)


def test_refusals_of_a_drain_cost_no_retry_budget_but_others_do(play):
    async def story(network):
        network.dispatcher.budget.tokens = 0.0
        network.worlds["u0"].agent.draining = True
        for _ in range(4):
            task = network.call()
            await settle()
            network.end_all()
            assert await task
        network.worlds["u0"].agent.draining = False
        network.worlds["u0"].upstream.refuses = True
        network.worlds["u1"].upstream.refuses = True
        await get_refusal(network.call())
        assert network.dispatcher.counters.retry_budget_spent == 1

    play(story)


def test_nothing_is_resent_after_the_caller_has_seen_a_part(play):
    async def story(network):
        task = network.call(idempotent=True, stream=True)
        await settle()
        ((name, request_id),) = network.list_seen()
        part = Chunk(request_id, 0, b"some")
        network.ends[name].send(Started(request_id, 200, "text/event-stream"))
        network.ends[name].send(part)
        await settle()
        await network.cut(name)
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.CONNECTION_LOST)
        assert await get_refusal(task) == outcome
        assert len(network.list_seen()) == 1

    play(story)


@pytest.mark.parametrize(
    ("event", "verdict"),
    [
        ("queued", Verdict.NOT_RUN),
        ("running", Verdict.MAY_HAVE_RUN),
        ("restarted", Verdict.MAY_HAVE_RUN),
        ("unreachable", Verdict.MAY_HAVE_RUN),
        ("finished unheard", Verdict.RAN),
    ],
)
def test_a_lost_connection_ends_in_a_true_verdict(play, event, verdict):
    async def story(network):
        if event == "queued":
            blockers = [network.call() for _ in range(2)]
            await settle()
        task = network.call(**KEYED)
        await settle()
        agent = network.worlds["u0"].agent
        if event == "finished unheard":
            network.ends["u0"].drops = (Answer,)
            network.end_all()
            await settle()
        if event == "restarted":
            network.boot("u0")
            await network.worlds["u0"].start()
        seen = len(network.list_seen())
        await network.cut("u0", back=event != "unreachable")
        assert (await get_refusal(task))[0] is verdict
        if event == "queued":
            for _ in range(3):
                network.end_all()
                await settle()
            assert len(network.list_seen()) == seen == 2
            await asyncio.gather(*blockers, return_exceptions=True)
        assert agent.scheduler.running_count <= 2

    play(story, count=1)


def test_a_deadline_ends_the_call_and_its_run(play):
    async def story(network):
        assert await get_refusal(network.call(timeout=0.02)) == (
            Verdict.MAY_HAVE_RUN,
            ErrorCode.DEADLINE_PASSED,
        )
        await settle()
        assert not any(world.upstream.open for world in network.worlds.values())

    play(story)


async def begin_keyed(network):
    """Begins a keyed call; gives its task and the agent that has it."""
    task = network.call(**KEYED)
    await settle()
    ((home, _),) = network.list_seen()
    return task, home


def retry(network, **options):
    return network.call(**KEYED, attempt=2, first_attempt_age=1.0, **options)


def test_a_retry_meets_its_first_attempt_at_the_home(play):
    async def story(network):
        task, _ = await begin_keyed(network)
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.DUPLICATE_IN_FLIGHT)
        assert await get_refusal(retry(network)) == outcome
        network.end_all()
        assert await retry(network) == await task
        assert len(network.list_seen()) == 1
        batch = network.usage.make_batch(9.0)
        assert [line.requests for line in batch.lines] == [1]

    play(story, count=3)


def test_a_retry_is_not_run_while_what_may_have_run_it_cannot_be_asked(play):
    async def story(network):
        task, home = await begin_keyed(network)
        await network.cut(home, back=False)
        assert (await get_refusal(task))[0] is Verdict.MAY_HAVE_RUN
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.ATTEMPT_OUT_OF_MEMORY)
        assert await get_refusal(retry(network)) == outcome
        assert len(network.list_seen()) == 1

    play(story, count=3)


def test_an_attempt_at_the_deputy_is_found_when_the_home_is_back(play):
    async def story(network):
        homes = network.fleet.list_homes("geometry-models", "mill\0order-1")
        await network.cut(homes[0], back=False)
        task = network.call(**KEYED)
        await asyncio.sleep(0.05)
        ((deputy, _),) = network.list_seen()
        assert deputy == homes[1]
        network.down.clear()
        await asyncio.sleep(0.01)
        await network.beat()
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.ATTEMPT_OUT_OF_MEMORY)
        assert await get_refusal(retry(network)) == outcome
        assert len(network.list_seen()) == 1
        network.end_all()
        assert await task

    play(story, count=3)


def test_a_retry_is_refused_when_the_list_of_upstreams_changed_lately(play):
    async def story(network):
        network.boot("u9")
        await network.worlds["u9"].start()
        # Its agent is old enough; only the list has not named it for long.
        network.clock.now += 100.0
        await network.beat()
        network.list_vms()
        await settle()
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.ATTEMPT_OUT_OF_MEMORY)
        assert await get_refusal(retry(network)) == outcome
        assert network.list_seen() == []

    play(story)


@pytest.mark.parametrize("how", ["asked over the next connection", "late", "gone"])
def test_what_ran_for_nobody_is_billed_once(play, how):
    async def story(network):
        task = network.call(**KEYED)
        await settle()
        if how == "late":
            # The end and the caller's leaving cross on their way.
            network.end_all()
            task.cancel()
            await settle()
        else:
            await network.cut("u0")
            assert (await get_refusal(task))[0] is Verdict.MAY_HAVE_RUN
            assert network.list_billed() == ((), 0)
            network.end_all()
            await settle()
        if how == "gone":
            network.down.add("u0")
            await network.cut("u0")
            network.clock.now += 100.0
        await network.beat()
        assert network.list_billed() == (((0, 0),), 0 if how == "gone" else 20)
        assert network.usage.confirm(network.usage.make_batch(9.0)) == 0
        assert network.usage.is_settled

    play(story, count=1)


def test_a_crossed_answer_is_an_error_and_its_run_is_stopped(play):
    async def story(network):
        task = network.call()
        await settle()
        ((name, request_id),) = network.list_seen()
        network.ends[name].send(Chunk(request_id, 5, b"another's"))
        outcome = (Verdict.MAY_HAVE_RUN, ErrorCode.ANSWER_CROSSED)
        assert await get_refusal(task) == outcome
        await settle()
        assert not network.worlds[name].upstream.open

    play(story)


def test_a_request_that_cannot_be_sent_stays_open_nowhere(play):
    async def story(network):
        def refuse(message):
            raise ValueError("the frame is too long")

        link = network.fleet.links["u0"]
        link.connection.send = refuse
        with pytest.raises(ValueError):
            await network.call()
        assert link.open_count == link.view.in_flight == 0
        network.usage.confirm(network.usage.make_batch(0.0))
        assert network.usage.is_settled
        del link.connection.send

    play(story, count=1)
