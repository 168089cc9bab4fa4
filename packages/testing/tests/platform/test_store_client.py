"""Client of the metadata store: responses around a restore, and responses that end early."""

from __future__ import annotations

import json
from itertools import product

import pytest

from sassafrastally.core import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.core.kv import KvWrite
from sassafrastally.platform.store import StoreClient
from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.calls import CallResponse
from sassafrastally.proxy.store import HistoryGone, Lease, StorePosition
from sassafrastally.stand_ins.connection_end import ConnectionEnd

WRITE = [KvWrite("a", b"", -1)]


def response(
    epoch: object = 1, revision: int = 1, status: int = 200, **fields: object
) -> CallResponse:
    """Return a response with all fields that calls read."""
    body = {"currentRev": revision, "revision": revision, "items": [], "events": [], **fields}
    headers = [] if epoch is None else [(b"store-era", str(epoch).encode())]
    return CallResponse(status, headers, json.dumps(body).encode())


def client(*responses: CallResponse) -> StoreClient:
    """Return a client that gets the responses in order."""
    remaining = iter(responses)

    async def exchange(method, target, body, time_limit_s, bounds) -> CallResponse:
        return next(remaining)

    return StoreClient(exchange, 1.0)


class TestEpoch:
    """The epoch that each response names."""

    async def test_watch_names_a_position(self):
        changes = await client(response(3, 7)).watch("", StorePosition(3, 5), 1.0)
        assert changes.position == StorePosition(3, 7)

    async def test_store_that_names_none_has_epoch_0(self):
        snapshot = await client(response(None, 7)).read_prefix("")
        assert snapshot.position == StorePosition(0, 7)

    @pytest.mark.parametrize("epoch", ["", "two", "-1", "9" * 30])
    async def test_invalid_epoch_makes_a_read_unavailable(self, epoch):
        with pytest.raises(KvUnavailable):
            await client(response(epoch)).read_prefix("")

    async def test_invalid_epoch_of_a_write_leaves_its_effect_open(self):
        """Guards against reporting that a write had no effect although the store applied it."""
        with pytest.raises(MaybeApplied):
            await client(response("two")).write(WRITE)


class TestRestore:
    """Responses around a restore of the store."""

    async def test_watch_from_before_needs_a_new_snapshot(self):
        """Guards against taking the changes after a revision that was given out again."""
        with pytest.raises(HistoryGone):
            await client(response(2, 40)).watch("", StorePosition(1, 30), 1.0)

    async def test_late_response_from_before_is_not_used(self):
        """Guards against a delayed response that brings back what the restore has replaced."""
        store = client(response(2), response(1))
        await store.read_prefix("")
        with pytest.raises(KvUnavailable):
            await store.read_prefix("")

    async def test_watch_from_a_position_that_a_peer_knows_waits_for_its_epoch(self):
        """Guards against reading the full state again and again from a store that is behind."""
        with pytest.raises(KvUnavailable):
            await client(response(1, status=410)).watch("", StorePosition(2, 5), 1.0)

    async def test_pages_of_two_epochs_are_not_one_snapshot(self):
        """Guards against a snapshot that mixes records from before and after a restore."""
        item = {"key": "a", "value": "", "revision": 1}
        first = response(1, 30, items=[item], morePages=True)
        with pytest.raises(KvUnavailable):
            await client(first, response(2, 5)).read_prefix("")

    async def test_lease_from_before_is_lost(self):
        """Guards against renewing, or writing with, a lease that belongs to another process now."""
        lease = Lease(5, 1)
        with pytest.raises(LeaseLost):
            await client(response(2, ttlMs=1000)).keep_lease(lease)
        with pytest.raises(LeaseLost):
            await client(response(2)).write(WRITE, lease)

    async def test_write_that_was_acknowledged_before_may_be_lost(self):
        """Guards against counting on a write whose acknowledgement is from before a restore."""
        store = client(response(2), response(1))
        await store.read_prefix("")
        with pytest.raises(MaybeApplied):
            await store.write(WRITE)


class TestIncompleteResponses:
    """Responses that break off or don't say what was done."""

    @pytest.mark.parametrize("body", [b"", b'{"revision": 1', b'{"revi', b"[]", b"{}"])
    @pytest.mark.parametrize("status", [200, 500, 502])
    async def test_write_may_have_been_applied(self, status, body):
        """Guards against reporting a write as rejected whose acknowledgement was cut off."""
        lost = CallResponse(status, [(b"store-era", b"1")], body)
        for call in (
            client(lost).write(WRITE),
            client(lost).grant_lease(1.0),
            client(lost).keep_lease(Lease(5, 1)),
        ):
            with pytest.raises(MaybeApplied):
                await call

    @pytest.mark.parametrize("body", [b"", b'{"items": [', b"[]", b"{}", b'{"items": 4}'])
    async def test_read_is_unavailable(self, body):
        """Guards against taking the begin of a list for the whole one, and against a crash."""
        cut = CallResponse(200, [(b"store-era", b"1")], body)
        with pytest.raises(KvUnavailable):
            await client(cut).read_prefix("")
        with pytest.raises(KvUnavailable):
            await client(cut).watch("", StorePosition(1, 1), 1.0)

    @pytest.mark.parametrize(
        ("framing", "how"), list(product(BodyFraming, [ConnectionEnd.CLOSE, ConnectionEnd.RESET]))
    )
    async def test_store_breaks_off_an_acknowledgement(self, fleet, framing, how):
        """Guards against repeating a write that was applied, however its response ended."""
        store = fleet.store
        store.framing, store.breaks_by, store.lost_after_bytes = framing, how, 5
        fleet_client = fleet.store_client(1)
        await fleet_client.write([KvWrite("mine/kept", b"1", 0)])
        store.loses_responses = True
        with pytest.raises(MaybeApplied):
            await fleet_client.write([KvWrite("mine/lost", b"1", 0)])
        assert store.value("mine/lost") == b"1"
        with pytest.raises(MaybeApplied):
            await fleet_client.grant_lease(5.0)
