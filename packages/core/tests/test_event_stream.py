"""Splitting of event streams."""

from __future__ import annotations

import re
import sys
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.core import (
    MAX_EVENT_BYTES,
    EventBlocks,
    EventTooLong,
    FoundField,
    event_fields,
    event_stream,
    field_pattern,
    is_event_stream,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

ID = field_pattern(b"id")
LINE_ENDS = [b"\n", b"\r\n", b"\r"]
LINES = [b"data: x", b"id: 4", b"data", b": comment", b":", b"id:5", b"x y:z", b"data:  two"]


def split(body: bytes, cuts: list[int]) -> tuple[list[bytes], EventBlocks]:
    """Return the blocks of a body that arrives in pieces, and the splitter."""
    blocks = EventBlocks()
    bounds = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    found = [block for begin, end in pairwise(bounds) for block in blocks.feed(body[begin:end])]
    return found, blocks


def calls_of(read: Callable[[], object]) -> int:
    """Return the number of calls of functions and resumptions of generators."""
    calls = 0

    def count(_frame: FrameType, kind: str, _argument: object) -> None:
        nonlocal calls
        calls += kind in ("call", "c_call")

    sys.setprofile(count)
    try:
        read()
    finally:
        sys.setprofile(None)
    return calls


class TestBlocks:
    """Blocks of a stream, whatever its line ends and the pieces in which it arrives."""

    @settings(max_examples=300, database=None)
    @given(
        st.lists(st.lists(st.sampled_from(LINES), min_size=1, max_size=3), max_size=4),
        st.sampled_from(LINE_ENDS),
        st.lists(st.integers(0, 400), max_size=9),
    )
    def test_every_event_is_found_and_every_byte_kept(self, events, end, cuts):
        body = b"".join(line + end for lines in events for line in [*lines, b""])
        found, blocks = split(body, cuts)
        assert b"".join(found) + blocks.rest == body
        expected = [[field for line in lines for field in event_fields(line)] for lines in events]
        assert [blocks.fields(block) for block in found] == expected
        assert not blocks.is_inside_event

    @settings(max_examples=500, database=None)
    @given(
        st.lists(
            st.sampled_from(
                [b"\r", b"\n", b"\r\n", b"id", b"id:", b": 1", b"a", b":", b"\xef\xbb\xbf"]
            ),
            max_size=30,
        )
    )
    def test_last_field_is_the_last_one_of_all(self, parts):
        """Guards against an event whose id is read differently because of its line ends."""
        body = b"".join(parts)
        found, blocks = split(body, [])
        _, same_blocks = split(body, [])
        for block in found:
            fields = blocks.fields(block)
            values = [value for name, value in fields if name == b"id"]
            expected = FoundField(bool(fields), values[-1] if values else None)
            assert same_blocks.find_last(block, b"id") == expected
        rest = blocks.rest if found else blocks.rest.removeprefix(b"\xef\xbb\xbf")
        assert blocks.is_inside_event == any(True for _ in event_fields(rest))

    @settings(max_examples=500, database=None)
    @given(
        st.lists(
            st.sampled_from(
                [b"\r", b"\n", b"\r\n", b"id", b"id:", b": 1", b"a", b":", b"\xef\xbb\xbf"]
            ),
            max_size=30,
        )
    )
    def test_values_are_those_of_all_fields(self, parts):
        """Guards against an answer that lacks words because of its line ends."""
        body = b"".join(parts)
        found, blocks = split(body, [])
        _, same_blocks = split(body, [])
        for block in found:
            expected = [value for name, value in blocks.fields(block) if name == b"id"]
            assert same_blocks.find_values(block, ID) == expected

    def test_line_ends_may_differ(self):
        found, blocks = split(b"id: 1\r\ndata: x\n\rid: 2\r\n\n: c\r\rid: 3\n\r\n", [])
        assert [blocks.fields(block)[:1] for block in found] == [
            [(b"id", b"1")],
            [(b"id", b"2")],
            [],
            [(b"id", b"3")],
        ]

    @settings(max_examples=200, database=None)
    @given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=5))
    def test_any_bytes_are_kept(self, body, cuts):
        found, blocks = split(body, cuts)
        assert b"".join(found) + blocks.rest == body

    @pytest.mark.parametrize("end", LINE_ENDS)
    def test_line_end_between_pieces_is_one_line_end(self, end):
        """Guards against reading the CR and the LF of one line as a blank line."""
        blocks = EventBlocks()
        found = [one for byte in b"id: 1" + end + b"data: x" for one in blocks.feed(bytes([byte]))]
        assert found == []
        assert blocks.is_inside_event

    def test_byte_order_mark_is_not_part_of_a_name(self):
        blocks = EventBlocks()
        (block,) = blocks.feed(b"\xef\xbb\xbfid: 1\n\n")
        assert blocks.fields(block) == [(b"id", b"1")]

    def test_endless_event_is_rejected(self):
        """Guards against holding an event of any size in memory."""
        blocks = EventBlocks(max_event_bytes=100)
        with pytest.raises(EventTooLong):
            for _ in range(20):
                blocks.feed(b"data: 123\n")


