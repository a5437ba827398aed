"""Scripted faults; each ends with the world settled, for its caller to check."""

from buckthornstile.control import Append, SendReport
from buckthornstile.control.tests.simulation import DURATION, WINDOW, Fate, World
from buckthornstile.orders import SendUpstreamOrder
from buckthornstile.records import (
    LeaseClaim,
    LeaseRenewal,
    RecoveredUsage,
    UsageBatch,
    UsageLine,
    UsageRecovery,
    UsageSeal,
)


def make_line(account="mill-7", requests=1, tokens=10):
    return UsageLine(
        account=account,
        service="geometry-models",
        request_class="trainer",
        requests=requests,
        generated_tokens=tokens,
    )


def hold_back(process, kind, record_kind=None):
    """Makes the process stop right before its next action of a kind."""
    original = process.run_action

    def run_action(world, action, fate):
        record = getattr(action, "record", None)
        if isinstance(action, kind) and (
            record_kind is None or isinstance(record, record_kind)
        ):
            process.run_action = original
            process.is_paused = True
            process.held = action
            process.waiting.appendleft(action)
            return
        original(world, action, fate)

    process.run_action = run_action
    original_act = process.act

    def act(world, choose_fate):
        while process.waiting and not process.is_paused:
            process.run_action(world, process.waiting.popleft(), choose_fate())

    process.act = act
    return original_act


def advance_until(world, is_met, limit=120.0):
    ends_at = world.now + limit
    while not is_met():
        assert world.now < ends_at, "the script never came to its point"
        world.advance(0.25)


def pause_before_write(kind, **parts):
    """The holder is paused right before a write; another is elected; it wakes."""
    world = World(**parts)
    holder = world.wait_for_holder()
    hold_back(holder, kind)
    world.target = 1
    advance_until(world, lambda: holder.is_paused)
    world.wait_for_holder(other_than=holder)
    # The successor writes first, so that the old holder's write comes after it.
    advance_until(world, lambda: world.platform.writes)
    count = len(world.platform.writes)
    world.target = 2
    advance_until(world, lambda: len(world.platform.writes) > count)
    holder.is_paused = False
    world.settle()
    return world


def pause_before_order(**parts):
    return pause_before_write(SendUpstreamOrder, **parts)


def pause_before_report(**parts):
    return pause_before_write(SendReport, **parts)


def make_unreported_world(**parts):
    """A holder with a sealed window whose report the platform does not get."""
    world = World(**parts)
    holder = world.wait_for_holder()
    holder.reports_lost = True
    advance_until(world, lambda: holder.core.fold.usage.unreported)
    return world, holder


def drop_appends_after(process, record_kind, *, reads):
    """Loses all appends of a process after its next of a kind."""
    original = process.run_action
    process.has_appended = False

    def run_action(world, action, fate):
        if isinstance(action, Append):
            fate = (Fate.LOST, 0.0) if process.has_appended else (Fate.GOOD, 0.0)
            if isinstance(action.record, record_kind):
                process.has_appended = True
                process.reads = reads
        original(world, action, fate)

    process.run_action = run_action


def let_report_after(world, holder, is_met):
    """Gives the holder its way to the platform back after something happened."""
    advance_until(world, is_met)
    holder.reports_lost = False
    world.advance(DURATION)
    world.settle()
    return world


def delay_reading(**parts):
    """The holder's renewal lands at once, but it reads it back very late."""
    world, holder = make_unreported_world(**parts)
    drop_appends_after(holder, LeaseRenewal, reads=False)
    advance_until(world, lambda: holder.has_appended)
    world.advance(DURATION - 1.0)
    holder.reads = True
    holder.read(world)
    holder.reads = False
    return let_report_after(world, holder, lambda: world.platform.writes)


def lose_renewals(**parts):
    """The holder's renewals no longer reach the log, and it cannot read it."""
    world, holder = make_unreported_world(**parts)
    drop_appends_after(holder, LeaseRenewal, reads=False)
    holder.has_appended = True
    holder.reads = False
    return let_report_after(world, holder, lambda: world.platform.writes)


def race_claims(**parts):
    """A claim made without having read a renewal lands after that renewal."""
    world, holder = make_unreported_world(**parts)
    other, third = [p for p in world.processes if p is not holder]
    third.is_paused = True
    other.reads = False
    drop_appends_after(other, LeaseClaim, reads=True)
    advance_until(world, lambda: other.has_appended)
    holder.reads = False
    ends_at = world.now + DURATION / 3
    return let_report_after(
        world, holder, lambda: world.platform.writes or world.now > ends_at
    )


