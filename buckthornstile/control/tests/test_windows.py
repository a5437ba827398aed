"""A window has one figure, and usage is billed once, whatever the fault."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from buckthornstile.control import Append, SendReport
from buckthornstile.control.tests import naive, scripts
from buckthornstile.records import UsageReported, UsageSeal

scenarios("windows.feature", "usage.feature")

DEATHS = {
    "before its seal": (Append, UsageSeal, False),
    "after its seal": (Append, UsageSeal, True),
    "before its report": (SendReport, None, False),
    "after its report": (SendReport, None, True),
    "before it notes the report": (Append, UsageReported, False),
}


@when(
    parsers.re(f"the holder dies (?P<moment>{'|'.join(DEATHS)})$"),
    target_fixture="world",
)
def run_death(moment):
    kind, record_kind, after = DEATHS[moment]
    return scripts.kill_at(kind, record_kind, after)


@when("an old holder's seal lands after its successor's", target_fixture="world")
def run_late_seal():
    return scripts.seal_from_old_holder()


@when("the log is out across a window's end", target_fixture="world")
def run_outage():
    return scripts.lose_log()


@when("the report's answers are lost", target_fixture="world")
def run_lost_answers():
    return scripts.lose_report_answers()


@when(parsers.parse("the log gets {records}"), target_fixture="world")
def run_usage(records):
    return scripts.append_usage(records)


@then("each reported window has one figure")
def check_figures(world):
    world.platform.check_reports()
    starts = sorted({seal.window for seal in world.platform.reports})
    steps = {after - before for before, after in zip(starts, starts[1:], strict=False)}
    assert steps == {scripts.WINDOW}, "a window is missing"


@then("the platform saw one process in charge at a time")
def check_one_in_charge(world):
    world.platform.check_one_in_charge()


@then("the usage was billed once and right")
def check_billed_once(world):
    assert world.platform.get_totals() == {"mill-7": (1, 10)}


@then("three requests with sixty tokens are billed")
def check_three_requests(world):
    world.platform.check()
    assert world.platform.get_totals() == {"mill-7": (3, 60)}


def test_naive_seals_give_two_figures():
    world = scripts.seal_from_old_holder(usage_fold=naive.AnySealFold)
    with pytest.raises(AssertionError, match="two figures"):
        world.platform.check_reports()


@pytest.mark.parametrize(
    ("fold", "records"),
    [
        (naive.RangelessFold, "batch batch"),
        (naive.RangelessFold, "recovery batch"),
        (naive.UnsubtractedFold, "recovery window batch"),
        (naive.ForgetfulFold, "batch window batch"),
        (naive.ForgetfulFold, "batch window recovery"),
    ],
)
def test_naive_usage_is_billed_twice(fold, records):
    world = scripts.append_usage(records, usage_fold=fold)
    assert world.platform.get_totals()["mill-7"][0] > 3
