"""Long work on received data in steps, between which other tasks run."""

from __future__ import annotations

import json
import re
import zlib
from typing import TYPE_CHECKING, Any, TypeVar

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Item = TypeVar("Item")
Result = TypeVar("Result")

STEP_ITEMS = 256
"""Number of items handled in one step. One takes some microseconds, and a time limit must not pass
unnoticed for tens of milliseconds."""

STEP_BYTES = 1_048_576
"""Number of bytes that are decompressed or decoded in one step, which takes some milliseconds. A
single element may be larger."""

_DECODER = json.JSONDecoder()
_SPACE = re.compile(r"[ \t\n\r]*")


async def map_in_steps(function: Callable[[Item], Result], items: Iterable[Item]) -> list[Result]:
    """Return the results of a function for each item, in order."""
    results = []
    for number, item in enumerate(items, 1):
        results.append(function(item))
        if number % STEP_ITEMS == 0:
            await trio.lowlevel.checkpoint()
    return results


async def filter_in_steps(is_kept: Callable[[Item], bool], items: Iterable[Item]) -> list[Item]:
    """Return the items for which a function returns ``True``, in order."""
    kept = []
    for number, item in enumerate(items, 1):
        if is_kept(item):
            kept.append(item)
        if number % STEP_ITEMS == 0:
            await trio.lowlevel.checkpoint()
    return kept


async def decompress_in_steps(data: bytes, max_bytes: int) -> bytes:
    """Return the decompressed zlib stream, cut off at a maximum size.

    Raises
    ------
    zlib.error
        If the stream is invalid, or ends without its checksum.
    """
    decompressor = zlib.decompressobj()
    decompressed = bytearray()
    rest = data
    while len(decompressed) < max_bytes:
        piece = decompressor.decompress(rest, min(STEP_BYTES, max_bytes - len(decompressed)))
        if not piece:
            break
        decompressed += piece
        rest = decompressor.unconsumed_tail
        if len(piece) == STEP_BYTES:
            await trio.lowlevel.checkpoint()
    if len(decompressed) < max_bytes and not decompressor.eof:
        raise zlib.error("the stream is incomplete")
    return bytes(decompressed)


async def decode_json_in_steps(body: bytes) -> Any:
    """Return what `json.loads` returns, decoded in steps.

    Other tasks run between the elements of arrays that are values of the outermost object, where
    the long responses of the store have their items.

    Raises
    ------
    ValueError, RecursionError
        If the body isn't valid JSON.
    """
    text = body.decode(json.detect_encoding(body), "surrogatepass")
    position = _skip_space(text, 0)
    if not text.startswith("{", position):
        return _DECODER.decode(text)
    decoded: dict[str, Any] = {}
    position = _skip_space(text, position + 1)
    is_end = text.startswith("}", position)
    while not is_end:
        name, position = _value(text, position)
        if not isinstance(name, str):
            raise json.JSONDecodeError("expected a property name", text, position)
        position = _require(text, position, ":")
        if text.startswith("[", position):
            decoded[name], position = await _array(text, position)
        else:
            decoded[name], position = _value(text, position)
        is_end = text.startswith("}", position)
        if not is_end:
            position = _require(text, position, ",")
    if _skip_space(text, position + 1) != len(text):
        raise json.JSONDecodeError("extra data", text, position + 1)
    return decoded


async def _array(text: str, begin: int) -> tuple[list[Any], int]:
    """Return the array that begins at a position, and the position after it."""
    elements: list[Any] = []
    position = step_begin = _skip_space(text, begin + 1)
    is_end = text.startswith("]", position)
    while not is_end:
        element, position = _value(text, position)
        elements.append(element)
        if len(elements) % STEP_ITEMS == 0 or position - step_begin >= STEP_BYTES:
            step_begin = position
            await trio.lowlevel.checkpoint()
        is_end = text.startswith("]", position)
        if not is_end:
            position = _require(text, position, ",")
    return elements, _skip_space(text, position + 1)


def _value(text: str, begin: int) -> tuple[Any, int]:
    """Return the value that begins at a position, and the position of what follows it."""
    value, end = _DECODER.raw_decode(text, begin)
    return value, _skip_space(text, end)


def _require(text: str, position: int, delimiter: str) -> int:
    """Return the position of what follows a delimiter; raises `JSONDecodeError` without it."""
    if not text.startswith(delimiter, position):
        raise json.JSONDecodeError(f"expected {delimiter!r}", text, position)
    return _skip_space(text, position + 1)


def _skip_space(text: str, position: int) -> int:
    match = _SPACE.match(text, position)
    return match.end() if match else position
