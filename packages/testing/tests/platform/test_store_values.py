"""The store's responses with values out of range, and what uses them.

Values that a decoder accepts go through the decisions and encodings that use them, none of which
may fail.
"""

from __future__ import annotations

import base64
import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from sassafrastally.core import Kernel, KvUnavailable
from sassafrastally.platform.store import StoreClient
from sassafrastally.proxy.calls import CallResponse
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.delta_messages import decode_delta, encode_delta
from sassafrastally.proxy.peer_messages import decode_hello, encode_hello
from sassafrastally.proxy.store import HistoryGone, StorePosition
from sassafrastally.testing.outside_values import (
    DIALECT,
    INTEGERS,
    JSON_VALUES,
    TEXTS,
    hello,
    many_examples,
)

ITEMS = st.fixed_dictionaries(
    {
        "key": st.one_of(
            TEXTS,
            TEXTS.map("op/evacuate/".__add__),
            TEXTS.map("entries/".__add__),
            TEXTS.map("servers/".__add__),
            st.just("quarantine/00000000000000ab"),
            st.just("op/config"),
        ),
        "value": (
            st.binary(max_size=40)
            | JSON_VALUES.map(lambda value: json.dumps(value).encode())
            | st.just(b"[" * 100_000)
        ).map(lambda value: base64.b64encode(value).decode()),
        "revision": st.integers(1, 100) | INTEGERS,
    }
)


class TestStoreAnswers:
    """Responses of the store, with entries of any writer."""

    @many_examples
    @given(
        st.lists(ITEMS, max_size=4),
        st.integers(1, 100) | JSON_VALUES,
        st.lists(ITEMS, max_size=4),
        st.integers(100, 200) | JSON_VALUES,
    )
    def test_are_applied_and_passed_on(self, items, first_revision, events, revision):
        """Guards against the end of all processes by one entry of another writer."""
        bodies = [
            {"items": items, "currentRev": first_revision},
            {"events": events, "currentRev": revision},
        ]
        trio.run(self._follow, [json.dumps(body).encode() for body in bodies])

    @pytest.mark.parametrize("body", [b"[" * 100_000, b'{"items": [1], "currentRev": 1e999}'])
    async def test_of_any_form_are_an_unavailable_store(self, body):
        """Guards against the end of a process by a store that spoils its responses."""
        with pytest.raises(KvUnavailable):
            await self._client([body]).read_prefix("")

    def _client(self, bodies: list[bytes]) -> StoreClient:
        async def exchange(*_: object) -> CallResponse:
            return CallResponse(200, [], bodies.pop(0))

        return StoreClient(exchange, 1.0)

    async def _follow(self, bodies: list[bytes]) -> None:
        client = self._client(bodies)
        state = Kernel("vm", "here", seed=1).add(ClusterState(DIALECT, 3.0))
        try:
            state.replace(await client.read_prefix(""), "store")
            changes = await client.watch("", state.position, 1.0)
            state.apply(changes.events, changes.position, "store")
        except (KvUnavailable, HistoryGone):
            return
        finally:
            for position in (StorePosition(0, 0), state.position):
                await decode_delta(encode_delta(state.delta_after(position)))
            state.servers.record_announced_draining([1], "peer 10.0.0.2")
            decode_hello(encode_hello(hello(position=state.position)))
