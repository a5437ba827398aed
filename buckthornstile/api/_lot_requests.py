"""Reads the bodies of trainers' requests."""

from collections.abc import Iterable

from buckthornstile.api._requests import ApiRequest
from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.samples import Slot


def is_count(value: object) -> bool:
    """Whether a value is a whole number from 0.

    Example:
        >>> is_count(3), is_count(True), is_count(-1)
        (True, False, False)
    """
    return type(value) is int and value >= 0


def read_object(request: ApiRequest) -> dict[str, object]:
    """Reads a body that must be an object.

    Raises:
        BuckthornstileError: ``BODY_MALFORMED``.
    """
    value = request.read_json()
    if not isinstance(value, dict):
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, "the body is no JSON object"
        )
    return value


def parse_slots(value: object) -> set[Slot]:
    """Parses pairs of group and index.

    Raises:
        BuckthornstileError: ``LOT_INVALID``.
    """
    if not isinstance(value, list):
        raise _make_slots_error()
    return set(_iterate_slots(value))


def _iterate_slots(pairs: Iterable[object]) -> Iterable[Slot]:
    for pair in pairs:
        if not isinstance(pair, list) or len(pair) != 2 or not all(map(is_count, pair)):
            raise _make_slots_error()
        yield Slot(pair[0], pair[1])


def _make_slots_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.LOT_INVALID, "slots must be pairs of group and index"
    )
