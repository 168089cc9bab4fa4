"""A store whose responses don't end."""

from __future__ import annotations

import json

import pytest
import trio

from sassafrastally.core import KvUnavailable, MaybeApplied
from sassafrastally.core.kv import KvWrite
from sassafrastally.platform.store import (
    MAX_PAGES,
    MAX_SNAPSHOT_BYTES,
    PAGE_BOUNDS,
    WATCH_BOUNDS,
    WRITE_BOUNDS,
    StoreClient,
)
from sassafrastally.proxy.calls import CallResponse, ResponseTooLarge
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.store import HistoryGone, Lease, StorePosition
from sassafrastally.stand_ins.documents import make_configuration
from sassafrastally.stand_ins.endless_bytes import EndlessBytes, EndlessPace, EndlessPlace
from sassafrastally.stand_ins.platform_fleet import wait_until

POSITION = StorePosition(0, 7)
WRITE = [KvWrite("a", b"", -1)]


class FloodedExchange:
    """Answers each call with a response over its bounds."""

    def __init__(self) -> None:
        self.bounds = []

    async def __call__(self, method, target, body, time_limit_s, bounds) -> CallResponse:
        self.bounds.append(bounds)
        raise ResponseTooLarge(f"the response is over {bounds.size_bytes} bytes")


class TestOverTheBound:
    """Outcome of each call whose response is over its bound."""

    async def test_write_may_have_been_applied(self):
        """Guards against reporting a write as rejected that the store applied."""
        exchange = FloodedExchange()
        client = StoreClient(exchange, 1.0)
        for call in (
            client.write(WRITE),
            client.grant_lease(1.0),
            client.keep_lease(Lease(5, 0)),
        ):
            with pytest.raises(MaybeApplied):
                await call
        assert exchange.bounds == 3 * [WRITE_BOUNDS]

    async def test_page_is_an_unavailable_store(self):
        exchange = FloodedExchange()
        with pytest.raises(KvUnavailable):
            await StoreClient(exchange, 1.0).read_prefix("")
        assert exchange.bounds == [PAGE_BOUNDS]

    async def test_watch_is_replaced_by_a_read(self):
        """Guards against asking again and again for changes that are too many for one response."""
        exchange = FloodedExchange()
        with pytest.raises(HistoryGone):
            await StoreClient(exchange, 1.0).watch("", POSITION, 30.0)
        size_bytes, time_s = WATCH_BOUNDS
        assert exchange.bounds == [(size_bytes, time_s + 30.0)]


class TestEndlessPages:
    """Pages that always name a next one."""

    @pytest.mark.parametrize("value_bytes", [0, 2_000_000])
    async def test_are_an_unavailable_store(self, value_bytes):
        """Guards against a start that never ends and takes all memory."""
        sizes = []

        async def exchange(*_: object) -> CallResponse:
            assert len(sizes) <= MAX_PAGES, "pages are read without a bound"
            await trio.lowlevel.checkpoint()
            item = {"key": f"{len(sizes):06}", "value": "A" * value_bytes, "revision": 1}
            body = json.dumps({"items": [item], "currentRev": 9, "morePages": True}).encode()
            sizes.append(len(body))
            return CallResponse(200, [], body)

        with pytest.raises(KvUnavailable):
            await StoreClient(exchange, 1.0).read_prefix("")
        assert len(sizes) <= MAX_PAGES
        assert sum(sizes) <= MAX_SNAPSHOT_BYTES + PAGE_BOUNDS.size_bytes


class TestSlowResponse:
    """A response of the store that goes on slowly without end."""

    @pytest.mark.parametrize(
        "place", [EndlessPlace.BODY, EndlessPlace.TINY_CHUNKS, EndlessPlace.FAILURE_BODY]
    )
    async def test_doesnt_delay_the_next_configuration(self, small_fleet, place):
        """Guards against a watch that is read for as long as a long poll while the store already
        answers other calls."""
        state = small_fleet.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: state.configuration_version == 1)
        small_fleet.store.endless = EndlessBytes(place, EndlessPace.SLOW)
        small_fleet.store.put("op/other", b"")
        await trio.sleep(1.0)
        small_fleet.store.endless = None
        small_fleet.configure(make_configuration(2))
        await wait_until(lambda: state.configuration_version == 2, 2.0)
