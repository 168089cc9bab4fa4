"""Replay of callers whose new connections mostly reach one of several entries.

Decides as entries do, by the delay of their tasks, without their code around it. An entry's CPU
time is its only resource: a request takes some when it arrives and some with each event of its
answer. Callers retry as the platform's do: at once at another entry if their connection was closed
unread, after the given delay if they were refused, and at another entry if nothing was read in
time.
"""

from __future__ import annotations

import heapq
import math
from enum import Enum
from itertools import count
from random import Random
from typing import NamedTuple

from sassafrastally.core import UnreadInput
from sassafrastally.core.accepting import ACCEPT_INTERVAL_S
from sassafrastally.proxy.connection_admission import Admission, turn_away
from sassafrastally.proxy.cpu_overload import (
    TIMER_S,
    LagWindow,
    StreamLimit,
    is_crowded,
    shed_retry_delay_s,
)

REQUEST_CPU_S = 0.003
REFUSAL_CPU_S = 0.0003
EVENT_CPU_S = 0.0003
EVENTS = 40
EVENT_GAP_S = 0.045
"""Cost and length of an answer: 36 events of a short prompt, and the request itself. A request that
is refused without being parsed costs a tenth."""

READ_TIMEOUT_S = 1.0
"""Time after which a caller abandons an entry that hasn't read its request."""

LATE_S = 0.3
"""Time from the first attempt after which the begin of the work is late."""

CLOSE_S = 0.005
"""Time until a caller knows that its connection was closed."""

MAX_RETRIES = 2

CROSSING_S = 0.2
"""Time after its last byte within which a request may be cut by a close."""


class Shedding(Enum):
    """What an entry without CPU time does with new requests."""

    NONE = "takes all"
    REFUSAL = "refuses them after reading"
    CLOSE = "closes new connections unread, however long their requests have waited"
    TURN = "accepts once a turn of the event loop; refuses requests that have waited, closes others"
    STEPS = "the same, but accepts between the steps of a turn"


class CrowdLoad(NamedTuple):
    """Callers and entries."""

    entries: int
    requests_per_s: float
    cores: float
    """CPU time of an entry, in seconds per second."""
    crowded_from_s: float
    crowded_until_s: float
    crowd_share: float
    """Share of the new connections that one entry gets meanwhile."""
    end_s: float


class CrowdOutcome(NamedTuple):
    """Shares of the requests that were served at the first attempt that an entry read."""

    before: float
    meanwhile: float
    late: float
    """Share of the requests that were begun late in the crowd, after all retries, or never."""
    lost: float
    """Share of the requests that no entry read."""


class _Request:
    def __init__(self, at_s: float) -> None:
        self.at_s = at_s
        self.retries = 0
        self.entry: int | None = None
        """Entry of the latest attempt."""
        self.is_served_at_once: bool | None = None
        """Whether the first attempt that an entry read was served; ``None`` if none was read."""
        self.begun_after_s = math.inf


class _Entry:
    def __init__(self, cores: float) -> None:
        self.window = LagWindow()
        self.limit = StreamLimit()
        self.busy_until_s = 0.0
        self.streams: list[float] = []
        self.is_overloaded = False
        self._cores = cores

    def work(self, now_s: float, cpu_s: float) -> float:
        """Do some work after all earlier work; return when it is done."""
        self.busy_until_s = max(self.busy_until_s, now_s) + cpu_s / self._cores
        return self.busy_until_s

    def update(self, now_s: float, *, is_active: bool) -> None:
        """Measure the delay of the tasks, and pass on the events of open streams."""
        self.streams = [end_s for end_s in self.streams if end_s > now_s]
        lag_s = max(0.0, self.busy_until_s - now_s)
        self.work(now_s, len(self.streams) * EVENT_CPU_S * TIMER_S / EVENT_GAP_S)
        if is_active:
            self.window.record(now_s, lag_s)
        else:
            self.window.clear()
        self.limit.update(self.window.lag_s, len(self.streams), now_s)
        self.is_overloaded = self.window.is_overloaded


