"""Replay of load A with servers that fail part of their requests although they look healthy.

Counting, deciding and avoiding are the product's own code. Servers, callers and datagrams are
simulated by a queue of events without a network, so that variants meet the same arrivals and
the same failures.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.failure_rates import FailureRates, SenderCounts, ServerState
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.outlier_ejection import OutlierEjection

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from sassafrastally.proxy.failure_rates import FailureCounts

MOST_ATTEMPTS = 2

DATAGRAM_INTERVAL_S = 0.2
"""Interval of the datagrams of 25 entries; a simulated one arrives with the next interval."""

REJECTION_S = 0.005
"""Time until a server rejects a request."""


class Kind(NamedTuple):
    """Requests of one route."""

    name: str
    per_s: float
    goal_s: float
    engines: int
    """Number of engines that share a prompt; 0 for plain requests."""
    work_s: float
    """Prefill of all engines together, or work of a plain server."""
    held_s: float
    """Time for which the first server's slot is taken after the first event."""
    is_repeatable: bool = True


KINDS = (
    Kind("questions", 38.3, 0.271, 1, 0.02, 0.8),
    Kind("invoice bundles", 6.1, 1.53, 4, 0.176, 0.5),
    Kind("dossiers", 1.04, 8.06, 17, 1.172, 0.4),
    Kind("payouts", 6.35, 0.165, 0, 0.0225, 0.0, is_repeatable=False),
    Kind("receipts", 1.47, 0.164, 0, 0.0225, 0.0),
)
"""The routes of load A."""


class Faults(NamedTuple):
    """Failure shares of servers and entries."""

    engines: Mapping[int, float] = {}
    """By number of the engine."""
    plain: Mapping[int, float] = {}
    entries: Mapping[int, float] = {}
    """Share of its attempts that an entry loses on its own link."""


class Results(NamedTuple):
    """What callers got, and which servers were avoided."""

    callers: Counter[str]
    lost: Counter[str]
    """Callers without a response, by kind."""
    late: Counter[str]
    avoided_s: defaultdict[str, float]
    """Time for which each server was avoided, in the mean over all entries."""
    times_avoided: int
    """Number of times that an entry began to avoid a server."""


class _Server:
    def __init__(self, name: str, slots: int, failing_share: float) -> None:
        self.name = name
        self.key = server_hash(name)
        self.slots = slots
        self.failing_share = failing_share
        self.requests = 0
        self.busy_until_s = 0.0


class _Caller(NamedTuple):
    number: int
    kind: Kind
    at_s: float


class _Entry:
    def __init__(self, number: int, seed: int, failing_share: float) -> None:
        self.number = number
        self.failing_share = failing_share
        self.rates = FailureRates(random.Random(f"{seed} {number}"))
        self.ejection = OutlierEjection()
        self.told: dict[int, FailureCounts] = {}
        """Its counts as the others know them."""


