"""Replays of a load: several entries' decisions before engines that work in passes.

The decisions are the product's own; engines are `SimulatedEngine`s on trio's clock. Between them
stands no network and no HTTP, so that half a minute of some hundred requests a second is replayed
in seconds and a change of a decision can be compared on the same arrivals.
"""

from __future__ import annotations

import random
from contextlib import aclosing
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.admission import Goals, backlog_bound, overload_reason
from sassafrastally.proxy.admission_queue import (
    AdmissionQueue,
    StartTimes,
    WaitingFacts,
    WaitingRequest,
    can_yield,
    is_queueing_useful,
    latest_start_s,
    least_alone_s,
    request_work_ms,
    response_s,
    yields_until_s,
)
from sassafrastally.proxy.caller_timeout import caller_timeout_s
from sassafrastally.proxy.data_centre_pools import place_locally_first
from sassafrastally.proxy.first_event_timeout import SILENCE_TIMEOUT_SHARE, expected_first_event_s
from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView, choose_lane
from sassafrastally.proxy.load import InFlightAttempt, Lane, Ledger, Work, merge_work, server_hash
from sassafrastally.proxy.model import BackendServer
from sassafrastally.proxy.placement import place_request
from sassafrastally.proxy.prefill_limits import prefill_limits_for
from sassafrastally.proxy.rate_limits import SentRequests, own_share_per_s
from sassafrastally.proxy.turning_away import retry_delay_s, would_miss_deadline
from sassafrastally.stand_ins.simulated_engine import EngineFull, SimulatedEngine
from sassafrastally.testing.load_arrivals import MOST_ATTEMPTS, Arrival, Deployment, make_route
from sassafrastally.testing.load_outcomes import Outcome, share_of_value

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.proxy.plan import Placement

__all__ = ["DATAGRAM_LATENCY_S", "LoadReplay", "Outcome", "share_of_value"]

DATAGRAM_LATENCY_S = 0.02
"""Time that a datagram takes from entry to entry."""


class _Entry:
    """What one entry knows and has under way."""

    def __init__(self, seed: int, data_centre: str) -> None:
        self.data_centre = data_centre
        self.ledger = Ledger()
        self.queue = AdmissionQueue(random.Random(seed + 1))
        self.random = random.Random(seed)
        self.told: Mapping[int, Work] = {}
        """Its work as the others know it."""
        self.sent: dict[str, SentRequests] = {}
        """Requests that it sent to engines with a limit."""


