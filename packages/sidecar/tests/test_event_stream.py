"""Tests of the server-sent events parser."""

from __future__ import annotations

import sys
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from sassafrastally.core import MAX_EVENT_BYTES, EventTooLong
from sassafrastally.sidecar.event_stream import EventReader

if TYPE_CHECKING:
    from types import FrameType

STREAM = (
    b": comment\r\ndata: one\r\n\r\ndata:two\ndata: lines\n\nevent: x\ndata: [DONE]\n\nid: 4\n\n"
)


class TestEventReader:
    @seed(1)
    @settings(max_examples=100, database=None)
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_events_do_not_depend_on_piece_boundaries(self, cuts: list[int]) -> None:
        reader = EventReader()
        bounds = [0, *sorted(cuts), len(STREAM)]
        pieces = [STREAM[start:end] for start, end in pairwise(bounds)]
        events = [event for piece in pieces for event in reader.feed(piece)]
        assert events == [b"one", b"two\nlines", b"[DONE]"]

    @pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
    def test_events_do_not_depend_on_line_ends(self, end: bytes) -> None:
        """Guards against an engine whose stream never ends because its line ends aren't known."""
        reader = EventReader()
        assert list(reader.feed(STREAM.replace(b"\r\n", b"\n").replace(b"\n", end))) == [
            b"one",
            b"two\nlines",
            b"[DONE]",
        ]

    @pytest.mark.parametrize("line", [b"data: " + b"x" * 4096, b"data: " + b"x" * 4096 + b"\n"])
    def test_endless_events_are_rejected(self, line: bytes) -> None:
        """A broken engine must not exhaust the sidecar's memory, which would end every run.

        The engine sends one event that never ends, as one long line or as more and more lines.
        """
        reader = EventReader()
        with pytest.raises(EventTooLong):
            for _ in range(2 * MAX_EVENT_BYTES // len(line)):
                list(reader.feed(line))

    @pytest.mark.parametrize("line", [b"a\n", b":\n", b"data\n"])
    def test_steps_do_not_grow_with_the_lines_of_an_event(self, line: bytes) -> None:
        """Guards against a sidecar that is busy with one event of half a million short lines and
        relays no other run meanwhile."""
        calls = 0

        def count_call(_frame: FrameType, event: str, _argument: object) -> None:
            nonlocal calls
            calls += event == "call"

        reader = EventReader()
        event = line * (MAX_EVENT_BYTES // len(line) - 2) + b"\n"
        sys.setprofile(count_call)
        try:
            list(reader.feed(event))
        finally:
            sys.setprofile(None)
        assert calls <= 60
