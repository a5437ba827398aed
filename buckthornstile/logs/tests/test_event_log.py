"""Tests of the event log: fields, rate limit, full pipe and truncated values."""

import json
import os

import pytest

from buckthornstile.logs import EventLogHandler, log_event


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_lines(read_end: int) -> list[dict]:
    data = b""
    while True:
        try:
            data += os.read(read_end, 1 << 16)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_line_holds_event_fields_with_rounded_floats(pipe) -> None:
    read_end, write_end = pipe
    with EventLogHandler("e1", descriptor=write_end).applicationbound():
        log_event("call.answered", request="r1", seconds=0.123456789, other=None)
    (line,) = read_lines(read_end)
    assert line["process"] == "e1"
    assert line["event"] == "call.answered"
    assert line["request"] == "r1"
    assert line["seconds"] == 0.1235
    assert line["other"] is None


def test_lines_beyond_rate_limit_are_dropped_and_counted(pipe) -> None:
    read_end, write_end = pipe
    now = [0.0]
    handler = EventLogHandler("e1", descriptor=write_end, clock=lambda: now[0])
    with handler.applicationbound():
        for number in range(1000):
            log_event("x", number=number)
        assert len(read_lines(read_end)) == 600
        now[0] += 1.0
        log_event("y")
    (line,) = read_lines(read_end)
    assert line["left_out"] == 400
    counters = handler.counters
    assert counters.get("events", event="x") == 1000
    assert counters.get("log_lines_left_out") == 400


def test_full_pipe_drops_lines_without_blocking(pipe) -> None:
    _, write_end = pipe
    now = [0.0]
    handler = EventLogHandler("e1", descriptor=write_end, clock=lambda: now[0])
    with handler.applicationbound():
        for number in range(4000):
            now[0] += 0.1
            log_event("x", text="y" * 150, number=number)
    assert handler.counters.get("log_lines_left_out") > 0


def test_long_values_are_truncated(pipe) -> None:
    read_end, write_end = pipe
    with EventLogHandler("e1", descriptor=write_end).applicationbound():
        log_event("x", text="y" * 10_000)
    (line,) = read_lines(read_end)
    assert len(line["text"]) == 200
