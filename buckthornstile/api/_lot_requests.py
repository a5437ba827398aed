"""Parsing of the bodies of trainers' requests."""

from collections.abc import Iterable

from buckthornstile.api._requests import ApiRequest
from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.samples import Slot


def is_non_negative_int(value: object) -> bool:
    """Whether a value is an integer of at least 0; booleans are not integers here.

    Example:
        >>> is_non_negative_int(3), is_non_negative_int(True), is_non_negative_int(-1)
        (True, False, False)
    """
    return type(value) is int and value >= 0


def parse_json_object(request: ApiRequest) -> dict[str, object]:
    """Parses the body of a request as a JSON object.

    Raises:
        BuckthornstileError: ``BODY_MALFORMED``: the body is not a JSON object.
    """
    value = request.parse_json()
    if not isinstance(value, dict):
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, "the body is not a JSON object"
        )
    return value


def parse_slots(value: object) -> set[Slot]:
    """Parses a list of pairs of group and index.

    Raises:
        BuckthornstileError: ``LOT_INVALID``: the value is not such a list.
    """
    if not isinstance(value, list):
        raise _make_slots_error()
    return set(_iterate_slots(value))


def _iterate_slots(pairs: Iterable[object]) -> Iterable[Slot]:
    for pair in pairs:
        if (
            not isinstance(pair, list)
            or len(pair) != 2
            or not all(map(is_non_negative_int, pair))
        ):
            raise _make_slots_error()
        yield Slot(pair[0], pair[1])


def _make_slots_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.LOT_INVALID, "slots must be a list of pairs of group and index"
    )
