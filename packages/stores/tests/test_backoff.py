"""Tests of back-off and of the gate that keeps calls back in an outage."""

from __future__ import annotations

from contextlib import nullcontext
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.stores import BackoffLimits, Gate, KvConflict, KvUnavailable, full_jitter
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

LIMITS = BackoffLimits(base_s=0.1, cap_s=5.0, reentry_s=1.0)
CLIENTS = 100
CALLERS = 4
OUTAGE_S = 10.0
RETRY_S = 0.25


def fail(gate: Gate) -> None:
    with pytest.raises(KvUnavailable), gate.admit():
        raise KvUnavailable("down")


def closed_gate() -> Gate:
    gate = Gate(LIMITS, Random(1))
    fail(gate)
    fail(gate)
    return gate


class TestFullJitter:
    def test_waits_fill_the_range_under_the_bound(self) -> None:
        waits = [full_jitter(3, 0.1, 5.0, Random(seed)) for seed in range(200)]
        assert min(waits) < 0.1
        assert 0.7 < max(waits) <= 0.8

    def test_the_cap_bounds_late_attempts(self) -> None:
        assert full_jitter(10_000, 0.1, 5.0, Random(1)) <= 5.0


class TestGate:
    async def test_a_lone_failure_leaves_it_open(self, autojump_clock: object) -> None:
        gate = Gate(LIMITS, Random(1))
        fail(gate)
        with gate.admit() as wait_s:
            assert wait_s == 0.0

    async def test_calls_fail_at_once_while_the_service_is_down(
        self, autojump_clock: object
    ) -> None:
        gate = closed_gate()
        with pytest.raises(KvUnavailable) as caught, gate.admit():
            raise AssertionError("the call was let through")
        assert 0.0 < caught.value.retry_after_s <= LIMITS.base_s

    async def test_one_probe_at_a_time(self, autojump_clock: object) -> None:
        gate = closed_gate()
        await trio.sleep(LIMITS.base_s)
        with gate.admit(), pytest.raises(KvUnavailable), gate.admit():
            raise AssertionError("a second probe was let through")
        assert not gate.is_closed

    async def test_a_cancelled_probe_lets_the_next_one_through(
        self, autojump_clock: object
    ) -> None:
        """A caller gives up while its call is the probe. If the gate kept waiting for that probe,
        no call of this purpose would ever be sent again although the service is back."""
        gate = closed_gate()
        await trio.sleep(LIMITS.base_s)
        with trio.move_on_after(1.0), gate.admit():
            await trio.sleep_forever()
        with gate.admit():
            pass
        assert not gate.is_closed

    async def test_calls_that_fail_together_count_once(self, autojump_clock: object) -> None:
        """A cut fails fifty calls that were under way. Counted one by one they would push the wait
        to its cap, and callers would be refused for seconds after the service is back."""
        gate = Gate(LIMITS, Random(1))

        async def call() -> None:
            with pytest.raises(KvUnavailable), gate.admit():
                await trio.sleep(1.0)
                raise KvUnavailable("cut")

        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(call)
        assert not gate.is_closed

    async def test_a_conflict_is_an_answer(self, autojump_clock: object) -> None:
        gate = closed_gate()
        await trio.sleep(LIMITS.base_s)
        with pytest.raises(KvConflict), gate.admit():
            raise KvConflict("another revision")
        assert not gate.is_closed


class TestRecovery:
    async def test_no_stampede_after_an_outage(self, autojump_clock: object) -> None:
        """The KV service is down for half a minute and comes back. All processes have callers
        that wait; if each of them came at that moment, the service would get a thousand calls at
        once, fail again, and callers would see one outage after another."""
        naive = await calls_after_recovery(lambda _seed: nullcontext)
        gated = await calls_after_recovery(
            lambda seed: Gate(LIMITS, Random(seed)).admit  # one gate for each process
        )
        assert naive >= CLIENTS * CALLERS
        assert gated < naive / 3


async def calls_after_recovery(make_admit: Callable[[int], Callable[[], object]]) -> int:
    """Return the calls that arrive in the first second after an outage."""
    model = KvModel(Random(1))
    model.set_faults(KvFaults(down=True))
    async with trio.open_nursery() as nursery:
        for seed in range(CLIENTS):
            admit = make_admit(seed)
            for _ in range(CALLERS):
                nursery.start_soon(call_until_answered, FakeKv(model), admit, Random(seed))
        await trio.sleep(OUTAGE_S)
        before = model.counts["range"]
        model.set_faults(KvFaults())
        await trio.sleep(1.0)
        return model.counts["range"] - before


async def call_until_answered(
    kv: FakeKv, admit: Callable[[], AbstractContextManager[float | None]], random: Random
) -> None:
    await trio.sleep(random.uniform(0.0, RETRY_S))
    while True:
        try:
            with admit() as wait_s:
                await trio.sleep(wait_s or 0.0)
                await kv.get("key", purpose="claims")
                return
        except KvUnavailable as cause:
            await trio.sleep(max(cause.retry_after_s, RETRY_S))