def land_claim_late(**parts):
    """A claim that timed out takes effect when the claimer's right is long over."""
    world = World(**parts)
    holder = world.wait_for_holder()
    others = [p for p in world.processes if p is not holder]
    hold_back(others[0], Append, LeaseClaim)
    hold_back(others[1], Append, LeaseClaim)
    holder.is_paused = True
    advance_until(world, lambda: all(p.is_paused for p in others))
    for process in others:
        process.waiting.clear()
        process.reads = False
    claim = others[0].held.record
    world.now += 3600.0
    world.log.append(claim, world.now)
    others[0].is_paused = False
    others[0].reads = True
    others[0].read(world)
    world.acted_at_once = others[0].may_act(world, 0.0) is not None
    world.settle()
    return world


def lose_answer(fate, fault, **parts):
    """An order's answer is lost; then the holder lives on, dies, or is blind."""
    world = World(**parts)
    holder = world.wait_for_holder()
    original = holder.run_action

    def run_action(world_, action, chosen):
        if isinstance(action, SendUpstreamOrder):
            holder.run_action = original
            chosen = (fate, 0.0)
            world.sent = True
        original(world_, action, chosen)

    world.sent = False
    holder.run_action = run_action
    world.platform.lists_are_out = fault == "the platform's list is out"
    world.target = 1
    advance_until(world, lambda: world.sent)
    if fault == "the holder dies":
        world.kill(world.processes.index(holder))
    world.advance(30.0)
    world.blind_orders = len(world.platform.orders)
    world.platform.lists_are_out = False
    advance_until(world, lambda: world.platform.orders)
    world.settle()
    return world


def kill_at(kind, record_kind=None, after=False, **parts):
    """The holder dies right before or after an action, once."""
    world = World(**parts)
    holder = world.wait_for_holder()
    hold_back(holder, kind, record_kind)
    world.log.append(make_batch(), world.now)
    world.target = 1
    advance_until(world, lambda: holder.is_paused)
    if after:
        holder.run_action(world, holder.waiting.popleft(), (Fate.ANSWER_LOST, 0.0))
    world.kill(world.processes.index(holder))
    advance_until(world, lambda: world.platform.orders)
    world.settle()
    return world


def make_batch(entry="x", requests=1, tokens=10):
    line = make_line(requests=requests, tokens=tokens)
    return UsageBatch(entry=entry, ranges=((0, requests - 1),), lines=(line,))


def lose_log(**parts):
    """The log is out from before a window's end to long after it."""
    world = World(**parts)
    world.wait_for_holder()
    world.log.append(make_batch(), world.now)
    world.advance(WINDOW / 2)
    world.log.is_out = True
    world.advance(WINDOW * 4)
    world.settle()
    return world


def lose_report_answers(**parts):
    """The platform takes each report, but its answer gets lost for a while."""
    world = World(**parts)
    holder = world.wait_for_holder()
    world.log.append(make_batch(), world.now)
    world.advance(WINDOW * 3, choose_fate=lambda: (Fate.ANSWER_LOST, 0.0))
    assert len(world.platform.reports) > 1
    assert world.get_holder() is holder
    world.settle()
    return world


def seal_from_old_holder(**parts):
    """A paused holder's seal lands after its successor has sealed and reported."""
    world = World(**parts)
    holder = world.wait_for_holder()
    advance_until(world, lambda: holder.core.fold.usage.last_seal)
    hold_back(holder, Append, UsageSeal)
    advance_until(world, lambda: holder.is_paused)
    seal = holder.held.record
    world.log.append(make_batch(), world.now)
    advance_until(
        world, lambda: any(r.window == seal.window for r in world.platform.reports)
    )
    world.advance(WINDOW / 2)
    world.log.append(seal, world.now)
    world.settle()
    return world


def append_usage(order, **parts):
    """Appends an entry's batch and an agent's recovery in the order given."""
    world = World(rates=(1.0,), **parts)
    world.wait_for_holder()
    lines = [make_line(tokens=tokens) for tokens in (10, 20, 30)]
    batch = make_batch(requests=3, tokens=60)
    recovery = UsageRecovery(
        entry="x",
        requests=tuple(
            RecoveredUsage(counter=i, line=line) for i, line in enumerate(lines)
        )[1:],
        appended_by="a1",
    )
    for name in order.split():
        if name == "window":
            world.advance(WINDOW * 2)
        else:
            record = batch if name == "batch" else recovery
            world.log.append(record, world.now)
    world.settle()
    return world
