"""Ends of content that only the content shows."""

from __future__ import annotations

import time

import pytest

from sassafrastally.sidecar.content_end import EventStreamEnd, JsonEnd

DOCUMENTS = [
    b'{"a": "}\\"]", "b": [{}, "\\\\"], "c": "\\u007b"}',
    b' [[], "\\\\\\"", {"x": ["{"]}]',
    b'"a \\" string"',
]
MAX_SCAN_S = 1.0


def is_whole(*pieces: bytes) -> bool:
    end = JsonEnd()
    for piece in pieces:
        end.feed(piece)
    return end.is_whole


class TestJson:
    @pytest.mark.parametrize("document", DOCUMENTS)
    def test_only_the_whole_document_is_whole_however_it_is_split(self, document: bytes) -> None:
        """Guards against a document that passes for whole because a piece ends in an escape."""
        for end in range(len(document) + 1):
            for split in range(end + 1):
                pieces = document[:split], b"", document[split:end]
                assert is_whole(*pieces) == (end == len(document)), pieces
            bytewise = [document[i : i + 1] for i in range(end)]
            assert is_whole(*bytewise) == (end == len(document))

    @pytest.mark.parametrize("unit", [b'\\"', b'"', b"[", b'"\\\\"', b'[{"'])
    def test_a_scan_takes_linear_time(self, unit: bytes) -> None:
        """Guards against a sidecar that is held up by a service's text of quotes."""
        text = b'"' + unit * 200_000
        start_s = time.process_time()
        is_whole(text)
        assert time.process_time() - start_s < MAX_SCAN_S


class TestEventStreams:
    @pytest.mark.parametrize("line_end", [b"\n", b"\r", b"\r\n"])
    def test_a_long_event_ends_with_its_blank_line(self, line_end: bytes) -> None:
        """Guards against an event over the maximum size that counts as complete once it begins."""
        body = b"data: " + b"x" * 1_500_000 + line_end * 2
        for split in range(len(body) - 6, len(body)):
            end = EventStreamEnd(ends_with_connection=True)
            end.feed(body[:split])
            assert not end.is_whole or body[:split].endswith((b"\n\n", b"\r\r", b"\n\r"))
            end.feed(body[split:])
            assert end.is_whole
