"""Tests of customer limits across entries, with changing homes and network partitions."""

from __future__ import annotations

from random import Random

import pytest
import trio
import trio.testing

from sassafrastally.control.bundle import Customer
from sassafrastally.serving.refusals import Refusal
from sassafrastally.serving.slices import SLICE_TTL_S, TokenBucket
from sassafrastally.testing.limit_fleet import NAMES, LimitFleet

LIMIT = 20
RATE = 1_000.0
BURST = 4_000
CONCURRENT = Customer("yeso", (), max_concurrent=LIMIT)
RATED = Customer("yeso", (), rate_tokens_per_s=RATE, burst_tokens=BURST)


@pytest.fixture
async def concurrent(nursery):
    return await LimitFleet(nursery, CONCURRENT).start()


@pytest.fixture
async def rated(nursery):
    return await LimitFleet(nursery, RATED).start()


class TestConcurrency:
    async def test_limit_holds_across_all_entries(self, concurrent, autojump_clock):
        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(concurrent.request, NAMES[number % 5], 10.0)
        assert (concurrent.most_open, concurrent.refused) == (LIMIT, 40)

    async def test_one_entry_may_use_the_whole_limit(self, concurrent, autojump_clock):
        async with trio.open_nursery() as nursery:
            for _ in range(LIMIT):
                nursery.start_soon(concurrent.request, NAMES[3], 1.0)
        assert (concurrent.most_open, concurrent.refused) == (LIMIT, 0)

    async def test_capacity_is_returned_within_a_report_interval(self, concurrent, autojump_clock):
        async with trio.open_nursery() as nursery:
            for _ in range(LIMIT):
                nursery.start_soon(concurrent.request, NAMES[3], 1.0)
        await trio.sleep(6.0)
        async with trio.open_nursery() as nursery:
            for _ in range(LIMIT):
                nursery.start_soon(concurrent.request, NAMES[1], 1.0)
        assert concurrent.refused == 0

    async def test_refusal_has_correct_figures(self, concurrent, autojump_clock):
        async with trio.open_nursery() as nursery:
            for number in range(LIMIT):
                nursery.start_soon(concurrent.request, NAMES[number % 2], 10.0)
            await trio.sleep(1.0)
            with pytest.raises(Refusal) as caught:
                await concurrent.services[NAMES[2]].admit(CONCURRENT, 1).__aenter__()
        figures = caught.value.figures
        assert caught.value.kind.code == "concurrency-limit"
        assert (figures.limit, figures.measured) == (LIMIT, LIMIT)
        assert figures.retry_after_s > 0

    async def test_no_limit_admits_without_a_message(self, nursery, autojump_clock):
        limits = await LimitFleet(nursery, Customer("yeso", ())).start()
        await limits.request(NAMES[0], 1.0)
        assert (limits.most_open, limits.fleet.message_bytes) == (1, [])

    async def test_partitioned_entries_use_their_share(self, concurrent, autojump_clock):
        """Two entries without the home admit a fifth of the limit each; refusals say so."""
        cut = [name for name in NAMES if name != concurrent.home()][:2]
        concurrent.isolate(*cut)
        async with trio.open_nursery() as nursery:
            for name in cut * 10:
                nursery.start_soon(concurrent.request, name, 10.0)
            await trio.sleep(2.0)
            with pytest.raises(Refusal) as caught:
                await concurrent.services[cut[0]].admit(CONCURRENT, 1).__aenter__()
        assert concurrent.most_open == 2 * LIMIT // 5
        assert caught.value.figures.limit == LIMIT // 5
        assert "share" in caught.value.figures.detail

    async def test_slice_expires_at_a_partitioned_entry(self, concurrent, autojump_clock):
        """A partitioned entry loses its extra grant at expiry, when the home may grant it again."""
        entry = next(name for name in NAMES if name != concurrent.home())
        await concurrent.request(entry, 0.1)
        concurrent.isolate(entry)
        await trio.sleep(SLICE_TTL_S + 2.0)
        async with trio.open_nursery() as nursery:
            for _ in range(LIMIT):
                nursery.start_soon(concurrent.request, entry, 1.0)
        assert concurrent.most_open == LIMIT // 5


