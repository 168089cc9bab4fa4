"""Messages of peers that are small on the wire and large once decoded."""

from __future__ import annotations

import tracemalloc
import zlib

import pytest

from sassafrastally.proxy.delta_messages import decode_delta
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.peer_messages import (
    MAX_DATAGRAM_BYTES,
    decode_hello,
    encode_hello,
)
from sassafrastally.proxy.peer_schema import schema
from sassafrastally.testing.outside_values import hello

MAX_ELEMENTS = 1000
"""More elements than a datagram can hold if they aren't empty."""


class TestDatagrams:
    """Traversal limit of a datagram."""

    @pytest.mark.parametrize("elements", [2 * MAX_ELEMENTS, 12_000])
    def test_thousands_of_empty_elements_are_rejected(self, elements):
        """Guards against datagrams of a hundred bytes that each hold the process for 0.2 s."""
        message = schema().Hello.new_message(host="10.0.0.9")
        message.init("loads", elements)
        data = message.to_bytes_packed()
        assert len(data) < MAX_DATAGRAM_BYTES
        with pytest.raises(DocumentInvalid):
            decode_hello(data)

    @pytest.mark.parametrize("work", [Work(short_requests=1), Work(*range(1, 7))])
    def test_full_datagram_is_within_the_limit(self, work):
        """Guards against a limit that cuts off an entry with much to tell."""
        keys = [0x0123456789ABCDEF + number for number in range(400)]
        data = encode_hello(
            hello(
                loads=dict.fromkeys(keys, work),
                suspects=dict.fromkeys(keys, 60.0),
                paces=dict.fromkeys(keys, 9.0),
                draining=tuple(keys[:8]),
            )
        )
        assert len(data) > MAX_DATAGRAM_BYTES / 2
        decode_hello(data)


class TestChanges:
    """Size of changes once they are decompressed."""

    async def test_little_that_expands_to_much_takes_little_memory(self):
        """Guards against an answer of 300 KB that takes more memory than a small VM has."""
        compressor = zlib.compressobj(9)
        parts = [compressor.compress(bytes(1_000_000)) for _ in range(300)]
        body = b"".join([*parts, compressor.flush()])
        assert len(body) < 400_000
        tracemalloc.start()
        try:
            with pytest.raises(DocumentInvalid):
                await decode_delta(body)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak_bytes <= 100_000_000
