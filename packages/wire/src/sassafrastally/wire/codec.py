"""Cap'n Proto codec for all messages of the peer protocol."""

from __future__ import annotations

import importlib.resources
from typing import Any, NamedTuple

import capnp

from sassafrastally.core import CodedError, error
from sassafrastally.wire.messages import MAX_FRAME_BYTES, Frame, Message

_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES


@error(2001)
class BadFrame(CodedError):
    """A frame can't be encoded or decoded, or exceeds a limit."""


class _FieldLayout(NamedTuple):
    field: Any
    """Schema field, cached because a lookup by name costs as much as the coding itself."""
    is_list: bool


class _MessageLayout(NamedTuple):
    """Cached schema fields of one message type."""

    kind: type[Any]
    member: Any
    """Member of the frame's union."""
    fields: tuple[_FieldLayout, ...]


def _load_schema() -> Any:
    with importlib.resources.as_file(
        importlib.resources.files("sassafrastally.wire").joinpath("peer.capnp")
    ) as path:
        return capnp.load(str(path))


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _union_name(kind: type[Any]) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


def _make_layout(kind: type[Any]) -> _MessageLayout:
    schema_fields = getattr(_SCHEMA, kind.__name__).schema.fields
    fields = tuple(
        _FieldLayout(schema_fields[_camel(name)], is_list=kind._field_defaults[name] == ())
        for name in kind._fields
    )
    return _MessageLayout(kind, _SCHEMA.Frame.Body.schema.fields[_union_name(kind)], fields)


_SCHEMA = _load_schema()
_FRAME_FIELDS = _SCHEMA.Frame.schema.fields
_BODY, _STREAM, _STAMP = (_FRAME_FIELDS[name] for name in ("body", "stream", "stamp"))
_MESSAGE_TYPES: tuple[type[Any], ...] = Message.__args__
_LAYOUT_BY_TYPE = {kind: _make_layout(kind) for kind in _MESSAGE_TYPES}
_LAYOUT_BY_UNION_NAME = {_union_name(kind): layout for kind, layout in _LAYOUT_BY_TYPE.items()}


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, without its length prefix.

    Raises
    ------
    BadFrame
        If it is longer than `MAX_FRAME_BYTES` or a value doesn't fit its field.
    """
    message: Any = frame.message
    layout = _LAYOUT_BY_TYPE[type(message)]
    builder = _SCHEMA.Frame.new_message()
    builder._set_by_field(_STREAM, frame.stream)
    builder._set_by_field(_STAMP, frame.stamp)
    put = builder._get_by_field(_BODY)._init_by_field(layout.member)._set_by_field
    try:
        for (field, is_list), value in zip(layout.fields, message, strict=True):
            put(field, list(value) if is_list else value)
    except (capnp.KjException, OverflowError, TypeError, UnicodeEncodeError) as cause:
        raise BadFrame(f"{layout.kind.__name__} doesn't fit the schema: {cause}") from cause
    data: bytes = builder.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise BadFrame(f"{layout.kind.__name__} of {len(data)} bytes is over {MAX_FRAME_BYTES}")
    return data


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    BadFrame
        If the bytes aren't a valid frame of this schema.
    """
    try:
        with _SCHEMA.Frame.from_bytes(data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS) as raw:
            get = raw._get_by_field
            body = get(_BODY)
            layout = _LAYOUT_BY_UNION_NAME[body._which_str()]
            read = body._get_by_field(layout.member)._get_by_field
            values = [
                tuple(read(field)) if is_list else read(field) for field, is_list in layout.fields
            ]
            return Frame(get(_STREAM), get(_STAMP), layout.kind(*values))
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as cause:
        raise BadFrame(f"not a frame: {type(cause).__name__}") from cause
