"""The demo runs from any directory, sees what is wrong, and cleans up."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from buckthornstile import (
    GroupSpecification,
    LotSpecification,
    ReceivedSample,
    Slot,
    TokenRange,
)
from examples._verification import LotStatistics, count_label_errors
from standins.worker import generate_tokens

ROOT = Path(__file__).parents[2]
GIVE_UP = 150.0  # seconds
USUAL_PORTS = (7400, 7401, 8080)


def start_demo():
    return subprocess.Popen(
        [sys.executable, "-m", "examples.demo"],
        stdout=subprocess.PIPE,
        cwd="/",
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        start_new_session=True,
    )


def assert_no_process_left(demo):
    with pytest.raises(ProcessLookupError):
        os.killpg(demo.pid, 0)


@pytest.fixture
def taken_ports():
    with contextlib.ExitStack() as stack:
        for port in USUAL_PORTS:
            # A port that another process holds is taken just as well.
            with contextlib.suppress(OSError):
                stack.enter_context(socket.create_server(("0.0.0.0", port)))
        yield


def test_demo_ends_with_a_good_line(taken_ports):
    demo = start_demo()
    output, _ = demo.communicate(timeout=GIVE_UP)
    line = json.loads(output.splitlines()[-1])
    assert demo.returncode == 0, output.decode()
    assert line["ok"]
    assert line["samples_wanted"] == line["samples_delivered"] == 64
    none = (
        "cut_requests",
        "keys_seen_upstream",
        "label_errors",
        "orders_run_twice",
        "samples_doubled",
        "short_answers",
    )
    assert {name: line[name] for name in none} == dict.fromkeys(none, 0)
    assert line["calls"] > 100
    assert_no_process_left(demo)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_demo_leaves_no_process(number):
    demo = start_demo()
    assert demo.stdout is not None
    demo.stdout.readline()  # All processes run by then.
    demo.send_signal(number)
    output, _ = demo.communicate(timeout=GIVE_UP)
    assert json.loads(output.splitlines()[-1])["problems"] == ["interrupted"]
    assert demo.returncode != 0
    assert_no_process_left(demo)


LOT = LotSpecification(
    lot="l",
    trainer="t",
    groups=(GroupSpecification(prompt="p", samples=1, max_tokens=4),),
    version=2,
)


def make_sample(text, *labels):
    ranges = tuple(TokenRange(*label) for label in labels)
    return ReceivedSample(Slot(0, 0), text, {}, ranges)


@pytest.mark.parametrize(
    ("text", "labels", "errors"),
    [
        ("right", [(0, 1, 1), (2, 3, 2)], 0),
        ("right", [(0, 3, 2)], 1),
        ("right", [(0, 1, 1)], 1),
        ("right", [(0, 0, 1), (1, 3, 2)], 1),
        ("wrong", [(0, 1, 1), (2, 3, 2)], 1),
        ("none", [(0, 1, 1), (2, 3, 2)], 1),
    ],
)
def test_label_errors_are_counted(text, labels, errors):
    body = json.dumps({"prompt": "p", "max_tokens": 4, "seed": 0})
    # The second run went on after the second event of the first.
    runs = [
        {"body": body, "headers": {}, "versions": [1, 1]},
        {"body": body, "headers": {"Last-Event-Id": "2"}, "versions": [2, 2]},
    ]
    tokens = "\n".join(generate_tokens("p", 0, 4)) if text != "wrong" else "x"
    journals = [runs[:1], [] if text == "none" else runs[1:]]
    assert count_label_errors([make_sample(tokens, *labels)], LOT, journals) == errors


def test_old_and_doubled_samples_are_counted():
    tally = LotStatistics()
    tally.add(make_sample("x", (0, 1, 1), (2, 3, 2)), trainer_version=2)
    tally.add(make_sample("x", (0, 3, 2)), trainer_version=2)
    assert tally.count_slots() == {Slot(0, 0): 2}
    assert [tally.count_too_old(age) for age in (0, 1)] == [1, 0]
