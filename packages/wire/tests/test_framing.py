"""Tests of frames on a byte stream, including damaged input."""

from __future__ import annotations

import itertools
from contextlib import suppress

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.wire import (
    MAX_FRAME_BYTES,
    BadFrame,
    Chunk,
    Frame,
    LinkCut,
    Ping,
    Query,
    decode_frame,
    encode_frame,
)
from sassafrastally.wire.framing import LENGTH_BYTES, FrameReader, FrameWriter, frame_bytes

FRAMES = [Frame(n, n, Chunk("r" * 32, 1, n, 1, b"token" * n)) for n in range(40)]
FIXED = settings(derandomize=True, max_examples=300, deadline=None, database=None)
VALID = b"".join(frame_bytes(frame) for frame in FRAMES[:6])


@st.composite
def damaged(draw, valid):
    """Return valid bytes with random replacements, deletions and insertions."""
    data = bytearray(valid)
    for _ in range(draw(st.integers(1, 8))):
        position = draw(st.integers(0, len(data)))
        data[position : position + draw(st.integers(0, 4))] = draw(st.binary(max_size=4))
    return bytes(data)


class Pieces(trio.abc.ReceiveStream):
    """Stream that returns one piece per read; trio's memory stream would join buffered data."""

    def __init__(self, pieces):
        self._pieces = [piece for piece in pieces if piece]

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        return self._pieces.pop(0) if self._pieces else b""

    async def aclose(self):
        self._pieces.clear()


async def read_all(*pieces):
    reader = FrameReader(Pieces(pieces))
    frames = []
    with pytest.raises((LinkCut, BadFrame)):
        while True:
            frames.append(await reader.read())
    return frames


def read_reference(data):
    frames = []
    while len(data) >= LENGTH_BYTES:
        size = int.from_bytes(data[:LENGTH_BYTES], "big")
        body, data = data[LENGTH_BYTES : LENGTH_BYTES + size], data[LENGTH_BYTES + size :]
        if size > MAX_FRAME_BYTES or len(body) < size:
            return frames
        try:
            frames.append(decode_frame(body))
        except BadFrame:
            return frames
    return frames


class TestFrameReader:
    async def test_frames_are_read_whole_from_any_fragmentation(self):
        data = b"".join(frame_bytes(frame) for frame in FRAMES)
        assert await read_all(data) == FRAMES
        assert await read_all(*(data[n : n + 1] for n in range(len(data)))) == FRAMES

    @FIXED
    @given(damaged(VALID))
    def test_damaged_bytes_raise_coded_errors(self, data):
        """A faulty peer sends damaged bytes: the reader must raise one of its coded errors."""
        trio.run(read_all, data)

    @FIXED
    @given(damaged(VALID), st.lists(st.integers(0, len(VALID)), max_size=12))
    def test_agrees_with_a_reference_reader(self, data, cuts):
        """The reference reader parses the frames from the complete bytes."""
        edges = sorted({0, *(min(cut, len(data)) for cut in cuts), len(data)})
        pieces = [data[begin:end] for begin, end in itertools.pairwise(edges)]
        assert trio.run(read_all, *pieces) == read_reference(data)


class TestDecodeFrame:
    @FIXED
    @given(st.one_of(st.binary(max_size=300), damaged(encode_frame(FRAMES[5]))))
    def test_any_bytes_are_a_frame_or_a_coded_error(self, data):
        with suppress(BadFrame):
            assert isinstance(decode_frame(data), Frame)


class TestFrameWriter:
    async def test_queued_frames_are_sent_in_one_write(self, autojump_clock):
        sends = []
        stream = trio.testing.MemorySendStream()

        async def record():
            sends.append(bytes(stream.get_data_nowait()))

        stream.send_all_hook = record
        writer = FrameWriter(stream)
        for frame in FRAMES:
            writer.put(frame)
        with trio.move_on_after(0.01):
            await writer.run()
        assert sends == [b"".join(frame_bytes(frame) for frame in FRAMES)]

    async def test_ping_is_sent_before_queued_frames(self, autojump_clock):
        """On a busy connection, a ping behind the queue would arrive after the time limit."""
        stream = trio.testing.MemorySendStream()
        writer = FrameWriter(stream)
        for frame in FRAMES:
            writer.put(frame)
        writer.put_first(Frame(0, 1, Ping(1)))
        with trio.move_on_after(0.01):
            await writer.run()
        assert stream.get_data_nowait().startswith(frame_bytes(Frame(0, 1, Ping(1))))

    async def test_senders_wait_while_the_queue_is_full(self, autojump_clock):
        writer = FrameWriter(trio.testing.MemorySendStream())
        with trio.move_on_after(1) as scope:
            for _ in range(1000):
                await writer.wait_writable()
                writer.put(Frame(1, 1, Query("r" * 1000)))
        assert scope.cancelled_caught
        with trio.move_on_after(1) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                await writer.wait_writable()
                await writer.wait_idle()
                nursery.cancel_scope.cancel()
        assert not scope.cancelled_caught