class TestCost:
    """Bytes that are scanned for an event that arrives in small pieces."""

    ANY_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r){2}")

    @settings(max_examples=500, database=None)
    @given(
        st.lists(st.sampled_from([b"\r", b"\n", b"\r\n", b"a", b"id: 1", b":"]), max_size=30),
        st.lists(st.integers(0, 60), max_size=12),
    )
    def test_blocks_are_those_of_a_scan_from_the_begin(self, parts, cuts):
        """Guards against blocks that depend on what has been scanned before."""
        body = b"".join(parts)
        bounds = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
        blocks, rest = EventBlocks(), b""
        for begin, end in pairwise(bounds):
            rest += body[begin:end]
            expected, position = [], 0
            for blank_line in self.ANY_BLANK_LINE.finditer(rest):
                expected.append(rest[position : blank_line.end()])
                position = blank_line.end()
            rest = rest[position:]
            assert blocks.feed(body[begin:end]) == expected
            assert blocks.rest == rest
            assert blocks.is_inside_line == (rest[-1:] not in (b"", b"\n", b"\r"))

    @pytest.mark.parametrize("piece", [b"data", b"a\n:b", b"\r:ab"])
    def test_scanned_bytes_are_linear_in_the_received_ones(self, piece, monkeypatch):
        """Guards against an entry that is busy with one event without end and answers nobody."""

        class CountingPattern:
            scanned_bytes = 0

            def finditer(self, data, position=0):
                self.scanned_bytes += len(data) - position
                return TestCost.ANY_BLANK_LINE.finditer(data, position)

        pattern = CountingPattern()
        monkeypatch.setattr(event_stream, "_BLANK_LINE", pattern)
        blocks, pieces = EventBlocks(), 10_000
        for _ in range(pieces):
            assert blocks.feed(piece) == []
        assert pattern.scanned_bytes <= 2 * pieces * len(piece)

    @pytest.mark.parametrize("line", [b"x\n", b":\n", b"id\r", b"id: 1\r\n"])
    def test_steps_do_not_grow_with_the_lines_of_an_event(self, line):
        """Guards against an entry that is busy with one event of half a million short lines."""
        blocks = EventBlocks()
        block = blocks.feed(line * (MAX_EVENT_BYTES // len(line) - 2) + b"\n\n")[0]
        assert calls_of(lambda: blocks.find_last(block, b"id")) <= 40
        assert calls_of(lambda: blocks.find_values(block, ID)) <= 40
        blocks.feed(block[:-2])
        assert calls_of(lambda: blocks.is_inside_event) <= 40


class TestEndOfStream:
    """What is left over at the end of a stream."""

    @pytest.mark.parametrize(
        "rest", [b"data: x\n", b"data: x\r\n", b"da", b"id", b": comment\nid: 3", b"\nretry"]
    )
    def test_field_without_blank_line_is_inside_an_event(self, rest):
        blocks = EventBlocks()
        blocks.feed(b"id: 1\n\n" + rest)
        assert blocks.is_inside_event

    @pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n", b": comment\n", b":\r", b"\n: a\n: b\n"])
    def test_blank_lines_and_comments_are_between_events(self, rest):
        blocks = EventBlocks()
        blocks.feed(b"id: 1\n\n" + rest)
        assert not blocks.is_inside_event
        assert not blocks.is_inside_line

    def test_unfinished_comment_is_inside_a_line(self):
        blocks = EventBlocks()
        blocks.feed(b"id: 1\n\n: com")
        assert not blocks.is_inside_event
        assert blocks.is_inside_line


class TestContentType:
    """Recognition of event streams by their content type."""

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            ("text/event-stream", True),
            ("Text/Event-Stream; charset=utf-8", True),
            ("application/json", False),
            ("text/event-stream-of-mine", False),
        ],
    )
    def test_parameters_and_case_do_not_matter(self, value, expected):
        assert is_event_stream(value) is expected
