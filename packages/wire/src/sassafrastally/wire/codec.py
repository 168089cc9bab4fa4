"""One codec for all messages of the peer protocol, over Cap'n Proto."""

from __future__ import annotations

import importlib.resources
from typing import Any, NamedTuple

import capnp

from sassafrastally.core import CodedError, error
from sassafrastally.wire.messages import MAX_FRAME_BYTES, Frame, Message

_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES


@error(2001)
class BadFrame(CodedError):
    """A frame can't be decoded or breaks a bound."""


class _FieldPlan(NamedTuple):
    field: Any
    """The schema's field; looking it up by name each time costs as much as the coding itself."""
    is_list: bool


class _Plan(NamedTuple):
    """How one kind of message is coded."""

    kind: type[Any]
    member: Any
    """Its member of the frame's union."""
    fields: tuple[_FieldPlan, ...]


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


def _make_plan(kind: type[Any]) -> _Plan:
    own = getattr(_SCHEMA, kind.__name__).schema.fields
    fields = tuple(
        _FieldPlan(own[_camel(name)], is_list=kind._field_defaults[name] == ())
        for name in kind._fields
    )
    return _Plan(kind, _SCHEMA.Frame.Body.schema.fields[_union_name(kind)], fields)


_SCHEMA = _load_schema()
_FRAME_FIELDS = _SCHEMA.Frame.schema.fields
_BODY, _STREAM, _STAMP = (_FRAME_FIELDS[name] for name in ("body", "stream", "stamp"))
_KINDS: tuple[type[Any], ...] = Message.__args__
_BY_KIND = {kind: _make_plan(kind) for kind in _KINDS}
_BY_UNION_NAME = {_union_name(kind): plan for kind, plan in _BY_KIND.items()}


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, without its length.

    Raises
    ------
    BadFrame
        When it would be longer than `MAX_FRAME_BYTES` or a value doesn't fit its field.
    """
    message: Any = frame.message
    plan = _BY_KIND[type(message)]
    builder = _SCHEMA.Frame.new_message()
    builder._set_by_field(_STREAM, frame.stream)
    builder._set_by_field(_STAMP, frame.stamp)
    put = builder._get_by_field(_BODY)._init_by_field(plan.member)._set_by_field
    try:
        for (field, is_list), value in zip(plan.fields, message, strict=True):
            put(field, list(value) if is_list else value)
    except (capnp.KjException, OverflowError, TypeError) as cause:
        raise BadFrame(f"{plan.kind.__name__} doesn't fit the schema: {cause}") from cause
    data: bytes = builder.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise BadFrame(f"{plan.kind.__name__} of {len(data)} bytes is over {MAX_FRAME_BYTES}")
    return data


def decode_frame(data: bytes) -> Frame:
    """Return the frame that the bytes hold.

    Raises
    ------
    BadFrame
        When they aren't a frame of this schema.
    """
    try:
        with _SCHEMA.Frame.from_bytes(data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS) as raw:
            get = raw._get_by_field
            body = get(_BODY)
            plan = _BY_UNION_NAME[body._which_str()]
            read = body._get_by_field(plan.member)._get_by_field
            values = [
                tuple(read(field)) if is_list else read(field) for field, is_list in plan.fields
            ]
            return Frame(get(_STREAM), get(_STAMP), plan.kind(*values))
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as cause:
        raise BadFrame(f"not a frame: {type(cause).__name__}") from cause
