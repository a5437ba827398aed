"""Encodes messages as Cap'n Proto and decodes them.

The schema is loaded as data from ``messages.capnp``. A codec for each message
is worked out once, from the fields of its dataclass.
"""

import dataclasses
import pathlib
import types
import typing
from collections.abc import Callable
from enum import Enum
from typing import Any

import capnp

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.wire._messages import Message

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))
_TRAVERSAL_LIMIT_WORDS = 1 << 26
_Convert = Callable[[Any], Any]


def _to_camel(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


def _keep(value: Any) -> Any:
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldCodec:
    """Converts one field; ``item`` is the codec of a list's structs."""

    name: str
    wire_name: str
    encode: _Convert
    decode: _Convert
    item: "_StructCodec | None" = None

    def write(self, builder: Any, value: Any) -> None:
        if self.item is not None:
            self.item.write_list(builder.init(self.wire_name, len(value)), value)
            return
        setattr(builder, self.wire_name, self.encode(value))


def _get_enum(annotation: Any) -> tuple[type[Enum] | None, bool]:
    """Finds the enum of ``E`` or ``E | None``, and whether None is allowed."""
    if isinstance(annotation, types.UnionType):
        members = [m for m in typing.get_args(annotation) if m is not type(None)]
        return members[0], True
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return annotation, False
    return None, False


def _make_field_codec(field: dataclasses.Field[Any], annotation: Any) -> _FieldCodec:
    wire_name = _to_camel(field.name)
    enum, optional = _get_enum(annotation)
    if enum is not None:
        members = {member.value: member for member in enum}
        if optional:
            members[""] = None  # type: ignore[assignment]
        return _FieldCodec(
            field.name,
            wire_name,
            lambda value: "" if value is None else value.value,
            members.__getitem__,
        )
    if typing.get_origin(annotation) is tuple:
        item = _make_struct_codec(typing.get_args(annotation)[0])
        return _FieldCodec(field.name, wire_name, _keep, item.read_list, item)
    if annotation is bytes:
        return _FieldCodec(field.name, wire_name, _keep, bytes)
    return _FieldCodec(field.name, wire_name, _keep, _keep)


class _StructCodec:
    """Converts one dataclass to and from a Cap'n Proto struct.

    Fields are set one by one, since pycapnp takes ten times as long to build a
    message from a dictionary; empty values are the wire's defaults and are left
    out.
    """

    def __init__(self, kind: type) -> None:
        hints = typing.get_type_hints(kind)
        self.kind = kind
        self.fields = tuple(
            _make_field_codec(field, hints[field.name])
            for field in dataclasses.fields(kind)
        )

    def write(self, builder: Any, message: Any) -> None:
        for field in self.fields:
            value = getattr(message, field.name)
            if value:
                field.write(builder, value)

    def write_list(self, builders: Any, values: tuple[Any, ...]) -> None:
        for index, value in enumerate(values):
            self.write(builders[index], value)

    def read(self, reader: Any) -> Any:
        return self.kind(*[f.decode(getattr(reader, f.wire_name)) for f in self.fields])

    def read_list(self, readers: Any) -> tuple[Any, ...]:
        return tuple(self.read(reader) for reader in readers)


_STRUCT_CODECS: dict[type, _StructCodec] = {}


def _make_struct_codec(kind: type) -> _StructCodec:
    if kind not in _STRUCT_CODECS:
        _STRUCT_CODECS[kind] = _StructCodec(kind)
    return _STRUCT_CODECS[kind]


_UNION_NAMES: dict[type, str] = {
    kind: kind.__name__[0].lower() + kind.__name__[1:]
    for kind in typing.get_args(Message)
}
_UNION_CODECS: dict[str, _StructCodec] = {
    name: _make_struct_codec(kind) for kind, name in _UNION_NAMES.items()
}


def encode_message(message: Message) -> bytes:
    """Encodes one message.

    Args:
        message: The message.

    Returns:
        A Cap'n Proto message, without the frame's length.

    Example:
        >>> from buckthornstile.wire import Goodbye
        >>> data = encode_message(Goodbye(reason="stop"))
        >>> decode_message(data)
        Goodbye(reason='stop')
    """
    name = _UNION_NAMES[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    _UNION_CODECS[name].write(envelope.init(name), message)
    return envelope.to_bytes()


def decode_message(data: bytes) -> Message:
    """Decodes one message.

    Args:
        data: The frame's body.

    Returns:
        The message.

    Raises:
        BuckthornstileError: With ``FRAME_MALFORMED`` for anything else than a
            message of this schema.

    Example:
        >>> decode_message(b"garbage")
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: ...
    """
    try:
        with _SCHEMA.Envelope.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as envelope:
            name = str(envelope.which())
            return _UNION_CODECS[name].read(getattr(envelope, name))
    except (capnp.KjException, ValueError, KeyError, AttributeError) as error:
        raise BuckthornstileError(
            ErrorCode.FRAME_MALFORMED, "a frame does not hold a known message"
        ) from error