class LoadReplay:
    """Replays arrivals; `run` must be awaited under a mock clock.

    Parameters
    ----------
    deployment
        Engines and entries.
    seed
        Draws what entries draw.
    limits_per_s
        Requests a second that some engines take, by the number of the engine.
    spares_limited
        Whether limited engines read parts of others' prompts only in need.
    queues
        Whether requests wait for room where the product lets them.
    yields
        Whether long prompts wait rather than overtaking others where the product lets them.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int = 1,
        limits_per_s: Mapping[int, float] | None = None,
        *,
        spares_limited: bool = True,
        queues: bool = True,
        yields: bool = True,
    ) -> None:
        self._deployment = deployment
        self._most_per_s = {f"e{number}": most for number, most in (limits_per_s or {}).items()}
        self._spares_limited = spares_limited
        self.sent_s: dict[str, list[float]] = {
            incarnation_id: [] for incarnation_id in self._most_per_s
        }
        """When requests were sent to each engine with a limit."""
        self.profile = deployment.profile
        self._draw = random.Random(seed)
        self._entries = [
            _Entry(seed * 1000 + number, str(number % deployment.data_centres))
            for number in range(deployment.entries)
        ]
        for entry in self._entries:
            entry.ledger.others = partial(self._told_to, entry)
        self._engines = [SimulatedEngine(deployment.profile) for _ in range(deployment.engines)]
        self._servers = sorted(
            (
                BackendServer(
                    f"e{number}",
                    "engines",
                    Address("h", number),
                    str(number % deployment.data_centres),
                    6,
                    is_draining=False,
                )
                for number in range(deployment.engines)
            ),
            key=lambda server: server_hash(server.incarnation_id),
        )
        self._routes = {kind.name: make_route(kind) for kind in deployment.kinds}
        self._limits = prefill_limits_for(self._routes.values(), deployment.profile)
        self.queues = queues and is_queueing_useful(self._routes.values())
        """Whether requests may wait for room."""
        self._yields = yields and (self.queues or deployment.data_centres > 1)
        self.outcomes: list[Outcome] = []

    async def run(self, arrivals: Sequence[Arrival]) -> list[Outcome]:
        """Let all requests come and return how they ended."""
        self._begin_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for engine in self._engines:
                nursery.start_soon(engine.work)
            for entry in self._entries:
                nursery.start_soon(self._tell, entry)
                nursery.start_soon(entry.queue.run)
            async with trio.open_nursery() as callers:
                for arrival in arrivals:
                    callers.start_soon(self._call, arrival)
            nursery.cancel_scope.cancel()
        return self.outcomes

    def _told_to(self, entry: _Entry) -> list[Mapping[int, Work]]:
        return [other.told for other in self._entries if other is not entry]

    async def _tell(self, entry: _Entry) -> None:
        gap_s = self._deployment.news_gap_s
        await trio.sleep(gap_s * entry.random.random())
        while True:
            seen = entry.ledger.urgent_count
            work = entry.ledger.work(trio.current_time())
            told = {server_hash(incarnation_id): of_one for incarnation_id, of_one in work.items()}
            await trio.sleep(DATAGRAM_LATENCY_S)
            entry.told = told
            with trio.move_on_after(gap_s - DATAGRAM_LATENCY_S):
                await entry.ledger.urgent_since(seen)

    async def _call(self, arrival: Arrival) -> None:
        """Ask once, and once more when turned away."""
        await trio.sleep_until(self._begin_s + arrival.at_s)
        outcome = Outcome(arrival, None, None, 0.0, False, 0)
        end_s = trio.current_time() + arrival.kind.patience_s
        with trio.move_on_at(end_s):
            for _ in range(2):
                entry = self._draw.choice(self._entries_for(arrival))
                asked = _Asked(self, entry, arrival, end_s)
                waited_s = outcome.waited_s
                outcome = (await asked.run())._replace(refusals=outcome.refusals)
                outcome = outcome._replace(waited_s=outcome.waited_s + waited_s)
                if asked.retry_delay_s is None:
                    break
                outcome = outcome._replace(refusals=outcome.refusals + 1)
                await trio.sleep(min(asked.retry_delay_s, arrival.kind.patience_s / 3))
        self.outcomes.append(outcome)

    def _entries_for(self, arrival: Arrival) -> list[_Entry]:
        """Return the entries that a caller may reach."""
        chosen = [one for one in self._entries if one.data_centre == arrival.data_centre]
        return chosen or self._entries

    def place(self, entry: _Entry, arrival: Arrival, tried: set[str]) -> Placement | None:
        """Return where an entry sends a request."""
        views, lane, goal_s = self.views(entry, tried), self.lane(arrival), arrival.kind.goal_s
        is_divided = self._deployment.data_centres > 1
        update_age_s = self._deployment.news_gap_s + DATAGRAM_LATENCY_S
        return place_locally_first(
            lambda among: place_request(
                among,
                lane,
                arrival.prompt,
                goal_s,
                self.profile,
                self._limits,
                PlacementRandomizer(entry.random, update_age_s),
                by_centre=is_divided,
            ),
            [view for view in views if is_divided and view.server.data_centre == entry.data_centre],
            lambda: views,
            goal_s,
        )

    def views(self, entry: _Entry, tried: set[str]) -> list[ServerView]:
        """Return the engines as an entry sees them."""
        work = merge_work(entry.ledger.work(trio.current_time()), self._told_to(entry))
        return [
            ServerView(
                server,
                work.at(server.incarnation_id),
                is_limited=self._spares_limited and server.incarnation_id in self._most_per_s,
            )
            for server in self._servers
            if server.incarnation_id not in tried and self._has_room(entry, server.incarnation_id)
        ]

    def may_yield(self, arrival: Arrival) -> bool:
        """Return whether a request waits rather than overtaking others in prefill."""
        return self._yields and can_yield(self.lane(arrival), self.goals(arrival))

    def must_yield(
        self, arrival: Arrival, placement: Placement, asked_s: float, facts: WaitingFacts
    ) -> bool:
        """Return whether a request would overtake others in prefill and can wait."""
        due_s = asked_s + arrival.kind.goal_s
        times = StartTimes(trio.current_time(), due_s, facts.latest_start_s)
        return self.may_yield(arrival) and yields_until_s(placement, times) is not None

    def note_sent(self, entry: _Entry, placement: Placement) -> None:
        """Count what an entry sends to engines with a limit."""
        servers = [placement.server, *placement.helpers]
        now_s = trio.current_time()
        for incarnation_id in (server.incarnation_id for server in servers):
            if incarnation_id in self._most_per_s:
                entry.sent.setdefault(incarnation_id, SentRequests()).record(now_s)
                self.sent_s[incarnation_id].append(now_s - self._begin_s)

    def _has_room(self, entry: _Entry, incarnation_id: str) -> bool:
        if incarnation_id not in self._most_per_s:
            return True
        names = {one: f"entry-{number}" for number, one in enumerate(self._entries)}
        own = names.pop(entry)
        share_per_s = own_share_per_s(
            incarnation_id, self._most_per_s[incarnation_id], own, list(names.values())
        )
        sent = entry.sent.setdefault(incarnation_id, SentRequests())
        return sent.wait_s(share_per_s, trio.current_time()) <= 0

    def goals(self, arrival: Arrival) -> Goals:
        """Return the goals that decide whether a request may begin."""
        return Goals(arrival.kind.goal_s, self._limits.longest_goal_s)

    def lane(self, arrival: Arrival) -> Lane:
        """Return the lane of a request."""
        route = self._routes[arrival.kind.name]
        return choose_lane(route, arrival.prompt, self.profile, self._limits)

    def engine(self, incarnation_id: str) -> SimulatedEngine:
        """Return an engine by its server's incarnation."""
        return self._engines[int(incarnation_id[1:])]


