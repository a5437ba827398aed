"""Tests of the lot stream's lines.

JSON objects from an engine reach the trainer unchanged; malformed data and altered
samples are rejected.
"""

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

STRINGS = st.text(st.characters(), max_size=8)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | STRINGS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(STRINGS, inner),
    max_leaves=8,
)
LABELS = (TokenRange(0, 9, 5),)


def make_receiver():
    group = GroupSpecification(prompt="p", samples=2)
    return SampleReceiver(
        LotSpecification(lot="l", trainer="t", groups=(group,), version=5)
    )


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.dictionaries(st.sampled_from(["text", "usage"]), JSON_VALUES))
def test_body_is_decoded_unchanged(body):
    sample = Sample(Slot(0, 1), json.dumps(body).encode(), LABELS)
    line = decode_line(encode_sample(sample))
    assert line.body == body
    make_receiver().receive(line)


def test_lone_surrogate_is_decoded_unchanged():
    line = decode_line(encode_sample(Sample(Slot(0, 1), b'{"text":"\\ud83d"}', LABELS)))
    assert line.body == {"text": "\ud83d"}
    make_receiver().receive(line)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_malformed_data_raises_the_matching_error_code(data):
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
def test_altered_sample_is_rejected(change, code):
    data = json.loads(encode_sample(Sample(Slot(0, 1), b'{"text":"a"}', LABELS)))
    line = decode_line(json.dumps({"sample": {**data["sample"], **change}}).encode())
    with pytest.raises(BuckthornstileError) as caught:
        make_receiver().receive(line)
    assert caught.value.code is code