class FailureReplay:
    """One run; a second one with the same seed meets the same arrivals.

    Parameters
    ----------
    method
        ``"none"``: each entry's own ejection only. ``"shares"``: the product's decision.
        ``"consecutive"``: ejection as at one entry, but after consecutive failures over all
        entries, which all know at once.
    faults
        Which servers and entries fail.
    seed
        Draws arrivals, failures and choices.
    """

    def __init__(
        self,
        method: str,
        faults: Faults,
        seed: int,
        *,
        entries: int = 25,
        engines: int = 60,
        plain: int = 3,
    ) -> None:
        self._method = method
        self._seed = seed
        self._draw = random.Random(seed)
        self._engines = [_Server(f"e{n}", 6, faults.engines.get(n, 0.0)) for n in range(engines)]
        self._plain = [_Server(f"p{n}", 4, faults.plain.get(n, 0.0)) for n in range(plain)]
        self._entries = [_Entry(n, seed, faults.entries.get(n, 0.0)) for n in range(entries)]
        self._shared_ejection = OutlierEjection()
        self._suspects: frozenset[str] = frozenset()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now_s = 0.0
        self.results = Results(Counter(), Counter(), Counter(), defaultdict(float), 0)

    def run(self, duration_s: float, kinds: Sequence[Kind] = KINDS) -> Results:
        """Play the arrivals of the given time until all callers have an outcome."""
        numbers = count()
        for kind in kinds:
            draw = random.Random(f"{self._seed} {kind.name}")
            at_s = draw.expovariate(kind.per_s)
            while at_s < duration_s:
                caller = _Caller(next(numbers), kind, at_s)
                self._at(at_s, lambda caller=caller: self._arrive(caller, 0))  # type: ignore[misc]
                at_s += draw.expovariate(kind.per_s)
                self.results.callers[kind.name] += 1
        for tick in range(int(duration_s / DATAGRAM_INTERVAL_S)):
            self._at(tick * DATAGRAM_INTERVAL_S, self._exchange)
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self.results

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _exchange(self) -> None:
        """Let all datagrams arrive and all entries decide."""
        self._suspects = frozenset(
            name for entry in self._entries for name in entry.ejection.suspects(self._now_s)
        )
        if self._method != "shares":
            return
        told = {entry.number: SenderCounts(entry.told) for entry in self._entries if entry.told}
        for entry in self._entries:
            received = [sender for number, sender in told.items() if number != entry.number]
            services = [
                [ServerState(server.key, server.slots, server.requests) for server in servers]
                for servers in (self._engines, self._plain)
            ]
            changes = entry.rates.decide(services, received, len(self._entries), self._now_s)
            begun = sum(change.is_avoided for change in changes)
            self.results = self.results._replace(times_avoided=self.results.times_avoided + begun)
            for server in (*self._engines, *self._plain):
                if server.key in entry.rates.avoided:
                    share_s = DATAGRAM_INTERVAL_S / len(self._entries)
                    self.results.avoided_s[server.name] += share_s
        for entry in self._entries:
            received = [sender for number, sender in told.items() if number != entry.number]
            entry.told = entry.rates.to_send(received, self._now_s)

    def _arrive(self, caller: _Caller, refusals: int) -> None:
        entry = self._draw.choice(self._entries)
        self._attempt(caller, entry, (), refusals)

    def _attempt(
        self, caller: _Caller, entry: _Entry, tried: tuple[str, ...], refusals: int
    ) -> None:
        chosen = self._choose(caller.kind, entry, tried)
        for server in chosen[:1]:
            entry.rates.record_sent(server.key, len(self._entries), self._now_s)
        fate = random.Random(f"{self._seed} {caller.number} {refusals} {len(tried)}")
        is_cut = fate.random() < entry.failing_share
        failed = [server for server in chosen if fate.random() < server.failing_share]
        if is_cut or failed:
            at_fault = chosen[0] if is_cut else failed[0]
            self._record_failure(entry, at_fault, is_conclusive=at_fault is not chosen[0])
            tried = (*tried, chosen[0].name)
            self._at(self._now_s + REJECTION_S, lambda: self._fail(caller, entry, tried, refusals))
            return
        first_s = self._serve(caller.kind, chosen)
        if first_s - caller.at_s > caller.kind.goal_s:
            self.results.late[caller.kind.name] += 1
        self._at(first_s, lambda: self._record_success(entry, chosen))

    def _fail(self, caller: _Caller, entry: _Entry, tried: tuple[str, ...], refusals: int) -> None:
        is_plain = not caller.kind.engines
        if len(tried) < MOST_ATTEMPTS and caller.kind.is_repeatable:
            self._attempt(caller, entry, tried, refusals)
        elif refusals or is_plain:  # A status of 500 is passed on, and the request may have run.
            self.results.lost[caller.kind.name] += 1
        else:
            retry_s = self._now_s + self._draw.uniform(0.1, 0.3)
            self._at(retry_s, lambda: self._arrive(caller, 1))

    def _choose(self, kind: Kind, entry: _Entry, tried: tuple[str, ...]) -> list[_Server]:
        """Return the least loaded servers, the first of which answers."""
        servers = self._engines if kind.engines else self._plain
        left = [server for server in servers if server.name not in tried]
        if kind.is_repeatable and kind.engines < 2 and not tried:
            trials = entry.rates.due_trials(self._now_s)
            if trial := [server for server in left if server.key in trials]:
                return trial[:1]
        trusted = [server for server in left if not self._is_avoided(entry, server)] or left
        self._draw.shuffle(trusted)
        trusted.sort(key=lambda server: (server.requests, server.busy_until_s))
        return trusted[: max(1, kind.engines)]

    def _is_avoided(self, entry: _Entry, server: _Server) -> bool:
        if entry.ejection.is_suspect(server.name, self._now_s) or server.name in self._suspects:
            return True
        if self._method == "consecutive":
            return self._shared_ejection.is_suspect(server.name, self._now_s)
        return server.key in entry.rates.avoided

    def _serve(self, kind: Kind, chosen: Sequence[_Server]) -> float:
        """Occupy servers; return when the first event comes."""
        part_s = kind.work_s / len(chosen)
        for server in chosen:
            server.busy_until_s = max(server.busy_until_s, self._now_s) + part_s
        first_s = max(server.busy_until_s for server in chosen)
        chosen[0].requests += 1

        def end() -> None:
            chosen[0].requests -= 1

        self._at(first_s + kind.held_s, end)
        return first_s

    def _record_failure(self, entry: _Entry, server: _Server, *, is_conclusive: bool) -> None:
        entry.rates.record(server.key, self._now_s, is_failure=True)
        for ejection in (entry.ejection, self._shared_ejection):
            ejection.record_failure(server.name, self._now_s, is_conclusive=is_conclusive)

    def _record_success(self, entry: _Entry, servers: Sequence[_Server]) -> None:
        for server in servers:
            entry.rates.record(server.key, self._now_s, is_failure=False)
        for ejection in (entry.ejection, self._shared_ejection):
            ejection.record_success(servers[0].name)
