"""Event lines are structured, bounded and never wait for their reader."""

import json
import os

import pytest

from buckthornstile.logs import EventLogHandler, log_event


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_lines(reading: int) -> list[dict]:
    data = b""
    while True:
        try:
            data += os.read(reading, 1 << 16)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_line_holds_its_fields(pipe) -> None:
    reading, writing = pipe
    with EventLogHandler("e1", descriptor=writing).applicationbound():
        log_event("call.answered", request="r1", seconds=0.123456789, other=None)
    (line,) = read_lines(reading)
    assert line["process"] == "e1"
    assert line["event"] == "call.answered"
    assert line["request"] == "r1"
    assert line["seconds"] == 0.1235
    assert line["other"] is None


def test_lines_beyond_the_rate_are_counted(pipe) -> None:
    reading, writing = pipe
    now = [0.0]
    handler = EventLogHandler("e1", descriptor=writing, clock=lambda: now[0])
    with handler.applicationbound():
        for number in range(1000):
            log_event("x", number=number)
        assert len(read_lines(reading)) == 600
        now[0] += 1.0
        log_event("y")
    (line,) = read_lines(reading)
    assert line["left_out"] == 400
    counters = handler.counters
    assert counters.get("events", event="x") == 1000
    assert counters.get("log_lines_left_out") == 400


def test_full_pipe_costs_lines_only(pipe) -> None:
    _, writing = pipe
    now = [0.0]
    handler = EventLogHandler("e1", descriptor=writing, clock=lambda: now[0])
    with handler.applicationbound():
        for number in range(4000):
            now[0] += 0.1
            log_event("x", text="y" * 150, number=number)
    assert handler.counters.get("log_lines_left_out") > 0


def test_long_values_are_cut(pipe) -> None:
    reading, writing = pipe
    with EventLogHandler("e1", descriptor=writing).applicationbound():
        log_event("x", text="y" * 10_000)
    (line,) = read_lines(reading)
    assert len(line["text"]) == 200
