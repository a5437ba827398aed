"""Measures version labels, open lots and the reading of streams.

Run with ``python -m benchmarks.samples``; prints one line of JSON.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable

from buckthornstile.base import Incarnation, RequestId, WeightVersion
from buckthornstile.client import EventReader
from buckthornstile.ports import EngineState
from buckthornstile.samples import (
    DispatchSlot,
    GroupSpecification,
    LabelTracker,
    Lot,
    LotSpecification,
)
from buckthornstile.wire import TokenRange

TOKENS = 10_000
REPEATS = 3
GROUPS = 64
SAMPLES = 8
BODY_BYTES = 2048
LARGE_GROUPS = 512


def make_stream(tokens: int) -> bytes:
    """Makes an engine's whole event stream."""
    events: list[dict[str, object]] = [
        {"token": f" tok{index}", "index": index, "version": 7}
        for index in range(tokens)
    ]
    events.append({"usage": {"completion_tokens": tokens}, "version": 7})
    lines = [f"data: {json.dumps(event)}\n\n" for event in events]
    return "".join([*lines, "data: [DONE]\n\n"]).encode()


def take_best(measure: Callable[[], float]) -> float:
    """Gives the least of several processor times, in seconds."""
    return min(measure() for _ in range(REPEATS))


def track(stream: bytes, size: int) -> float:
    """Labels a stream that comes in parts; gives processor seconds."""
    state = EngineState(Incarnation("i"), WeightVersion(7))
    tracker = LabelTracker(state)
    started = time.process_time()
    for first in range(0, len(stream), size):
        tracker.feed(stream[first : first + size])
    labels = tracker.finish(state)
    assert len(labels) == 1
    return time.process_time() - started


def read_events(stream: bytes, size: int) -> float:
    """Reads a stream as a caller's client does; gives processor seconds."""
    reader = EventReader()
    started = time.process_time()
    for first in range(0, len(stream), size):
        for _ in reader.feed(stream[first : first + size]):
            pass
    return time.process_time() - started


def make_lot(groups: int = GROUPS) -> Lot:
    """Makes an open lot with an attached trainer."""
    group = GroupSpecification(prompt="p" * 400, samples=SAMPLES)
    specification = LotSpecification(
        lot="l", trainer="t", groups=(group,) * groups, version=7
    )
    lot = Lot(specification, now=0.0)
    lot.on_attach(1, (), 7, 0.0)
    return lot


def dispatch_all(lot: Lot) -> list[RequestId]:
    """Carries out every dispatch of a lot."""
    requests = []
    for number, action in enumerate(lot.decide(0.0, capacity=1 << 20)):
        assert isinstance(action, DispatchSlot)
        request = RequestId(f"e1-0000/{number}")
        lot.on_dispatched(action.slot, request, 0.0)
        requests.append(request)
    return requests


def measure_lot_bytes() -> dict[str, float]:
    """Measures the memory of a lot, and of its slots when they run and are done."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    lot = make_lot()
    opened = tracemalloc.get_traced_memory()[0]
    requests = dispatch_all(lot)
    gc.collect()
    running = tracemalloc.get_traced_memory()[0]
    for request in requests:
        labels = (TokenRange(0, 255, WeightVersion(7)),)
        lot.on_result(request, bytes(BODY_BYTES), labels, 256, 1.0)
    gc.collect()
    finished = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    slots = GROUPS * SAMPLES
    return {
        "slots": slots,
        "bytes_per_waiting_slot": (opened - before) / slots,
        "bytes_per_running_slot": (running - before) / slots,
        "bytes_per_finished_slot_without_body": (finished - before) / slots
        - BODY_BYTES,
    }


def run_lot(groups: int) -> float:
    """Runs a lot to its end; gives processor seconds.

    Half of the slots are dispatched at first, the others one by one.
    """
    lot = make_lot(groups)
    labels = (TokenRange(0, 255, WeightVersion(7)),)
    counter = 0
    running: list[RequestId] = []
    capacity = groups * SAMPLES // 2
    started = time.process_time()
    while not lot.is_over:
        for action in lot.decide(1.0, capacity=capacity):
            if isinstance(action, DispatchSlot):
                request = RequestId(f"e/{counter}")
                counter += 1
                lot.on_dispatched(action.slot, request, 1.0)
                running.append(request)
        capacity = 1
        if running:
            lot.on_result(running.pop(), b"{}", labels, 256, 2.0)
        else:
            lot.on_acknowledge(lot.specification.iterate_slots())
    return time.process_time() - started


def main() -> None:
    """Runs every measurement and prints the figures."""
    stream = make_stream(TOKENS)
    per_token = 1e6 / TOKENS
    figures: dict[str, object] = {"tokens": TOKENS, "repeats": REPEATS}
    for size in (1, 64, 4096):
        label = take_best(lambda size=size: track(stream, size))  # type: ignore[misc]
        figures[f"label_us_per_token_in_{size}_byte_parts"] = label * per_token
    event = take_best(lambda: read_events(stream, 4096))
    figures["client_read_us_per_token_in_4096_byte_parts"] = event * per_token
    figures["lot"] = measure_lot_bytes()
    for groups in (GROUPS, LARGE_GROUPS):
        seconds = take_best(lambda groups=groups: run_lot(groups))  # type: ignore[misc]
        figures[f"lot_us_per_slot_of_{groups * SAMPLES}"] = (
            seconds * 1e6 / (groups * SAMPLES)
        )
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