class _Asked:
    """One time that a caller asks an entry."""

    def __init__(self, replay: LoadReplay, entry: _Entry, arrival: Arrival, end_s: float) -> None:
        self.retry_delay_s: float | None = None
        """When the caller is to come back, if it was turned away."""
        self._replay = replay
        self._entry = entry
        self._arrival = arrival
        self._end_s = end_s
        self._first_s: float | None = None
        self._previous_s = 0.0
        self._longest_pause_s = 0.0
        self._asked_s = trio.current_time()
        self._waited_s = 0.0
        self._yields = False
        """Whether it waits only because it would overtake others in prefill."""

    async def run(self) -> Outcome:
        """Return how it ended."""
        tried: set[str] = set()
        predicted_s = None
        for attempt in range(MOST_ATTEMPTS):
            placement = await self._start(tried, is_new=attempt == 0)
            if placement is None:
                if attempt == 0:
                    left_s = self._end_s - trio.current_time()
                    lane = self._replay.lane(self._arrival)
                    room_s = self._entry.queue.expected_wait_s(("engines", lane))
                    self.retry_delay_s = retry_delay_s(left_s, self._entry.random.random(), room_s)
                break
            predicted_s = placement.predicted_s
            tried.add(placement.server.incarnation_id)
            if await self._try(placement, is_last=attempt == MOST_ATTEMPTS - 1):
                return self._outcome(predicted_s, is_whole=True)
            if self._first_s is not None:
                break
        return self._outcome(predicted_s, is_whole=False)

    async def _start(self, tried: set[str], *, is_new: bool) -> Placement | None:
        """Return where the request starts, after waiting for room if that can help."""
        queue, name = self._entry.queue, ("engines", self._replay.lane(self._arrival))
        facts = self._facts()
        has_queue = self._replay.queues or (is_new and self._replay.may_yield(self._arrival))
        if not (has_queue and queue.is_behind_others(name, facts)):
            placement = self._plan(tried, facts, is_new=is_new)
            if placement is not None or not (self._replay.queues or self._yields):
                return placement
        waited = await queue.wait(
            name, WaitingRequest(facts, partial(self._plan, tried, facts, is_new=is_new))
        )
        self._waited_s += waited.waited_s
        if waited.started is None and (self._yields or not self._replay.queues):
            return self._plan(tried, None, is_new=is_new)
        return waited.started

    def _plan(
        self, tried: set[str], facts: WaitingFacts | None, *, is_new: bool
    ) -> Placement | None:
        """Return where the request starts now; without facts, it doesn't yield."""
        self._yields = False
        placement = self._replay.place(self._entry, self._arrival, tried)
        if placement is None or not self._may_begin(placement, is_new=is_new):
            return None
        self._yields = (
            facts is not None
            and is_new
            and self._replay.must_yield(self._arrival, placement, self._asked_s, facts)
        )
        return None if self._yields else placement

    def _facts(self) -> WaitingFacts:
        arrival, now_s = self._arrival, trio.current_time()
        profile = self._replay.profile
        return WaitingFacts(
            priority=arrival.kind.priority,
            is_early=False,
            customer=arrival.customer,
            work_ms=request_work_ms(profile, arrival.prompt),
            body_bytes=4 * arrival.prompt.prompt_tokens,
            since_s=now_s,
            latest_start_s=latest_start_s(
                self._asked_s,
                self._patience_s(),
                self._end_s,
                least_alone_s(profile, arrival.prompt),
                response_s(profile, arrival.prompt),
            ),
        )

    def _may_begin(self, placement: Placement, *, is_new: bool) -> bool:
        goals = self._replay.goals(self._arrival)
        share = backlog_bound(goals, has_queue=self._replay.queues)
        if is_new and overload_reason(placement, goals, share):
            return False
        left_s = self._end_s - trio.current_time()
        patience_s = self._patience_s() - self._waited_s
        return not would_miss_deadline(placement.predicted_s, patience_s, left_s)

    def _patience_s(self) -> float:
        kind = self._arrival.kind
        return caller_timeout_s(kind.goal_s, kind.pause_goal_s)

    async def _try(self, placement: Placement, *, is_last: bool) -> bool:
        """Make one attempt; return whether the answer is whole."""
        now_s = trio.current_time()
        memory = {holding.server.incarnation_id: holding.tokens for holding in placement.holdings}
        in_flight = InFlightAttempt(
            placement.server.incarnation_id,
            placement.lane,
            memory,
            placement.parts,
            now_s + placement.predicted_s,
        )
        self._entry.ledger.add(in_flight, now_s)
        self._entry.queue.record_start(("engines", self._replay.lane(self._arrival)), self._facts())
        self._replay.note_sent(self._entry, placement)
        patience_s = self._patience_s()
        limit_s = patience_s - self._waited_s
        if not is_last:
            expected_s = expected_first_event_s(placement.predicted_s, patience_s)
            limit_s = max(SILENCE_TIMEOUT_SHARE * patience_s, expected_s)
        try:
            with trio.move_on_after(limit_s) as silence:
                return await self._run(placement, in_flight, silence, patience_s)
            return False
        except EngineFull:
            return False
        finally:
            self._entry.ledger.remove(in_flight, trio.current_time())

    async def _run(
        self,
        placement: Placement,
        in_flight: InFlightAttempt,
        silence: trio.CancelScope,
        patience_s: float,
    ) -> bool:
        engine = self._replay.engine(placement.server.incarnation_id)
        helpers = [self._replay.engine(helper.incarnation_id) for helper in placement.helpers]
        elsewhere = sum(holding.tokens for holding in placement.holdings[1:])
        tokens = self._arrival.prompt.prompt_tokens
        run = engine.run(tokens, self._arrival.events, helpers, elsewhere)
        async with aclosing(run) as events:
            async for _ in events:
                self._note_event(in_flight)
                silence.deadline = trio.current_time() + patience_s
        return True

    def _note_event(self, in_flight: InFlightAttempt) -> None:
        now_s = trio.current_time()
        self._entry.ledger.first_event(in_flight, now_s)
        if self._first_s is None:
            self._first_s = now_s - (self._replay._begin_s + self._arrival.at_s)
        else:
            self._longest_pause_s = max(self._longest_pause_s, now_s - self._previous_s)
        self._previous_s = now_s

    def _outcome(self, predicted_s: float | None, *, is_whole: bool) -> Outcome:
        return Outcome(
            self._arrival,
            predicted_s,
            self._first_s,
            self._longest_pause_s,
            is_whole,
            0,
            self._waited_s,
        )