class TestRate:
    async def test_rate_holds_across_all_entries(self, rated, autojump_clock):
        async with trio.open_nursery() as nursery:
            for number in range(600):
                nursery.start_soon(rated.request, NAMES[number % 5], 0.1, 200)
                await trio.sleep(0.1)
        assert 0.9 * (60 * RATE + BURST) <= rated.admitted_tokens <= 60 * RATE + BURST + 200

    async def test_retry_after_the_given_delay_is_admitted(self, rated, autojump_clock):
        service = rated.services[NAMES[0]]
        async with service.admit(RATED, BURST):
            pass
        with pytest.raises(Refusal) as caught:
            await service.admit(RATED, 1_000).__aenter__()
        figures = caught.value.figures
        assert figures.limit == RATE
        assert figures.measured > RATE
        await trio.sleep(figures.retry_after_s + 0.01)
        async with service.admit(RATED, 1_000):
            pass

    async def test_unused_output_tokens_are_returned(self, rated, autojump_clock):
        """Reserved output tokens that a request does not generate are not charged."""
        await rated.request(NAMES[0], 0.0, BURST, actual_tokens=100)
        await rated.request(NAMES[0], 0.0, BURST - 200)
        assert rated.refused == 0

    async def test_returned_tokens_are_available_to_other_entries(self, nursery, autojump_clock):
        """Granted tokens that stay unused at an entry expire there and are returned to the home."""
        limits = await LimitFleet(nursery, RATED._replace(rate_tokens_per_s=50.0)).start()
        await limits.request(NAMES[0], 0.0, BURST, actual_tokens=0)
        await trio.sleep(12.0)
        await limits.request(NAMES[1], 0.0, BURST)
        assert limits.refused == 0

    async def test_request_larger_than_the_burst_is_admitted_once(self, rated, autojump_clock):
        """A request of ten bursts is admitted with a full bucket, which then has to recover."""
        await rated.request(NAMES[0], 0.0, 10 * BURST)
        await rated.request(NAMES[1], 0.0, 10)
        assert (rated.admitted_tokens, rated.refused) == (10 * BURST, 1)
        await trio.sleep(5 * BURST / RATE)
        await rated.request(NAMES[1], 0.0, 10)
        assert rated.refused == 2
        await trio.sleep(5 * BURST / RATE + 1)
        await rated.request(NAMES[1], 0.0, 10)
        assert rated.refused == 2

    def test_bucket_never_exceeds_a_central_reference(self):
        random = Random(3)
        bucket, now_s, taken = TokenBucket(RATE, BURST, 0.0), 0.0, 0
        for _ in range(2_000):
            now_s += random.expovariate(5.0)
            tokens = random.randint(1, BURST)
            if bucket.take(tokens, now_s) == 0:
                taken += tokens
            assert taken <= now_s * RATE + BURST + 1e-6


class TestOvershoot:
    @pytest.mark.parametrize("seed", range(4))
    async def test_random_faults(self, nursery, autojump_clock, seed):
        """Overshoot is bounded while a customer requests three times its limit during faults.

        Homes change and links are cut. A new home does not know the grants of the old one, and
        partitioned entries use their shares. The excess is at most one limit plus these shares, and
        lasts no longer than slices and requests do.
        """
        limits = await LimitFleet(nursery, CONCURRENT).start()
        random = Random(seed)
        settled_s = trio.current_time() + 120.0
        for name in NAMES:
            nursery.start_soon(_send_requests_forever, limits, name, Random(seed))
        while trio.current_time() < settled_s:
            await _inject_fault(limits, random)
            assert limits.most_open <= 2 * LIMIT + (2 * LIMIT // 5 if limits.fleet.cuts else 0)
            limits.most_open = 0
            await trio.sleep(SLICE_TTL_S + MAX_DURATION_S + 3.0)
            limits.most_open = 0
            await trio.sleep(5.0)
            if not limits.fleet.cuts:
                assert limits.most_open <= LIMIT
        assert limits.refused > 0

    async def test_tokens_while_homes_change(self, rated, autojump_clock):
        """Each new home starts with a full bucket, so a change admits at most one extra burst."""
        started_s, changes = trio.current_time(), 0
        random = Random(2)
        for number in range(2_000):
            if number % 400 == 399:
                rated.remove(rated.home())
                changes += 1
            await rated.request(random.choice(NAMES), 0.0, random.randint(1, 400))
            await trio.sleep(0.02)
        elapsed_s = trio.current_time() - started_s
        bound = elapsed_s * RATE + (1 + changes) * BURST + 400
        assert 0.8 * elapsed_s * RATE < rated.admitted_tokens <= bound

    async def test_tokens_while_partitioned(self, rated, autojump_clock):
        """Two of five entries without the home use their shares in addition to the full rate."""
        started_s = trio.current_time()
        rated.isolate(*[name for name in NAMES if name != rated.home()][:2])
        random = Random(4)
        for _ in range(2_000):
            await rated.request(random.choice(NAMES), 0.0, random.randint(1, 400))
            await trio.sleep(0.02)
        elapsed_s = trio.current_time() - started_s
        bound = 1.4 * (elapsed_s * RATE + BURST) + 3 * 400
        assert elapsed_s * RATE < rated.admitted_tokens <= bound


MAX_DURATION_S = 4.0


async def _send_requests_forever(limits, name, random):
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(limits.request, name, random.uniform(0.5, MAX_DURATION_S))
            await trio.sleep(random.expovariate(4.0))


async def _inject_fault(limits, random):
    home = limits.home()
    kind = random.choice(["leaves", "lags", "cut", "heals"])
    if kind == "leaves":
        limits.remove(home)
    elif kind == "lags":
        for name in NAMES:
            limits.remove(home, name)
            await trio.sleep(random.uniform(0.0, 1.0))
    elif kind == "cut":
        limits.isolate(*random.sample(NAMES, 2))
    else:
        limits.fleet.cuts = set()
