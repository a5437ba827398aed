"""Streams of events from upstreams in trouble."""

import pytest

from buckthornstile.platform import UpstreamEventParser
from buckthornstile.platform._upstreams import MAX_EVENT_BYTES


def test_event_without_end_is_rejected() -> None:
    parser, chunk = UpstreamEventParser(1), b"data: " + b"x" * (64 << 10)
    with pytest.raises(ValueError, match="longer than"):
        for _ in range(2 * MAX_EVENT_BYTES // len(chunk)):
            parser.feed(chunk)


@pytest.mark.parametrize("filler", [b": comment\n\n", b"\n\n", b":\n" * 9 + b"\n"])
def test_comments_without_end_take_no_memory_and_are_no_events(filler: bytes) -> None:
    parser = UpstreamEventParser(1)
    for _ in range(10_000):
        assert parser.feed(filler) == []
    assert parser.is_between_events()
    assert [event.id for event, _ in parser.feed(b"id: 1\ndata: a\n\n")] == [1]
