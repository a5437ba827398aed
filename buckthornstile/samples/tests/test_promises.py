"""Steps of the promises on samples, over fakes around the real core."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.samples.tests.world import World
from buckthornstile.wire import Slot

scenarios("labels.feature", "bound.feature", "once.feature")


@pytest.fixture
def world():
    return World()


def finish_all(world):
    for agent in world.agents:
        while agent.runs:
            world.finish(agent)


@given("a trainer that waits on a lot")
def attach(world):
    world.attach(world.entries[0])


@given("each engine has made two tokens of its samples")
def make_tokens(world):
    world.decide(world.entries[0], capacity=6)
    for agent in world.agents:
        for run in agent.runs.values():
            agent.make_token(run)
            agent.make_token(run)


@given("the engines have finished unsent samples")
def finish_unsent(world):
    make_tokens(world)
    finish_all(world)


@given("the samples are on their way")
def send(world):
    finish_unsent(world)
    world.decide(world.entries[0])


@given("the trainer has half of the samples")
def read_half(world):
    send(world)
    for _ in range(3):
        world.read()


@given("one sample runs for much longer than the others")
def leave_a_straggler(world):
    make_tokens(world)
    straggler = world.agents[0].runs.popitem()
    finish_all(world)
    world.agents[0].runs.update([straggler])
    world.now += 60.0


@when("the engines swap weights")
def swap(world):
    world.advance()
    for agent in world.agents:
        agent.version = 6


@when("an engine reports an older version mid-stream")
def go_back(world):
    world.agents[0].version = 4


@when("an engine restarts and hides it")
def restart_unseen(world):
    world.agents[0].life += 1


@when("the swap fails and the old version stays")
def fail_swap(world):
    world.advance()


@when("the engines finish what they run")
def finish_what_runs(world):
    finish_all(world)
    world.decide(world.entries[0], capacity=0)
    while world.wire:
        world.read()


@when(parsers.parse("the trainer advances by two versions and {news}"))
def advance(world, news):
    for _ in range(2):
        world.advance(lost=news == "the news is lost")
    for agent in world.agents:
        agent.version = world.version


@when("everything runs on")
def run_on(world):
    world.run_calmly()


@when("the entry dies")
def kill(world):
    entry = world.entries[0]
    entry.kill()
    world.wire = [item for item in world.wire if item[0] is not entry]


@when("acknowledgements are lost")
def lose_acknowledgements(world):
    while world.acknowledgements:
        world.acknowledge(lost=True)


@when("the entry is paused")
def pause(world):
    pass


@when("the trainer attaches through the other entry")
def move(world):
    world.attach(world.entries[1])


@when("the paused entry wakes up")
def wake(world):
    world.decide(world.entries[0], capacity=6)


@when("idle capacity lets the entry hedge it")
def hedge(world):
    world.decide(world.entries[0], capacity=0, idle_capacity=4, choose=1)
    assert world.entries[0].lot.counters.hedges == 1


@when("both attempts finish together")
def finish_twins(world):
    twins = [(agent, run) for agent in world.agents for run in agent.runs.values()]
    assert len(twins) == 2
    for agent, run in twins:
        agent.runs[run.request_id] = run
        world.finish(agent)
    assert world.entries[0].lot.counters.duplicates == 1


@then("every sample that the trainer took is truly labelled")
def check_labels(world):
    assert world.taken


@then("the samples name both versions")
def check_both(world):
    assert {tuple(world.truth[run]) for _, run in world.taken} == {(5, 5, 6)}
    assert len(world.taken) == 6


@then("the samples name one version")
def check_one(world):
    assert {tuple(world.truth[run]) for _, run in world.taken} == {(5, 5, 5)}


@then("that engine's samples are discarded")
def check_discarded(world):
    assert len(world.taken) == 4
    assert world.entries[0].lot.summarize(0.0).waiting == 2


@then("the trainer has the whole lot, none older than the bound")
@then("the trainer has the whole lot, each sample once")
def check_whole(world):
    slots = [slot for slot, _ in world.taken]
    assert sorted(slots) == [Slot(g, i) for g in range(2) for i in range(3)]


@then(parsers.parse("samples were refused for their age by {whom}"))
def check_refusals(world, whom):
    assert (world.aged > 0) is (whom == "the trainer")
    discarded = sum(e.lot.counters.discarded for e in world.entries if e.lot)
    assert discarded > 0


@then(parsers.parse("at most {reruns:d} samples were made again"))
def check_reruns(world, reruns):
    assert len(world.truth) - 6 <= reruns


@then("it starts nothing and closes its stream")
def check_superseded(world):
    assert world.entries[0].lot.superseded
    assert not any(agent.runs for agent in world.agents)
