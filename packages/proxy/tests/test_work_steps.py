"""Long work on received data in steps."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.core import KvEvent
from sassafrastally.proxy.delta_messages import decode_delta, encode_delta
from sassafrastally.proxy.store import StorePosition
from sassafrastally.proxy.store_records import Delta
from sassafrastally.proxy.work_steps import (
    STEP_BYTES,
    STEP_ITEMS,
    decode_json_in_steps,
    decompress_in_steps,
    filter_in_steps,
    map_in_steps,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=8,
)

ITEMS = 20 * STEP_ITEMS


async def steps_of(work: Callable[[], Awaitable[object]]) -> int:
    """Return the number of steps that another task makes meanwhile."""
    steps = 0

    async def count() -> None:
        nonlocal steps
        while True:
            await trio.lowlevel.checkpoint()
            steps += 1

    async with trio.open_nursery() as others:
        others.start_soon(count)
        await work()
        others.cancel_scope.cancel()
    return steps


def outcome(decode: Callable[[], object]) -> object:
    """Return what a decoder returns, or that it rejects its input."""
    try:
        return decode()
    except ValueError:
        return ValueError


class TestJson:
    """Objects decoded in steps."""

    @settings(max_examples=300, database=None)
    @given(VALUES | st.dictionaries(st.text(max_size=3), VALUES), st.sampled_from([None, 1]))
    def test_valid_text_gives_what_the_library_gives(self, value, indent):
        """Guards against a response of the store that is decoded differently."""
        body = json.dumps(value, indent=indent).encode()
        assert trio.run(decode_json_in_steps, body) == value

    @settings(max_examples=500, database=None)
    @given(
        st.lists(
            st.sampled_from(["{", "}", "[", "]", ",", ":", '"a"', "1", " ", "\n", "nul", "null"]),
            max_size=14,
        )
    )
    def test_other_text_is_rejected_as_by_the_library(self, parts):
        """Guards against a broken response that counts as a whole one."""
        body = "".join(["{", *parts]).encode()
        expected = outcome(lambda: json.loads(body))
        assert outcome(lambda: trio.run(decode_json_in_steps, body)) == expected

    @pytest.mark.parametrize("body", [b"", b"\xff", b'{"a":', b'{"a":1}x', b'\xef\xbb\xbf{"a":[]}'])
    async def test_bytes_are_read_as_by_the_library(self, body):
        """Guards against a response with a byte order mark, or a cut one, that ends the watch."""
        try:
            expected = json.loads(body)
        except ValueError:
            with pytest.raises(ValueError):
                await decode_json_in_steps(body)
        else:
            assert await decode_json_in_steps(body) == expected

    @pytest.mark.parametrize("element", ["1", "x" * (STEP_BYTES // 16)])
    async def test_other_tasks_run_between_the_elements(self, element):
        """Guards against an entry that answers nobody while it decodes a long watch response."""
        elements = [element] * (ITEMS if len(element) == 1 else 320)
        body = json.dumps({"events": elements}).encode()
        assert await steps_of(lambda: decode_json_in_steps(body)) >= 15


class TestItems:
    """Lists handled in steps."""

    async def test_results_are_those_of_one_step(self):
        """Guards against items that are lost or reordered between two steps."""
        items = range(2 * STEP_ITEMS + 1)
        assert await map_in_steps(str, items) == [str(item) for item in items]
        assert await filter_in_steps(lambda item: item % 3 == 0, items) == list(items)[::3]

    async def test_other_tasks_run_between_them(self):
        """Guards against an entry that answers nobody while it reads thousands of changes."""
        assert await steps_of(lambda: map_in_steps(str, range(ITEMS))) >= 15
        assert await steps_of(lambda: filter_in_steps(bool, range(ITEMS))) >= 15


class TestChangesOfPeers:
    """Changes that a peer sends."""

    async def test_other_tasks_run_while_they_are_decoded(self):
        """Guards against an entry that answers nobody while it decodes a peer's long answer."""
        events = tuple(KvEvent(f"k{number}", b"x", number + 1) for number in range(ITEMS))
        delta = Delta(None, events, StorePosition(0, ITEMS))
        body = encode_delta(delta)
        assert await decode_delta(body) == delta
        assert await steps_of(lambda: decode_delta(body)) >= 15

    async def test_other_tasks_run_while_they_are_decompressed(self):
        """Guards against little that expands to much in a single step."""
        body = zlib.compress(bytes(20 * STEP_BYTES), 1)
        assert await steps_of(lambda: decompress_in_steps(body, 18 * STEP_BYTES)) >= 15

    @pytest.mark.parametrize("size", [0, 5, STEP_BYTES, 3 * STEP_BYTES + 1])
    async def test_are_decompressed_up_to_the_bound(self, size):
        """Guards against changes that are cut at the end of a step."""
        data = bytes(range(251)) * (size // 251 + 1)
        body = zlib.compress(data[:size])
        assert await decompress_in_steps(body, 4 * STEP_BYTES) == data[:size]
        assert await decompress_in_steps(body, 2 * STEP_BYTES) == data[: min(size, 2 * STEP_BYTES)]
