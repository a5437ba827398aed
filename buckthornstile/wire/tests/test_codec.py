"""The codec keeps every field and survives garbage."""

import dataclasses
import typing

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.base import BuckthornstileError, ErrorCode, RequestClass, Verdict
from buckthornstile.wire import Message, decode_message, encode_message
from buckthornstile.wire import _messages as messages


def make_strategy(annotation):
    if annotation in (float,):
        return st.floats(allow_nan=False, width=32)
    if annotation is bytes:
        return st.binary(max_size=40)
    if annotation is bool:
        return st.booleans()
    if typing.get_origin(annotation) is tuple:
        kind = typing.get_args(annotation)[0]
        return st.lists(make_message(kind), max_size=3).map(tuple)
    if annotation == ErrorCode | None:
        return st.one_of(st.none(), st.sampled_from(ErrorCode))
    if isinstance(annotation, type) and annotation is not int and annotation is not str:
        return st.sampled_from(annotation)
    supertype = getattr(annotation, "__supertype__", annotation)
    if supertype is int:
        return st.integers(min_value=0, max_value=2**15)
    return st.text(
        st.characters(exclude_categories=("Cs",), exclude_characters="\0"), max_size=20
    )


def make_message(kind):
    hints = typing.get_type_hints(kind, vars(messages))
    return st.builds(
        kind, **{name: make_strategy(hint) for name, hint in hints.items()}
    )


@pytest.mark.parametrize("kind", typing.get_args(Message))
def test_every_message_survives_a_round_trip(kind):
    @settings(max_examples=25, derandomize=True, deadline=None)
    @given(make_message(kind))
    def check(message):
        assert decode_message(encode_message(message)) == message

    check()


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_garbage_is_a_coded_error(data):
    try:
        decode_message(data)
    except BuckthornstileError as error:
        assert error.code is ErrorCode.FRAME_MALFORMED


def test_enums_and_none_are_kept():
    end = messages.End("e/1", Verdict.RAN, None)
    assert decode_message(encode_message(end)) == end
    fields = {f.name: f for f in dataclasses.fields(messages.Dispatch)}
    assert fields["request_class"].type is RequestClass
