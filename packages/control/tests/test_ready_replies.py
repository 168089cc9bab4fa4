"""Replies to the holder of placement that are ready when their time limit passes late."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import pytest
import trio
import trio.testing

from sassafrastally.control.fetch import CALL_TIME_LIMIT_S, PartsMissing, fetch_bundle
from sassafrastally.control.lease_holder import RENEWALS_PER_LEASE, LeaseHolder, Tenure
from sassafrastally.control.parts import pack_bundle
from sassafrastally.control.placement_orders import OrderSender, OrderTimes
from sassafrastally.control.placement_plan import Step
from sassafrastally.control.placement_record import KEYS
from sassafrastally.control.store import PartStore
from sassafrastally.core import Address, Kernel
from sassafrastally.stores import VmState
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel
from sassafrastally.wire.messages import PlacementReply

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.control.parts import Manifest

LEASE_S = 12.0
LAGS_S = [0.0, 0.01, 0.05, 0.25]
"""How late the process runs after the limit."""

STATE = VmState("engine-0", "sidecar", "dc", "region", Address("127.0.0.1", 1))
TIMES = OrderTimes(1.0, 30.0)


async def pause(clock: Any, pause_s: float) -> None:
    """Pause the process; a few checkpoints lie between a reply and its reader."""
    clock.jump(pause_s)
    for _ in range(3):
        await trio.lowlevel.checkpoint()


async def acquire(kv: FakeKv) -> Tenure:
    tenure = await LeaseHolder(Kernel("one", "dc", seed=1), kv, KEYS, LEASE_S).acquire()
    assert tenure is not None
    return tenure


class TestTenure:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_renewal_counts(
        self, autojump_clock: trio.testing.MockClock, lag_s: float
    ) -> None:
        """Guards against a tenure that ends although its lease has been renewed."""
        kv = FakeKv(KvModel(Random(3)))
        tenure = await acquire(kv)
        keep_lease = kv.keep_lease
        pauses = [LEASE_S / RENEWALS_PER_LEASE + lag_s]

        async def keep_then_pause(lease_id: int, *, purpose: str) -> float:
            left_s = await keep_lease(lease_id, purpose=purpose)
            if pauses:
                await pause(autojump_clock, pauses.pop())
            return left_s

        kv.keep_lease = keep_then_pause  # type: ignore[method-assign]
        with trio.move_on_after(2 * LEASE_S):
            await tenure.keep()
        tenure.check()
        assert not pauses


class TestOrders:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_reply_is_returned(
        self, autojump_clock: trio.testing.MockClock, lag_s: float
    ) -> None:
        """Guards against an order that counts as perhaps executed although its reply is here."""
        tenure = await acquire(FakeKv(KvModel(Random(3))))
        tenure.check = lambda: None  # type: ignore[method-assign]

        class Link:
            async def link_to(self, vm: str, address: Address) -> Link:
                return self

            async def call(self, message: Any) -> PlacementReply:
                await pause(autojump_clock, TIMES.order_s + lag_s)
                return PlacementReply("done", tenure.fence)

        sender = OrderSender(Link(), tenure, TIMES)  # type: ignore[arg-type]
        reply = await sender.order(STATE, Step("engine-0", "load", "reader", "1"))
        assert reply is not None
        assert reply.fence == tenure.fence

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_order_is_not_sent_past_its_limit(
        self, autojump_clock: trio.testing.MockClock, lag_s: float
    ) -> None:
        """Guards against an order that is executed although its sender has given it up: the link
        was dialled before a pause."""
        tenure = await acquire(FakeKv(KvModel(Random(3))))
        tenure.check = lambda: None  # type: ignore[method-assign]
        sent: list[Any] = []

        class Link:
            async def link_to(self, vm: str, address: Address) -> Link:
                autojump_clock.jump(TIMES.order_s + lag_s)
                return self

            async def call(self, message: Any) -> None:
                sent.append(message)
                await trio.sleep_forever()

        sender = OrderSender(Link(), tenure, TIMES)  # type: ignore[arg-type]
        assert await sender.order(STATE, Step("engine-0", "load", "reader", "1")) is None
        assert not sent


class TestFetch:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_parts_are_stored(
        self, autojump_clock: trio.testing.MockClock, make_bundle_of: Any, lag_s: float
    ) -> None:
        """Guards against a bundle that is activated late since its parts were read late."""
        bundle = make_bundle_of(customers=5)
        packed = pack_bundle(bundle)

        class Source:
            name = "peer"

            async def manifest(self, digest: str) -> bytes:
                await pause(autojump_clock, CALL_TIME_LIMIT_S + lag_s)
                return packed.manifest

            async def parts(self, manifest: Manifest, digests: Sequence[str]) -> list[bytes]:
                await pause(autojump_clock, CALL_TIME_LIMIT_S + lag_s)
                return [packed.parts[digest] for digest in digests]

        events = Kernel("one", "dc", seed=1).events
        assert await fetch_bundle(packed.digest, [Source()], PartStore(), events) == bundle

    async def test_source_that_never_answers_is_skipped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        class Source:
            name = "peer"

            async def manifest(self, digest: str) -> bytes:
                await trio.sleep_forever()
                raise AssertionError

            async def parts(self, manifest: Manifest, digests: Sequence[str]) -> list[bytes]:
                raise AssertionError

        events = Kernel("one", "dc", seed=1).events
        with pytest.raises(PartsMissing):
            await fetch_bundle("0" * 64, [Source()], PartStore(), events)
        assert trio.current_time() <= CALL_TIME_LIMIT_S
