"""Labels are the engine's own, agreed three times, or there are none."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.ports import EngineState
from buckthornstile.samples import LabelTracker
from buckthornstile.wire import TokenRange


def make_stream(versions, *, final=None, separator="\n"):
    events = [
        {"token": "data: \n[DONE]", "index": index, "version": version}
        for index, version in enumerate(versions)
    ]
    final = versions[-1] if final is None else final
    events.append({"usage": {"completion_tokens": len(versions)}, "version": final})
    lines = [f"data: {json.dumps(event)}{separator * 2}" for event in events]
    return "".join([*lines, f"data: [DONE]{separator * 2}"]).encode()


def expand(labels):
    return [label.version for r in labels for label in [r] * (r.last - r.first + 1)]


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(st.integers(0, 2), min_size=1, max_size=30),
    st.lists(st.integers(0, 3000), max_size=8),
    st.sampled_from(["\n", "\r\n"]),
)
def test_labels_are_true_however_the_stream_is_cut(steps, cuts, separator):
    versions = [4 + sum(steps[: n + 1]) for n in range(len(steps))]
    stream = make_stream(versions, separator=separator)
    bounds = sorted({0, len(stream), *(min(cut, len(stream)) for cut in cuts)})
    tracker = LabelTracker(EngineState("i", 4))
    for first, last in zip(bounds, bounds[1:], strict=False):
        tracker.feed(stream[first:last])
    assert expand(tracker.finish(EngineState("i", versions[-1]))) == versions


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.data())
def test_any_cut_or_doubled_event_is_unverifiable(data):
    stream = make_stream([4, 4, 5, 5])
    events = stream.split(b"\n\n")[:-1]
    number = data.draw(st.integers(0, len(events) - 1))
    copies = data.draw(st.sampled_from([0, 2]))
    events[number : number + 1] = [events[number]] * copies
    tracker = LabelTracker(EngineState("i", 4))
    with pytest.raises(BuckthornstileError) as caught:
        tracker.feed(b"".join(event + b"\n\n" for event in events))
        tracker.finish(EngineState("i", 5))
    assert caught.value.code is ErrorCode.VERSION_UNVERIFIABLE


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_garbage_is_unverifiable_in_both_forms(data):
    for feed in (LabelTracker.feed, LabelTracker.feed_whole):
        tracker = LabelTracker(EngineState("i", 4))
        with pytest.raises(BuckthornstileError) as caught:
            feed(tracker, data)
            tracker.finish(EngineState("i", 4))
        assert caught.value.code is ErrorCode.VERSION_UNVERIFIABLE


def test_whole_answer_is_labelled_by_its_ranges():
    body = {
        "text": "ab",
        "tokens": ["a", "b"],
        "versions": [[0, 0, 3], [1, 1, 4]],
        "usage": {"prompt_tokens": 5, "completion_tokens": 2},
    }
    tracker = LabelTracker(EngineState("i", 3))
    tracker.feed_whole(json.dumps(body).encode())
    labels = tracker.finish(EngineState("i", 4))
    assert labels == (TokenRange(0, 0, 3), TokenRange(1, 1, 4))
    assert tracker.usage.prompt_tokens == 5
