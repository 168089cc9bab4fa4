"""Splitting of ``text/event-stream`` bodies into events.

Follows the WHATWG HTML standard, section 9.2.6: lines end with CRLF, LF or CR, a blank line ends an
event, lines that begin with a colon are comments, and an event without its blank line at the end of
the stream doesn't count.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.core.errors import CodedError, error

if TYPE_CHECKING:
    from collections.abc import Iterator

EVENT_STREAM_TYPE = "text/event-stream"

MAX_EVENT_BYTES = 1_048_576
"""Default of the maximum size of an event."""

BYTE_ORDER_MARK = b"\xef\xbb\xbf"

# Atomic, so that the CRLF of one line isn't read as the ends of two lines.
_LINE_END = re.compile(rb"(?>\r\n|\n|\r)")
_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r){2}")
_FIELD_BEGIN = re.compile(rb"\n[^:\n]")
"""Begin of a field in text from `_with_single_line_ends`."""

_MAX_SPLIT_BYTES = 3
"""Most bytes that a match of the pattern may have before its last one."""


@error(1003)
class EventTooLong(CodedError):
    """An event exceeds the maximum size."""


class FoundField(NamedTuple):
    """The last field of a name in a block."""

    has_fields: bool
    """Whether the block has any field, rather than comments alone."""
    value: bytes | None
    """Value of the field; ``None`` if there is none of this name."""


class EventBlocks:
    """Splits a body into blocks that each end with a blank line, and keeps every byte.

    A block is an event, or consists of comments. The end of a line that is split between two pieces
    may begin the block after it.

    Parameters
    ----------
    max_event_bytes
        Maximum size of an incomplete block.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = bytearray()
        self._scanned = 0
        """Position up to which the rest holds no blank line."""
        self._is_first = True

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete block."""
        return bytes(self._rest)

    @property
    def rest_bytes(self) -> int:
        """Number of bytes after the last complete block."""
        return len(self._rest)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and lacks its blank line."""
        return _has_fields(self._without_mark(self.rest))

    @property
    def is_inside_line(self) -> bool:
        """Whether the last line isn't complete."""
        return bool(self._rest) and not self._rest.endswith((b"\n", b"\r"))

    def feed(self, piece: bytes) -> list[bytes]:
        """Add a piece of the body and return the blocks that it completes.

        Raises
        ------
        EventTooLong
            If an incomplete block exceeds the maximum size.
        """
        self._rest += piece
        blocks = []
        begin = 0
        for blank_line in _BLANK_LINE.finditer(self._rest, self._scanned):
            blocks.append(bytes(self._rest[begin : blank_line.end()]))
            begin = blank_line.end()
        del self._rest[:begin]
        self._scanned = max(0, len(self._rest) - _MAX_SPLIT_BYTES)
        if len(self._rest) > self._max_event_bytes:
            raise EventTooLong(f"an event is longer than {self._max_event_bytes} bytes")
        return blocks

    def fields(self, block: bytes) -> list[tuple[bytes, bytes]]:
        """Return the fields of a block from `feed`; call it for each block in order."""
        fields = list(event_fields(self._without_mark(block)))
        self._is_first = False
        return fields

    def find_last(self, block: bytes, name: bytes) -> FoundField:
        """Return what `fields` tells about one name, at a cost that doesn't depend on the lines.

        Call it for each block in order, instead of `fields`.
        """
        block = self._without_mark(block)
        self._is_first = False
        return FoundField(_has_fields(block), _last_value(block, name))

    def find_values(self, block: bytes, pattern: re.Pattern[bytes]) -> list[bytes]:
        """Return the values of all fields of a name, in steps that don't depend on the lines.

        Call it for each block in order, instead of `fields`.

        Parameters
        ----------
        block
            A block from `feed`.
        pattern
            `field_pattern` of the name.
        """
        text = _with_single_line_ends(self._without_mark(block))
        self._is_first = False
        return pattern.findall(text)

    def _without_mark(self, block: bytes) -> bytes:
        return block.removeprefix(BYTE_ORDER_MARK) if self._is_first else block


def field_pattern(name: bytes) -> re.Pattern[bytes]:
    """Return the pattern of the values of a field, for `EventBlocks.find_values`."""
    # Without a colon, the value's group takes no part in the match, and the value is empty.
    return re.compile(rb"\n" + re.escape(name) + rb"(?:: ?([^\n]*))?(?=\n)")


def event_fields(block: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield names and values of the fields in a block; comments are skipped."""
    begin = 0
    while begin < len(block):
        line_end = _LINE_END.search(block, begin)
        end = line_end.start() if line_end else len(block)
        name, _, value = block[begin:end].partition(b":")
        if name:
            yield name, value.removeprefix(b" ")
        begin = line_end.end() if line_end else len(block)


def _has_fields(block: bytes) -> bool:
    """Return whether `event_fields` yields anything for a block."""
    return _FIELD_BEGIN.search(_with_single_line_ends(block)) is not None


def _last_value(block: bytes, name: bytes) -> bytes | None:
    """Return the value of the last field of a name; ``None`` if there is none.

    Unlike `event_fields`, it doesn't take a step for each line: an event of a megabyte may consist
    of half a million lines.
    """
    text = _with_single_line_ends(block)
    begin = max(text.rfind(b"\n" + name + b":"), text.rfind(b"\n" + name + b"\n"))
    if begin < 0:
        return None
    begin += len(name) + 1
    return text[begin : text.index(b"\n", begin)].removeprefix(b":").removeprefix(b" ")


def _with_single_line_ends(block: bytes) -> bytes:
    """Return a block whose lines all follow and precede a LF; a CRLF becomes a blank line more."""
    return b"\n" + block.replace(b"\r", b"\n") + b"\n"


def is_event_stream(content_type: str) -> bool:
    """Return whether a content type, with any parameters, is that of an event stream."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE
