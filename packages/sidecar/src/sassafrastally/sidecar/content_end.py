"""Whether the content of a response ends where its type lets it end.

A response with neither a length nor chunks ends with its connection, which also closes when its
server crashes (RFC 9112, sections 6.3 and 8). Only the content shows then whether it is whole.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Protocol

import httpx

from sassafrastally.core import EventBlocks, EventTooLong, is_event_stream

if TYPE_CHECKING:
    from collections.abc import Callable

JSON_TYPE = "application/json"
JSON_SUFFIX = "+json"

_KEPT_BYTES = 4
"""Bytes at the end of a part of a long event that may belong to its blank line."""

_STATUSES_WITHOUT_BODY = frozenset({httpx.codes.NO_CONTENT, httpx.codes.NOT_MODIFIED})

_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
_WHOLE_STRINGS = re.compile(rb'(?:[^"]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
"""Text up to the string that isn't complete. Taking it off first keeps the search for strings
linear."""


class ContentEnd(Protocol):
    """Tells whether content is whole if nothing follows."""

    @property
    def is_whole(self) -> bool:
        """Whether what was fed may be all of the content."""
        ...

    def feed(self, piece: bytes) -> None:
        """Add a piece of the content."""
        ...


class AnyEnd:
    """Content that may end anywhere."""

    is_whole = True

    def feed(self, piece: bytes) -> None:
        """Do nothing."""


class NonEmptyEnd:
    """Content that has at least one byte."""

    def __init__(self) -> None:
        self.is_whole = False
        """Whether any byte has come."""

    def feed(self, piece: bytes) -> None:
        """Add a piece of the content."""
        self.is_whole = self.is_whole or bool(piece)


class JsonEnd:
    """JSON that doesn't end inside a string, array or object, and isn't empty.

    Its grammar isn't checked: what the service sends isn't for the sidecar to judge.
    """

    def __init__(self) -> None:
        self._has_content = False
        self._depth = 0
        self._open_string = b""
        """Beginning of the string that the last piece ends in, with a pending escape."""

    @property
    def is_whole(self) -> bool:
        """Whether a value has come and none is open."""
        return self._has_content and self._depth <= 0 and not self._open_string

    def feed(self, piece: bytes) -> None:
        """Add a piece of the content."""
        self._has_content = self._has_content or bool(piece.strip())
        text = self._open_string + piece
        closed = _WHOLE_STRINGS.match(text)
        end = closed.end() if closed else 0
        outside = _STRING.sub(b"", text[:end])
        self._depth += sum(map(outside.count, (b"[", b"{")))
        self._depth -= sum(map(outside.count, (b"]", b"}")))
        rest = text[end:]
        is_escaping = (len(rest) - len(rest.rstrip(b"\\"))) % 2 == 1
        self._open_string = rest[:1] + b"\\" * is_escaping


class EventStreamEnd:
    """An event stream that doesn't end inside an event.

    Parameters
    ----------
    ends_with_connection
        Whether it also needs an event and must not end inside a line.
    """

    def __init__(self, *, ends_with_connection: bool) -> None:
        self._ends_with_connection = ends_with_connection
        self._has_events = False
        self._blocks = EventBlocks()

    @property
    def is_whole(self) -> bool:
        """Whether the last event is complete."""
        if self._blocks.is_inside_event:
            return False
        is_regular = self._has_events and not self._blocks.is_inside_line
        return is_regular or not self._ends_with_connection

    def feed(self, piece: bytes) -> None:
        """Add a piece of the content."""
        try:
            blocks = self._blocks.feed(piece)
        except EventTooLong:
            self._skip_long_event()
            return
        if not self._has_events:
            found = (self._blocks.find_last(block, b"data") for block in blocks)
            self._has_events = any(each.has_fields for each in found)

    def _skip_long_event(self) -> None:
        """Forget the content of an event that is too long, but not that it is incomplete."""
        end = self._blocks.rest[-_KEPT_BYTES:]
        self._blocks = EventBlocks()
        self._blocks.feed(b"field" + end)


def content_end_of(response: httpx.Response) -> ContentEnd:
    """Return the check of the content of a response whose header has been received.

    The status alone tells that a request has failed, so its content is checked for success only.
    """
    content_type = response.headers.get("content-type", "")
    needs_content = response.is_success and ends_with_connection(response)
    if is_event_stream(content_type):
        return EventStreamEnd(ends_with_connection=needs_content)
    if not (needs_content and content_type):
        return AnyEnd()
    make: Callable[[], ContentEnd] = JsonEnd if _is_json(content_type) else NonEmptyEnd
    return make()


def ends_with_connection(response: httpx.Response) -> bool:
    """Return whether the body of a response has neither a length nor chunks."""
    if response.request.method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return False
    headers = response.headers
    return "content-length" not in headers and "transfer-encoding" not in headers


def _is_json(content_type: str) -> bool:
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == JSON_TYPE or media_type.endswith(JSON_SUFFIX)
