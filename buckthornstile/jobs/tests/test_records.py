"""Tests of the records of a job's specification: their text and their memory."""

import json
import tracemalloc
import zlib
from dataclasses import replace

import pytest

from buckthornstile.jobs import ItemId, JobId, JobItem, JobSpecification, ScoreCall
from buckthornstile.jobs._records import decode_specification, encode_specification

RECORD_BYTES = 1 << 30


def make_specification(*bodies: bytes) -> JobSpecification:
    items = tuple(
        JobItem(
            id=ItemId(f"i{number}"),
            path='/"items": [/ü\ud800',
            headers=(("A", '"], ['),),
            body=body,
            tokens=3,
            group="ü",
            score_call=ScoreCall("s", "h", "/p", body) if number % 2 else None,
            expected_tokens=7,
        )
        for number, body in enumerate(bodies)
    )
    return JobSpecification(JobId("j"), "a", "h", '/"items": [', 1.5, items)


def encode(specification: JobSpecification) -> bytes:
    return encode_specification(specification, RECORD_BYTES)[0].value


@pytest.mark.parametrize(
    "bodies", [(), (b"",), (b"x", b"yz", b""), (b"x" * 70_000, b"\x00" * 200_000)]
)
def test_specification_in_pieces_is_the_same_json_text(bodies) -> None:
    """Processes of the version before read the records too."""
    specification = make_specification(*bodies)
    value = encode(specification)
    assert decode_specification(JobId("j"), value) == specification
    text = zlib.decompress(value).decode()
    assert text == json.dumps(json.loads(text))


def test_specification_of_an_earlier_release_states_no_configuration() -> None:
    """Its job must not wait for a configuration that nobody named."""
    specification = replace(make_specification(b"x"), configuration_version=7)
    data = json.loads(zlib.decompress(encode(specification)))
    del data["configuration"]
    value = zlib.compress(json.dumps(data).encode())
    expected = replace(specification, configuration_version=0)
    assert decode_specification(JobId("j"), value) == expected


@pytest.mark.parametrize("kept_part", [0.0, 0.3, 0.9, 0.9999])
def test_incomplete_specification_is_refused(kept_part) -> None:
    """Reading must end at the end of a value that was cut."""
    value = encode(make_specification(b"x" * 1000, bytes(range(256)) * 100))
    with pytest.raises((ValueError, zlib.error)):
        decode_specification(JobId("j"), value[: int(kept_part * len(value))])


def test_specification_is_not_copied_several_times() -> None:
    """The text of the largest legal job would take the memory of a VM."""
    size, count = 1 << 18, 32
    specification = make_specification(*[b"x" * size] * count)
    tracemalloc.start()
    value = encode(specification)
    encode_peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.reset_peak()
    decode_specification(JobId("j"), value)
    decode_peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert encode_peak < specification.count_body_bytes() / 2
    assert decode_peak < 1.5 * specification.count_body_bytes()
