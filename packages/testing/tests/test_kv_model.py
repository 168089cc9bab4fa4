"""Tests of the KV model and its in-process client."""

from __future__ import annotations

from random import Random

import pytest
import trio

from sassafrastally.stores import KvUnavailable, KvWrite, LeaseLost, MaybeApplied
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel, KvRates


@pytest.fixture
def model() -> KvModel:
    return KvModel(Random(1))


class TestLeases:
    async def test_a_lapse_deletes_the_keys_and_wakes_the_watch(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        kv = FakeKv(model)
        lease_id = await kv.grant_lease(5.0, purpose="placement")
        await kv.write([KvWrite("home", b"me", 0, lease_id)], purpose="placement")
        began_s = trio.current_time()
        async with kv.watch("home", from_revision=0, purpose="placement") as changes:
            with trio.fail_after(60.0):
                assert (await anext(changes)).value is None
        assert trio.current_time() - began_s == pytest.approx(5.0)

    async def test_a_holder_that_was_paused_finds_its_lease_gone(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """The holder of a lease is frozen past its end and wakes up believing that it still holds
        it. Its next renewal must say that it is lost, not renew it."""
        kv = FakeKv(model)
        lease_id = await kv.grant_lease(5.0, purpose="placement")
        await trio.sleep(4.0)
        assert await kv.keep_lease(lease_id, purpose="placement") == 5.0
        await trio.sleep(5.0)
        with pytest.raises(LeaseLost):
            await kv.keep_lease(lease_id, purpose="placement")
        with pytest.raises(LeaseLost):
            await kv.write([KvWrite("home", b"me", 0, lease_id)], purpose="placement")


class TestFaults:
    async def test_calls_over_the_rate_are_refused(self, autojump_clock: object) -> None:
        model = KvModel(Random(1), KvRates(reads_per_s=10.0))
        kv = FakeKv(model)
        refused = 0
        for _ in range(30):
            try:
                await kv.get("a", purpose="claims")
            except KvUnavailable as cause:
                refused += 1
                assert cause.retry_after_s > 0.0
        assert (refused, model.counts["range"]) == (20, 30)

    async def test_a_slow_write_takes_effect_although_its_caller_gave_up(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        model.set_faults(KvFaults(delay_s=3.0))
        with pytest.raises(MaybeApplied):
            await FakeKv(model, call_time_limit_s=2.0).write(
                [KvWrite("a", b"1", 0)], purpose="claims"
            )
        assert model.range("a") is not None

    async def test_lost_answers_follow_the_seed(self, autojump_clock: object) -> None:
        async def pattern() -> list[bool]:
            model = KvModel(Random(7))
            model.set_faults(KvFaults(lose_probability=0.5))
            lost = []
            for number in range(20):
                try:
                    await FakeKv(model).write([KvWrite(f"k{number}", b"", 0)], purpose="claims")
                    lost.append(False)
                except MaybeApplied:
                    lost.append(True)
            return lost

        first = await pattern()
        assert first == await pattern()
        assert 0 < sum(first) < 20
