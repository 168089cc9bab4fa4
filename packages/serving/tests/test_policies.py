"""Tests of the routing policies."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from sassafrastally.serving.policies import (
    MAX_ASKED,
    LeastLoaded,
    PrefixAffinity,
    RoundRobin,
)
from sassafrastally.serving.routing import ROUTING_POLICIES, Candidate, RouteRequest

RATE = 10_000.0


def make_request(
    prompt_tokens: int = 2_000, hashes: tuple[int, ...] = (), number: int = 0
) -> RouteRequest:
    return RouteRequest(str(number), "c", "model", prompt_tokens, 20, hashes, 60.0)


def make_candidate(vm: str, first_token_s: float = 0.4, **fields: object) -> Candidate:
    plain = Candidate(
        vm=vm,
        data_centre="dc",
        is_near=True,
        queued_tokens=0,
        running=0,
        free_blocks=1_000,
        total_blocks=1_000,
        block_tokens=100,
        prefill_tokens_per_s=RATE,
        first_token_s=first_token_s,
        report_age_s=0.0,
        in_flight=0,
        in_flight_tokens=0,
    )
    return plain._replace(**fields)  # type: ignore[arg-type]


def fleet(count: int = 12) -> list[Candidate]:
    return [make_candidate(f"vm{place}") for place in range(count)]


class TestRegistry:
    @pytest.mark.parametrize("name", ["round-robin", "least-loaded", "prefix-affinity"])
    def test_each_returns_a_few_distinct_candidates(self, name: str) -> None:
        policy = ROUTING_POLICIES.get(name)(Random(1))
        chosen = policy.choose(make_request(), fleet())
        assert len({one.vm for one in chosen}) == len(chosen) == MAX_ASKED
        assert policy.choose(make_request(), []) == []


class TestRoundRobin:
    def test_rotates_through_the_candidates(self) -> None:
        policy = RoundRobin(Random(1))
        firsts = [policy.choose(make_request(), fleet(5))[0].vm for _ in range(10)]
        assert firsts[:5] == firsts[5:]
        assert len(set(firsts)) == 5


class TestLeastLoaded:
    @pytest.mark.parametrize("seed", range(5))
    def test_agrees_with_brute_force(self, seed: int) -> None:
        random = Random(seed)
        candidates = [one._replace(queued_tokens=random.randrange(9)) for one in fleet()]
        chosen = LeastLoaded(random).choose(make_request(), candidates)
        least = sorted(one.queued_tokens for one in candidates)[:MAX_ASKED]
        assert [one.queued_tokens for one in chosen] == least


class TestPrefixAffinity:
    @pytest.mark.parametrize("seed", range(20))
    def test_first_is_as_good_as_brute_force_says(self, seed: int) -> None:
        random = Random(seed)
        candidates = [
            one._replace(
                first_token_s=0.4 + random.choice((0.0, 0.01, 0.5, 3.0)),
                is_near=random.random() < 0.4,
                in_flight_tokens=random.choice((0, 0, 8_000)),
            )
            for one in fleet()
        ]
        floor_s = min(one.first_token_s for one in candidates)
        waits = {
            one.vm: one.first_token_s - floor_s + one.in_flight_tokens / RATE for one in candidates
        }
        chosen = PrefixAffinity(random).choose(make_request(), candidates)
        assert waits[chosen[0].vm] <= min(waits.values()) + 0.08

    def test_same_prefix_goes_to_the_same_replica(self) -> None:
        homes = {
            PrefixAffinity(Random(seed)).choose(make_request(hashes=(1, 2, 3, 4)), fleet())[0].vm
            for seed in range(20)
        }
        assert len(homes) == 1

    def test_affinity_is_ignored_when_the_replica_is_loaded(self) -> None:
        request = make_request(hashes=(1, 2, 3, 4))
        home = PrefixAffinity(Random(1)).choose(request, fleet())[0].vm
        loaded = [one._replace(first_token_s=2.0) if one.vm == home else one for one in fleet()]
        assert PrefixAffinity(Random(1)).choose(request, loaded)[0].vm != home

    def test_prefers_near_replicas_unless_far_ones_are_better(self) -> None:
        candidates = [make_candidate("far", is_near=False), make_candidate("near")]
        assert PrefixAffinity(Random(1)).choose(make_request(), candidates)[0].vm == "near"
        candidates[1] = candidates[1]._replace(first_token_s=1.4)
        assert PrefixAffinity(Random(1)).choose(make_request(), candidates)[0].vm == "far"

    def test_memory_in_use_reveals_a_running_prefill(self) -> None:
        candidates = [one._replace(free_blocks=200) for one in fleet(4)]
        candidates.append(make_candidate("idle"))
        firsts = {
            PrefixAffinity(Random(seed)).choose(make_request(500), candidates)[0].vm
            for seed in range(10)
        }
        assert firsts == {"idle"}

    def test_plain_calls_go_to_the_replica_with_fewer_calls(self) -> None:
        candidates = [
            one._replace(running=place, first_token_s=0.0) for place, one in enumerate(fleet(2))
        ]
        firsts = [
            PrefixAffinity(Random(seed)).choose(make_request(0), candidates)[0].vm
            for seed in range(10)
        ]
        assert set(firsts) == {"vm0"}

    def test_maximum_wait_is_set_for_each_candidate(self) -> None:
        chosen = PrefixAffinity(Random(1)).choose(make_request(), fleet())
        assert all(0 < one.max_wait_s < 0.1 for one in chosen)
        chosen = PrefixAffinity(Random(1), ("bound",)).choose(make_request(), fleet())
        assert all(one.max_wait_s == 0 for one in chosen)

    def test_long_prompts_avoid_the_replicas_for_short_ones(self) -> None:
        taken = {length: set[str]() for length in (2_000, 50_000)}
        for length, vms in taken.items():
            for seed in range(60):
                chosen = PrefixAffinity(Random(seed)).choose(make_request(length), fleet(20))
                vms.update(one.vm for one in chosen)
        assert len(taken[2_000]) == 20
        assert len(taken[50_000]) == 17

    def test_long_prompts_use_reserved_replicas_when_others_are_loaded(self) -> None:
        policy = PrefixAffinity(Random(1))
        free = {one.vm for one in policy.choose(make_request(50_000), fleet(8))}
        loaded = [one._replace(first_token_s=4.0) if one.vm in free else one for one in fleet(8)]
        assert policy.choose(make_request(50_000), loaded)[0].vm not in free

    def test_entries_do_not_herd_on_a_replica_that_just_reported_idle(self) -> None:
        """Entries must not send all requests to the one replica that reports an empty queue.

        Until its next report, the replica appears to be the best one to all entries. Without
        in-flight accounting each entry sends it all of its requests, so every second a different
        replica is overloaded while the others are idle.
        """
        assert self._max_requests_on_one_replica(without=()) <= 12
        assert self._max_requests_on_one_replica(without=("in-flight",)) >= 60

    def _max_requests_on_one_replica(self, without: tuple[str, ...]) -> int:
        """Return the highest load of ten replicas after sixty requests from three entries."""
        totals: Counter[str] = Counter()
        for entry in range(3):
            policy = PrefixAffinity(Random(entry), without)
            sent: Counter[str] = Counter()
            for number in range(20):
                candidates = [
                    make_candidate(
                        f"vm{place}",
                        0.4 if place == 0 else 1.0,
                        in_flight=sent[f"vm{place}"],
                        in_flight_tokens=2_000 * sent[f"vm{place}"],
                    )
                    for place in range(10)
                ]
                vm = policy.choose(make_request(number=number), candidates)[0].vm
                sent[vm] += 1
            totals += sent
        return max(totals.values())
