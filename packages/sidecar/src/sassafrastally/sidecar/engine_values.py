"""Ranges of the values that engines state, which messages to peers carry."""

from __future__ import annotations

from typing import Any, TypeVar, cast, get_type_hints

from sassafrastally.sidecar.engine import EngineFailed

T = TypeVar("T")

MAX_COUNT = 2**32 - 1
"""Largest number of tokens, blocks or runs; messages to peers carry them as 32-bit integers."""

MAX_SEQUENCE = 2**64 - 1
"""Largest sequence number and prefix hash."""

MAX_TEXT_CHARACTERS = 1000

_LARGE_FIELDS = frozenset({"sequence", "prefix_hash"})


def decode_fields(document: dict[str, Any], kind: type[T]) -> T:
    """Return a named tuple from a JSON object; raises `EngineFailed`."""
    fields = {
        name: _decode(document[name], name, hint)
        for name, hint in get_type_hints(kind).items()
        if name in document
    }
    try:
        return kind(**fields)
    except TypeError as cause:
        raise _invalid(kind.__name__, str(cause)) from cause


def count_or(value: object, default: int) -> int:
    """Return a count that an engine reports, or a default if it isn't one."""
    is_count = isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_COUNT
    return cast("int", value) if is_count else default


def printable(text: str) -> str:
    """Return a text of an engine as messages to peers can carry it."""
    return text[:MAX_TEXT_CHARACTERS].encode(errors="backslashreplace").decode()


def _decode(value: Any, name: str, hint: Any) -> Any:
    if hint is bool:
        if isinstance(value, bool):
            return value
    elif hint is int:
        most = MAX_SEQUENCE if name in _LARGE_FIELDS else MAX_COUNT
        if isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= most:
            return value
    elif hint is str:
        if isinstance(value, str) and printable(value) == value:
            return value
    elif isinstance(value, list | tuple):
        return tuple(_decode(item, name, str) for item in value)
    raise _invalid(name, f"{value!r:.60}" if not isinstance(value, list | dict) else "a container")


def _invalid(subject: str, detail: str) -> EngineFailed:
    return EngineFailed(f"the engine sent another form of {subject}: {printable(detail)}")
