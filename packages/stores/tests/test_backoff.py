"""Tests of exponential backoff and of the circuit breaker."""

from __future__ import annotations

from contextlib import nullcontext
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.stores import (
    BackoffLimits,
    CircuitBreaker,
    KvConflict,
    KvUnavailable,
    full_jitter,
)
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


def fail(breaker: CircuitBreaker) -> None:
    with pytest.raises(KvUnavailable), breaker.admit():
        raise KvUnavailable("down")


def open_breaker() -> CircuitBreaker:
    breaker = CircuitBreaker(LIMITS, Random(1))
    fail(breaker)
    fail(breaker)
    return breaker


class TestFullJitter:
    def test_delays_cover_the_range_up_to_the_bound(self) -> None:
        waits = [full_jitter(3, 0.1, 5.0, Random(seed)) for seed in range(200)]
        assert min(waits) < 0.1
        assert 0.7 < max(waits) <= 0.8

    def test_the_cap_bounds_late_attempts(self) -> None:
        assert full_jitter(10_000, 0.1, 5.0, Random(1)) <= 5.0


class TestCircuitBreaker:
    async def test_a_single_failure_keeps_it_closed(self, autojump_clock: object) -> None:
        breaker = CircuitBreaker(LIMITS, Random(1))
        fail(breaker)
        with breaker.admit() as wait_s:
            assert wait_s == 0.0

    async def test_calls_fail_at_once_while_the_service_is_down(
        self, autojump_clock: object
    ) -> None:
        breaker = open_breaker()
        with pytest.raises(KvUnavailable) as caught, breaker.admit():
            raise AssertionError("the call was admitted")
        assert 0.0 < caught.value.retry_after_s <= LIMITS.base_s

    async def test_one_probe_at_a_time(self, autojump_clock: object) -> None:
        breaker = open_breaker()
        await trio.sleep(LIMITS.base_s)
        with breaker.admit(), pytest.raises(KvUnavailable), breaker.admit():
            raise AssertionError("a second probe was admitted")
        assert not breaker.is_open

    async def test_a_cancelled_probe_admits_the_next_one(self, autojump_clock: object) -> None:
        """Guards against a breaker that stays open for ever.

        A caller is cancelled while its call is the probe. If the breaker kept waiting for that
        probe, no call of this purpose would be sent again after the service has recovered."""
        breaker = open_breaker()
        await trio.sleep(LIMITS.base_s)
        with trio.move_on_after(1.0), breaker.admit():
            await trio.sleep_forever()
        with breaker.admit():
            pass
        assert not breaker.is_open

    async def test_calls_that_fail_together_count_once(self, autojump_clock: object) -> None:
        """Guards against an excessive delay after one network failure.

        The failure hits fifty calls in flight. Counted separately, they would raise the delay to
        its cap, and calls would be rejected for seconds after the service has recovered."""
        breaker = CircuitBreaker(LIMITS, Random(1))

        async def call() -> None:
            with pytest.raises(KvUnavailable), breaker.admit():
                await trio.sleep(1.0)
                raise KvUnavailable("connection lost")

        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(call)
        assert not breaker.is_open

    async def test_a_conflict_counts_as_a_success(self, autojump_clock: object) -> None:
        breaker = open_breaker()
        await trio.sleep(LIMITS.base_s)
        with pytest.raises(KvConflict), breaker.admit():
            raise KvConflict("another revision")
        assert not breaker.is_open


class TestRecovery:
    async def test_no_thundering_herd_after_an_outage(self, autojump_clock: object) -> None:
        """Guards against repeated outages caused by simultaneous retries.

        The KV service recovers after half a minute while callers wait in all processes. If they
        all retried at that moment, a thousand calls at once would overload the service again."""
        naive = await calls_after_recovery(lambda _seed: nullcontext)
        protected = await calls_after_recovery(
            lambda seed: CircuitBreaker(LIMITS, Random(seed)).admit  # one breaker per process
        )
        assert naive >= CLIENTS * CALLERS
        assert protected < naive / 3


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
