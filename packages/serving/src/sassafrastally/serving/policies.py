"""Routing policies: which sidecars an entry asks, and in which order."""

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
"""Most candidates asked for one attempt."""

MAX_QUEUE_WAIT_S = 0.005
MAX_QUEUE_WAIT_SHARE = 0.05
"""Wait behind other work that a replica may add to the first token: fixed part, and share of the
prefill. The replica knows its wait, where a report is seconds old; beyond the bound it refuses and
the next one is asked, which costs a round trip."""

AFFINITY_HASH_INDEX = 3
"""Place of the hash by which prompts are told apart: about the first two thousand tokens."""

NEAR_BEST_S = 0.02
NEAR_BEST_SHARE = 0.25
"""Candidates count as equally good while their expected first token is at most this much later
than that of the best: fixed part, and share of the prefill on an idle engine."""

AFFINITY_SHARE = 0.5
"""A replica with the prefix may be later by this share of the prefill, which the cache saves."""

REMOTE_PENALTY_S = 0.004
"""What a candidate in another data centre is charged, about a round trip there and back."""

RANDOM_CHOICES = 2

PRIOR_RATE_TOKENS_PER_S = 8_000.0
"""Prefill rate assumed of a replica that hasn't reported one."""

SHORT_ONLY_SHARE = 0.15
"""Share of the replicas that long prompts leave to short ones, the same in all entries: with every
replica in a long prefill a short prompt waits at least for the piece under way."""

LONG_PROMPT_TOKENS = 4_001
"""Prompts from this on keep off the spared replicas."""

SHORT_ONLY_PENALTY_SHARE = 0.5
"""Share of its prefill that a long prompt waits elsewhere before it takes a spared replica; so
under overload all replicas are used."""

MEAN_CHUNK_WAIT_TOKENS = 1_024
"""Half of the customary piece in which engines compute prefills: what even urgent work waits on
average while another prefill is under way."""

FEATURES = ("affinity", "in-flight", "choices", "near", "ageing", "occupied", "bound", "sparing")
"""Parts of `PrefixAffinity` that can be left out by name."""


@ROUTING_POLICIES.register("round-robin")
class RoundRobin:
    """Asks one candidate after the other in turn, whatever their load."""

    def __init__(self, random: Random) -> None:
        self._next = random.randrange(1 << 16)

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates beginning with the one whose turn it is."""
        if not candidates:
            return []
        ring = sorted(candidates, key=lambda candidate: candidate.vm)
        start = self._next % len(ring)
        self._next += 1
        return (ring[start:] + ring[:start])[:MAX_ASKED]


@ROUTING_POLICIES.register("least-loaded")
class LeastLoaded:
    """Asks those with the fewest queued tokens by their last report."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates with the least load first, equals in random order."""
        shuffled = self._random.sample(list(candidates), len(candidates))
        return sorted(shuffled, key=lambda candidate: (candidate.queued_tokens, candidate.running))[
            :MAX_ASKED
        ]


class _Rated(NamedTuple):
    candidate: Candidate
    idle_prefill_s: float
    """Prefill on an idle engine."""
    first_token_s: float
    """Expected, with the queue, the entry's own work in flight and the distance."""


def _order(replica: _Rated) -> tuple[float, int]:
    # Calls of plain services have no tokens; they go by the calls under way.
    return replica.first_token_s, replica.candidate.running + replica.candidate.in_flight


class PrefixAffinity:
    """Prefers the replica that likely holds the prefix, unless others are better by much.

    Among candidates that are about equally good, two are drawn at random and the better one goes
    first (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

    Parameters
    ----------
    random
        Source of the draws.
    without
        Names out of `FEATURES` that are left out.
    """

    def __init__(self, random: Random, without: Sequence[str] = ()) -> None:
        self._random = random
        self._without = frozenset(without)

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates to ask, best first."""
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
        # What the draw meets may have changed since its report; no long prompt is on these.
        order += short_only
        order += rated
        asked = list({replica.candidate.vm: replica.candidate for replica in order}.values())[
            :MAX_ASKED
        ]
        if "bound" in self._without:
            return asked
        max_wait_s = MAX_QUEUE_WAIT_S + MAX_QUEUE_WAIT_SHARE * best.idle_prefill_s
        return [candidate._replace(max_wait_s=max_wait_s) for candidate in asked]

    def _rate(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[_Rated]:
        # The report's figure is for a typical prompt of the lane, not for this one; what it is
        # over that of the best candidate is the wait.
        floor_s = min(candidate.first_token_s for candidate in candidates)
        return [self._rate_one(request, candidate, floor_s) for candidate in candidates]

    def _rate_one(self, request: RouteRequest, candidate: Candidate, floor_s: float) -> _Rated:
        rate = candidate.prefill_tokens_per_s or PRIOR_RATE_TOKENS_PER_S
        idle_prefill_s = request.prompt_tokens / rate
        wait_s = candidate.first_token_s - floor_s
        if "ageing" not in self._without:
            wait_s = max(0.0, wait_s - candidate.report_age_s)
        if "in-flight" not in self._without:
            # A report lags: without this an entry that just read "idle" would send there until
            # the next report, and all entries would do so at once.
            wait_s += candidate.in_flight_tokens / rate
        if "occupied" not in self._without:
            wait_s += _chunk_wait_s(candidate, rate)
        remote_s = 0.0 if candidate.is_near or "near" in self._without else REMOTE_PENALTY_S
        return _Rated(candidate, idle_prefill_s, idle_prefill_s + wait_s + remote_s)

    def _short_only(self, request: RouteRequest, rated: list[_Rated]) -> list[_Rated]:
        """Return the replicas that are left to short prompts, in the order given."""
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
    """Return the wait for the piece of prefill that is under way.

    A report that says "no queue" may hide a long prefill. The memory in use shows it: the tokens
    held were or are being computed, and may still be for as long as that takes.
    """
    held_tokens = (candidate.total_blocks - candidate.free_blocks) * candidate.block_tokens
    busy_s = max(0.0, held_tokens / rate - candidate.report_age_s)
    return min(busy_s, MEAN_CHUNK_WAIT_TOKENS / rate)


ROUTING_POLICIES.register("prefix-affinity")(PrefixAffinity)


def _usable_for_long(rated: list[_Rated], short_only: list[_Rated]) -> list[_Rated]:
    """Return what is open to a long prompt: all replicas if it waits too long for the others."""
    others = [replica for replica in rated if replica not in short_only]
    gain_s = others[0].first_token_s - rated[0].first_token_s
    return others if gain_s <= SHORT_ONLY_PENALTY_SHARE * rated[0].idle_prefill_s else rated


for _feature in FEATURES:
    ROUTING_POLICIES.register(f"prefix-affinity-without-{_feature}")(
        partial(PrefixAffinity, without=(_feature,))
    )
