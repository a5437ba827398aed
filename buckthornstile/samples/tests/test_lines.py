"""Any JSON object that an engine answers reaches the trainer as it was."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.samples import (
    GroupSpecification,
    LotSpecification,
    Sample,
    SampleReceiver,
    Slot,
    TokenRange,
    decode_line,
    encode_sample,
)

TEXTS = st.text(st.characters(), max_size=8)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner),
    max_leaves=8,
)
LABELS = (TokenRange(0, 9, 5),)


def make_received():
    group = GroupSpecification(prompt="p", samples=2)
    return SampleReceiver(
        LotSpecification(lot="l", trainer="t", groups=(group,), version=5)
    )


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.dictionaries(st.sampled_from(["text", "usage"]), VALUES))
def test_bodies_survive(body):
    sample = Sample(Slot(0, 1), json.dumps(body).encode(), LABELS)
    line = decode_line(encode_sample(sample))
    assert line.body == body
    make_received().receive(line)


def test_half_a_surrogate_pair_survives():
    line = decode_line(encode_sample(Sample(Slot(0, 1), b'{"text":"\\ud83d"}', LABELS)))
    assert line.body == {"text": "\ud83d"}
    make_received().receive(line)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_garbage_is_a_coded_error(data):
    for body in (b"!" + data, b"[" + data, b'"text"'):
        with pytest.raises(BuckthornstileError) as caught:
            encode_sample(Sample(Slot(0, 0), body, LABELS))
        assert caught.value.code is ErrorCode.BODY_MALFORMED
    with pytest.raises(BuckthornstileError) as caught:
        decode_line(data)
    assert caught.value.code is ErrorCode.ANSWER_TRUNCATED


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"index": 2}, ErrorCode.ANSWER_CROSSED),
        ({"body": {"text": "b"}}, ErrorCode.ANSWER_TRUNCATED),
        ({"labels": []}, ErrorCode.VERSION_UNVERIFIABLE),
        ({"labels": [[1, 2, 5]]}, ErrorCode.VERSION_UNVERIFIABLE),
        ({"labels": [[0, 2, 5], [2, 3, 5]]}, ErrorCode.VERSION_UNVERIFIABLE),
    ],
)
def test_a_changed_sample_is_refused(change, code):
    data = json.loads(encode_sample(Sample(Slot(0, 1), b'{"text":"a"}', LABELS)))
    line = decode_line(json.dumps({"sample": {**data["sample"], **change}}).encode())
    with pytest.raises(BuckthornstileError) as caught:
        make_received().receive(line)
    assert caught.value.code is code
