"""Routing policies: the selection and order of the sidecars that an entry tries."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.rendezvous import rendezvous_score
from sassafrastally.serving.routing import ROUTING_POLICIES

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sassafrastally.serving.routing import Candidate, RouteRequest

MAX_ASKED = 8
"""Maximum number of candidates per attempt."""

MAX_QUEUE_WAIT_S = 0.005
MAX_QUEUE_WAIT_SHARE = 0.05
"""Maximum delay of the first token by other work on the replica: a fixed part, and a share of the
prefill. The replica knows its current queue, while reports are seconds old. Beyond the limit it
refuses and the entry tries the next candidate, which costs a round trip."""

AFFINITY_HASH_INDEX = 3
"""Index of the prefix hash used for affinity; it covers about the first 2,000 tokens."""

NEAR_BEST_S = 0.02
NEAR_BEST_SHARE = 0.25
"""Maximum delay of the expected first token relative to the best candidate for a candidate to count
as equally good: a fixed part, and a share of the prefill on an idle engine."""

AFFINITY_SHARE = 0.5
"""Maximum delay of a replica that has the prefix, as a share of the prefill time that its cache
saves."""

REMOTE_PENALTY_S = 0.004
"""Penalty for a candidate in another data centre, about one round trip."""

RANDOM_CHOICES = 2

PRIOR_RATE_TOKENS_PER_S = 8_000.0
"""Assumed prefill rate of a replica that has not reported one."""

SHORT_ONLY_SHARE = 0.15
"""Share of the replicas that are reserved for short prompts, the same ones in all entries. If all
replicas ran long prefills, a short prompt would wait at least for the current chunk."""

LONG_PROMPT_TOKENS = 4_001
"""Minimum length of prompts that avoid the replicas reserved for short prompts."""

SHORT_ONLY_PENALTY_SHARE = 0.5
"""Additional delay on the other replicas, as a share of the prefill, beyond which a long prompt
uses a replica reserved for short prompts, so that all replicas are used under overload."""

MEAN_CHUNK_WAIT_TOKENS = 1_024
"""Half of the usual chunk size of a chunked prefill: the mean wait, in tokens, of even the most
urgent work while another prefill runs."""

FEATURES = ("affinity", "in-flight", "choices", "near", "ageing", "occupied", "bound", "sparing")
"""Features of `PrefixAffinity` that can be disabled by name."""


@ROUTING_POLICIES.register("round-robin")
class RoundRobin:
    """Rotates through the candidates regardless of their load."""

    def __init__(self, random: Random) -> None:
        self._next = random.randrange(1 << 16)

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates, starting with the next one in the rotation."""
        if not candidates:
            return []
        ring = sorted(candidates, key=lambda candidate: candidate.vm)
        start = self._next % len(ring)
        self._next += 1
        return (ring[start:] + ring[:start])[:MAX_ASKED]


@ROUTING_POLICIES.register("least-loaded")
class LeastLoaded:
    """Prefers the candidates with the fewest queued tokens in their last report."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates by increasing load, ties in random order."""
        shuffled = self._random.sample(list(candidates), len(candidates))
        return sorted(shuffled, key=lambda candidate: (candidate.queued_tokens, candidate.running))[
            :MAX_ASKED
        ]


class _Rated(NamedTuple):
    candidate: Candidate
    idle_prefill_s: float
    """Prefill time on an idle engine."""
    first_token_s: float
    """Expected first token, including queue, in-flight work of this entry and network distance."""


def _order(replica: _Rated) -> tuple[float, int]:
    # Calls of plain services have no tokens; the number of calls in progress decides.
    return replica.first_token_s, replica.candidate.running + replica.candidate.in_flight


