"""Entries and engines of a load replay, and the decisions of the product on them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.admission import Goals
from sassafrastally.proxy.admission_queue import (
    StartTimes,
    WaitingFacts,
    can_yield,
    find_shortage,
    is_queueing_useful,
    yields_until_s,
)
from sassafrastally.proxy.data_centre_pools import place_locally_first
from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView, choose_lane
from sassafrastally.proxy.load import Lane, merge_work, server_hash
from sassafrastally.proxy.model import BackendServer
from sassafrastally.proxy.placement import place_request
from sassafrastally.proxy.prefill_limits import prefill_limits_for
from sassafrastally.proxy.rate_limits import SentRequests, own_share_per_s
from sassafrastally.proxy.turning_away import (
    retry_delay_after_failure_s,
)
from sassafrastally.stand_ins.simulated_engine import SimulatedEngine
from sassafrastally.testing.engine_failures import EngineFailures
from sassafrastally.testing.load_arrivals import Arrival, Deployment, make_route
from sassafrastally.testing.load_callers import PATIENT_CALLERS, Callers
from sassafrastally.testing.load_entries import DATAGRAM_LATENCY_S, ReplayEntry, ReplayExchange

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from sassafrastally.proxy.plan import Placement
    from sassafrastally.testing.engine_failures import Failure

    RetryDelay = Callable[[float | None, float, float], float]
    """Takes the caller's time left, a random number from 0 to 1, and the time until its goal."""


class ReplayDecisions:
    """Entries, engines and decisions of a replay.

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
    shares_contention
        Whether entries exchange their contention state.
    callers
        How callers react to refusals.
    failures
        Engines that fail at once.
    delay_after_failure_s
        Returns the retry delay after failed attempts.
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
        shares_contention: bool = True,
        callers: Callers = PATIENT_CALLERS,
        failures: Sequence[Failure] = (),
        delay_after_failure_s: RetryDelay = retry_delay_after_failure_s,
    ) -> None:
        self.begin_s = 0.0
        """When the replay began."""
        self._deployment = deployment
        self._callers = callers
        self._seed = seed
        self._most_per_s = {f"e{number}": most for number, most in (limits_per_s or {}).items()}
        self._spares_limited = spares_limited
        self.sent_s: dict[str, list[float]] = {
            incarnation_id: [] for incarnation_id in self._most_per_s
        }
        """When requests were sent to each engine with a limit."""
        self.profile = deployment.profile
        self._draw = random.Random(seed)
        self._entries = [
            ReplayEntry(seed * 1000 + number, str(number % deployment.data_centres))
            for number in range(deployment.entries)
        ]
        self._exchange = ReplayExchange(
            self._entries, deployment.news_gap_s, shares_contention=shares_contention
        )
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
        self._yields = yields and deployment.data_centres > 1
        self.delay_after_failure_s = delay_after_failure_s
        self.refusals_after_failure = 0
        """Refusals of requests whose attempts all met failed engines."""
        self._failures = EngineFailures(failures)

    def place(self, entry: ReplayEntry, arrival: Arrival, tried: set[str]) -> Placement | None:
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

    def views(self, entry: ReplayEntry, tried: set[str]) -> list[ServerView]:
        """Return the engines as an entry sees them."""
        now_s = trio.current_time()
        work = merge_work(entry.ledger.work(now_s), self._exchange.announced_to(entry))
        return [
            ServerView(
                server,
                work.at(server.incarnation_id),
                is_limited=self._spares_limited and server.incarnation_id in self._most_per_s,
            )
            for server in self._servers
            if server.incarnation_id not in tried
            and not self._failures.is_avoided(server.incarnation_id, now_s - self.begin_s)
            and self._has_room(entry, server.incarnation_id)
        ]

    def meets_failure(self, placement: Placement) -> bool:
        """Return whether an attempt fails since one of its engines does."""
        servers = (placement.server, *placement.helpers)
        incarnation_ids = [server.incarnation_id for server in servers]
        return self._failures.meets_failure(incarnation_ids, trio.current_time() - self.begin_s)

    def leaves_headroom(
        self, entry: ReplayEntry, facts: WaitingFacts, placement: Placement
    ) -> bool:
        """Return whether a prompt that waits can start and leave room for more urgent ones."""
        now_s = trio.current_time()
        views = self.views(entry, set())
        kinds = entry.queue.arrivals.ahead_of("engines", facts, views, now_s)
        return now_s >= facts.latest_start_s or not find_shortage(
            kinds, placement, views, self.profile, len(self._entries)
        )

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

    def record_arrival(self, entry: ReplayEntry, arrival: Arrival) -> None:
        """Count an arrival for the headroom of its kind."""
        route = self._routes[arrival.kind.name]
        entry.queue.arrivals.record(
            "engines", route, route.priority, arrival.prompt, trio.current_time()
        )

    def note_sent(self, entry: ReplayEntry, placement: Placement) -> None:
        """Count what an entry sends to engines with a limit."""
        servers = [placement.server, *placement.helpers]
        now_s = trio.current_time()
        for incarnation_id in (server.incarnation_id for server in servers):
            if incarnation_id in self._most_per_s:
                entry.sent.setdefault(incarnation_id, SentRequests()).record(now_s)
                self.sent_s[incarnation_id].append(now_s - self.begin_s)

    def _has_room(self, entry: ReplayEntry, incarnation_id: str) -> bool:
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

    def is_most_urgent(self, arrival: Arrival) -> bool:
        """Return whether no kind of request has a higher priority."""
        return arrival.kind.priority == min(route.priority for route in self._routes.values())

    def engine(self, incarnation_id: str) -> SimulatedEngine:
        """Return an engine by its server's incarnation."""
        return self._engines[int(incarnation_id[1:])]