class CrowdReplay:
    """Plays a load against entries that shed in one way."""

    def __init__(self, load: CrowdLoad, shedding: Shedding, seed: int) -> None:
        self._load = load
        self._shedding = shedding
        self._random = Random(seed)
        self._entries = [_Entry(load.cores) for _ in range(load.entries)]
        self._results: list[_Request] = []

    def run(self) -> CrowdOutcome:
        """Return what the callers saw."""
        load, numbers = self._load, count()
        events: list[tuple[float, int, _Request]] = []
        at_s = 0.0
        while (at_s := at_s + self._random.expovariate(load.requests_per_s)) < load.end_s:
            heapq.heappush(events, (at_s, next(numbers), _Request(at_s)))
        measured_s = 0.0
        while events:
            now_s, _, request = heapq.heappop(events)
            while measured_s + TIMER_S <= now_s:
                measured_s += TIMER_S
                self._measure(measured_s)
            request.entry = self._choose(now_s, request.entry)
            delay_s = self._try(request, now_s)
            if delay_s is None or request.retries == MAX_RETRIES:
                self._results.append(request)
                continue
            request.retries += 1
            heapq.heappush(events, (now_s + delay_s, next(numbers), request))
        return self._outcome()

    def _measure(self, now_s: float) -> None:
        streams = [len(entry.streams) for entry in self._entries]
        for entry, own in zip(self._entries, streams, strict=True):
            others = sum(streams) - own
            is_active = is_crowded(own, others, len(streams) - 1) or entry.is_overloaded
            entry.update(now_s, is_active=is_active)

    def _choose(self, now_s: float, avoided: int | None) -> int:
        load = self._load
        is_crowd = load.crowded_from_s <= now_s < load.crowded_until_s
        if avoided is None and is_crowd and self._random.random() < load.crowd_share:
            return 0
        return self._random.choice([one for one in range(load.entries) if one != avoided])

    def _try(self, request: _Request, now_s: float) -> float | None:
        """Send a request; return after which time its caller retries, if it does."""
        assert request.entry is not None
        entry = self._entries[request.entry]
        lag_s = max(0.0, entry.busy_until_s - now_s)
        if lag_s > READ_TIMEOUT_S:
            return READ_TIMEOUT_S
        is_full = entry.is_overloaded and not entry.limit.accepts(len(entry.streams))
        has_peer = any(not one.is_overloaded for one in self._entries if one is not entry)
        is_refused = is_full and self._shedding is Shedding.REFUSAL
        cpu_s = REQUEST_CPU_S
        if is_full and has_peer and self._shedding not in (Shedding.NONE, Shedding.REFUSAL):
            wait_s = lag_s
            if self._shedding is Shedding.STEPS:
                wait_s = min(lag_s, ACCEPT_INTERVAL_S / self._load.cores)
            if self._shedding is Shedding.CLOSE or not self._has_waited(wait_s):
                return wait_s + CLOSE_S
            is_refused, cpu_s = True, REFUSAL_CPU_S
        done_s = entry.work(now_s, cpu_s)
        if request.is_served_at_once is None:
            request.is_served_at_once = not is_refused
        if is_refused:
            return done_s - now_s + shed_retry_delay_s(self._random.random())
        request.begun_after_s = done_s - request.at_s
        entry.streams.append(done_s + EVENTS * EVENT_GAP_S)
        return None

    def _has_waited(self, wait_s: float) -> bool:
        return turn_away(UnreadInput(1, wait_s), CROSSING_S) is Admission.REFUSE

    def _outcome(self) -> CrowdOutcome:
        load = self._load

        def served(from_s: float, until_s: float) -> float:
            found = [one for one in self._results if from_s <= one.at_s < until_s]
            read = [one.is_served_at_once for one in found if one.is_served_at_once is not None]
            return sum(read) / max(1, len(read))

        crowd = [
            one for one in self._results if load.crowded_from_s <= one.at_s < load.crowded_until_s
        ]
        return CrowdOutcome(
            served(0.0, load.crowded_from_s),
            served(load.crowded_from_s, load.crowded_until_s),
            sum(one.begun_after_s > LATE_S for one in crowd) / len(crowd),
            sum(one.is_served_at_once is None for one in self._results) / len(self._results),
        )