class PrefixAffinity:
    """Prefers the replica that likely caches the prefix, unless others are much better.

    Among candidates that are about equally good, two are drawn at random and the better one comes
    first (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

    Parameters
    ----------
    random
        Source of the random draws.
    without
        Names out of `FEATURES` that are disabled.
    """

    def __init__(self, random: Random, without: Sequence[str] = ()) -> None:
        self._random = random
        self._without = frozenset(without)

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates to try, best first."""
        if not candidates:
            return []
        rated = sorted(self._rate(request, candidates), key=_order)
        short_only = self._short_only(request, rated)
        if request.prompt_tokens >= LONG_PROMPT_TOKENS:
            rated, short_only = _usable_for_long(rated, short_only), []
        best = rated[0]
        bound_s = best.first_token_s + NEAR_BEST_S + NEAR_BEST_SHARE * best.idle_prefill_s
        near = [replica for replica in rated if replica.first_token_s <= bound_s]
        order = self._draw(near)
        affine = self._affinity_replica(request, rated)
        if (
            affine
            and affine.first_token_s <= best.first_token_s + AFFINITY_SHARE * affine.idle_prefill_s
        ):
            order.insert(0, affine)
        # The load of the drawn replicas may have changed since their reports; the reserved replicas
        # run no long prompts.
        order += short_only
        order += rated
        selected = list({item.candidate.vm: item.candidate for item in order}.values())[:MAX_ASKED]
        if "bound" in self._without:
            return selected
        max_wait_s = MAX_QUEUE_WAIT_S + MAX_QUEUE_WAIT_SHARE * best.idle_prefill_s
        return [candidate._replace(max_wait_s=max_wait_s) for candidate in selected]

    def _rate(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[_Rated]:
        # The reported first token is for a typical prompt of the lane, not for this one. Its excess
        # over the best candidate's is the estimated wait.
        floor_s = min(candidate.first_token_s for candidate in candidates)
        return [self._rate_one(request, candidate, floor_s) for candidate in candidates]

    def _rate_one(self, request: RouteRequest, candidate: Candidate, floor_s: float) -> _Rated:
        rate = candidate.prefill_tokens_per_s or PRIOR_RATE_TOKENS_PER_S
        idle_prefill_s = request.prompt_tokens / rate
        wait_s = candidate.first_token_s - floor_s
        if "ageing" not in self._without:
            wait_s = max(0.0, wait_s - candidate.report_age_s)
        if "in-flight" not in self._without:
            # Reports lag. Without this term, all entries would send their requests to a replica
            # that just reported an idle engine, until its next report.
            wait_s += candidate.in_flight_tokens / rate
        if "occupied" not in self._without:
            wait_s += _chunk_wait_s(candidate, rate)
        remote_s = 0.0 if candidate.is_near or "near" in self._without else REMOTE_PENALTY_S
        return _Rated(candidate, idle_prefill_s, idle_prefill_s + wait_s + remote_s)

    def _short_only(self, request: RouteRequest, rated: list[_Rated]) -> list[_Rated]:
        """Return the replicas reserved for short prompts, in the given order."""
        if "sparing" in self._without:
            return []
        scores = {
            replica.candidate.vm: rendezvous_score(request.target, replica.candidate.vm)
            for replica in rated
        }
        count = int(SHORT_ONLY_SHARE * len(rated))
        vms = set(sorted(scores, key=lambda vm: scores[vm], reverse=True)[:count])
        return [replica for replica in rated if replica.candidate.vm in vms]

    def _draw(self, near: list[_Rated]) -> list[_Rated]:
        if "choices" in self._without:
            return near
        drawn = self._random.sample(near, min(RANDOM_CHOICES, len(near)))
        return sorted(drawn, key=_order)

    def _affinity_replica(self, request: RouteRequest, rated: list[_Rated]) -> _Rated | None:
        if "affinity" in self._without or not request.prefix_hashes:
            return None
        key = request.prefix_hashes[min(AFFINITY_HASH_INDEX, len(request.prefix_hashes) - 1)]
        return max(rated, key=lambda replica: rendezvous_score(f"{key:x}", replica.candidate.vm))


def _chunk_wait_s(candidate: Candidate, rate: float) -> float:
    """Return the estimated wait for the current prefill chunk.

    A report with an empty queue may hide a long prefill in progress. The memory in use reveals it:
    the tokens in memory are already computed or being computed, so the engine may still be busy for
    up to the time that their prefill takes.
    """
    held_tokens = (candidate.total_blocks - candidate.free_blocks) * candidate.block_tokens
    busy_s = max(0.0, held_tokens / rate - candidate.report_age_s)
    return min(busy_s, MEAN_CHUNK_WAIT_TOKENS / rate)


ROUTING_POLICIES.register("prefix-affinity")(PrefixAffinity)


def _usable_for_long(rated: list[_Rated], short_only: list[_Rated]) -> list[_Rated]:
    """Return the replicas for a long prompt; all of them if the wait for the others is too long."""
    others = [replica for replica in rated if replica not in short_only]
    gain_s = others[0].first_token_s - rated[0].first_token_s
    return others if gain_s <= SHORT_ONLY_PENALTY_SHARE * rated[0].idle_prefill_s else rated


for _feature in FEATURES:
    ROUTING_POLICIES.register(f"prefix-affinity-without-{_feature}")(
        partial(PrefixAffinity, without=(_feature,))
    )
