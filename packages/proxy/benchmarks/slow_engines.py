"""Callers served while engines turn slow, by what becomes of an attempt at a slow engine.

Engines near full turn 20 to 60 times slower, most for two seconds, some for eight, and report it.
Prompts that wait for their first event there are tried elsewhere. Run:
python packages/proxy/benchmarks/slow_engines.py [seconds] [seeds] [share of capacity ...]
"""

from __future__ import annotations

import itertools
import random
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest.mock import patch

import trio
from overlapping_attempts import CALLER_TIMEOUT_S, ENGINES, ENTRIES, SLOTS, STREAM, Play, Troubles

from sassafrastally.proxy import streaming_request
from sassafrastally.proxy.attempt_migration import should_move_attempt
from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts
from sassafrastally.proxy.streaming_request import StreamingRequestHandler
from sassafrastally.testing.mock_run import run_on_mock_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.stand_ins.replica import Replica

SLOW_INTERVALS_S = (15.0, 5.0)
"""Mean times after which an engine turns slow again."""

SLOW_S, LONG_SLOW_S, LONG_SLOW_SHARE = 2.0, 8.0, 0.3
PACES = (20.0, 60.0)

MEDIUM, LONG = "40000,1360", "120000,340"
MEDIUM_SHARE, LONG_SHARE = 0.06, 0.04

SLOT_S = 2.4
"""Mean time for which a request has a slot beside the prefill of the others."""

GOALS_S = {"note": 0.3, "dossier": 1.5}
CALLER_TIMEOUTS_S = {"note": CALLER_TIMEOUT_S, "dossier": 8.0}


class Result(NamedTuple):
    """Figures of one run."""

    callers: int
    whole: int
    late: int
    """Streams with an event later than callers wait."""
    over_goal: int
    """Streams whose first event came after the route's goal."""
    refused: int
    moved: int
    """Attempts beside which another one was made since an engine was slow."""
    slot_s: float
    lost_slot_s: float

    def __add__(self, other: Result) -> Result:  # type: ignore[override]
        return Result(*(a + b for a, b in zip(self, other, strict=True)))


class SlowPlay(Play):
    """One run of a fleet whose engines turn slow."""

    def __init__(self, seed: int, duration_s: float, load: float, interval_s: float) -> None:
        super().__init__(seed, duration_s, load, Troubles(interval_s))
        self._rate = load * ENGINES * SLOTS / SLOT_S

    async def _play(self) -> None:
        end_s = trio.current_time() + self._duration_s
        async with trio.open_nursery() as callers:
            while trio.current_time() < end_s:
                await trio.sleep(self._arrivals.expovariate(self._rate))
                entry, kind = self._arrivals.randint(1, ENTRIES), self._arrivals.random()
                if kind < LONG_SHARE:
                    callers.start_soon(self._ask, entry, "dossier", LONG)
                elif kind < LONG_SHARE + MEDIUM_SHARE:
                    callers.start_soon(self._ask, entry, "dossier", MEDIUM)
                else:
                    callers.start_soon(self._ask, entry, "note", STREAM)

    async def _ask(self, entry: int, route: str, prompt: str) -> None:
        headers = {"Deadline-Ms": "6000" if route == "note" else "12000"}
        answer = await self._fleet.call(f"/{route}/x", entry=entry, prompt=prompt, headers=headers)
        self.statuses.append((answer.status, answer.is_whole))

    async def _pause(self, replica: Replica) -> None:
        draw = random.Random(f"{self._seed}/{replica.server_id}/paces")
        engine = replica.engine
        assert engine is not None
        while True:
            await trio.sleep(draw.expovariate(1 / self._troubles.pause_interval_s))
            slow_s = LONG_SLOW_S if draw.random() < LONG_SLOW_SHARE else SLOW_S
            engine.pace = draw.uniform(*PACES)
            await trio.sleep(slow_s)
            engine.pace = 1.0

    def _result(self) -> Result:  # type: ignore[override]
        records = [record for kernel in self._fleet.kernels for record in kernel.events.records()]
        answered = [record["fields"] for record in records if record["name"] == "RequestAnswered"]
        late = sum(
            max(one["first_s"], one["longest_pause_s"]) > CALLER_TIMEOUTS_S[one["route"]]
            for one in answered
        )
        moved = sum(
            "times slower" in str(record["fields"])
            for record in records
            if record["name"] == "AttemptFailed"
        )
        return Result(
            callers=len(self.statuses),
            whole=self.statuses.count((200, True)),
            late=late,
            over_goal=sum(one["first_s"] > GOALS_S[one["route"]] for one in answered),
            refused=sum(status == 503 for status, _ in self.statuses),
            moved=moved,
            slot_s=self.slot_s,
            lost_slot_s=self.lost_slot_s,
        )


@contextmanager
def closed_when_chosen() -> Iterator[None]:
    """Close the attempt at the slow engine once another one is chosen and charged."""
    add = StreamingRequestHandler._add_if_faster

    def add_and_close(handler: Any, attempt: Any, waiting: Any, pace: float) -> None:
        add(handler, attempt, waiting, pace)
        if attempt.is_slow and not attempt.is_closed:
            # Only the successor is left, so that it is not closed together with this one.
            attempt.close(None)

    with patch.object(StreamingRequestHandler, "_add_if_faster", add_and_close):
        yield


@contextmanager
def closed_at_first_event() -> Iterator[None]:
    """Close the attempt at the slow engine at the first event from another one."""
    close = OverlappingAttempts._close_dispensable

    def close_slow(attempts: Any, leader: Any, *, is_complete: bool) -> None:
        close(attempts, leader, is_complete=is_complete)
        for other in list(attempts._others(leader)):
            if other.is_slow:
                other.close(leader)

    with patch.object(OverlappingAttempts, "_close_dispensable", close_slow):
        yield


@contextmanager
def only_if_too_late() -> Iterator[None]:
    """Make no other attempt if the slow engine answers before callers leave."""

    def should_move(left_s: float, predicted_elsewhere_s: float, goal_left_s: float) -> bool:
        # Callers of both routes wait for at least 1.7 s longer than the goal.
        return should_move_attempt(left_s, predicted_elsewhere_s, goal_left_s + 1.7)

    with patch.object(streaming_request, "should_move_attempt", should_move):
        yield


@contextmanager
def never() -> Iterator[None]:
    """Make no other attempt at a slow engine's prompts."""
    with patch.object(streaming_request, "should_move_attempt", lambda *_: False):
        yield


@contextmanager
def open_until_gone_on() -> Iterator[None]:
    """Keep the attempt at the slow engine open until another one has gone on."""
    yield


RULES = {
    "gone on": open_until_gone_on,
    "chosen": closed_when_chosen,
    "first event": closed_at_first_event,
    "too late": only_if_too_late,
    "never": never,
}


def play(seed: int, duration_s: float, load: float, interval_s: float, rule: str) -> Result:
    """Return the figures of one run with a rule."""
    one = SlowPlay(seed, duration_s, load, interval_s)
    with RULES[rule]():
        return run_on_mock_clock(one.run, seed)  # type: ignore[arg-type]


def main() -> None:
    """Print one line for each interval, load, rule and seed, and their sums."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    loads = [float(one) for one in sys.argv[3:]] or [0.6, 0.9]
    for interval_s, load, rule in itertools.product(SLOW_INTERVALS_S, loads, RULES):
        total = Result(0, 0, 0, 0, 0, 0, 0.0, 0.0)
        for seed in range(1, seeds + 1):
            result = play(seed, duration_s, load, interval_s, rule)
            total += result
            _print(f"{interval_s:4.0f} s {load:.2f} {rule:12} seed {seed:3}", result)
        _print(f"{interval_s:4.0f} s {load:.2f} {rule:12} all seeds", total)


def _print(name: str, result: Result) -> None:
    other = result.callers - result.whole - result.refused
    print(
        f"{name} callers {result.callers:5} whole {result.whole:5} refused {result.refused:4} "
        f"other {other:4} late {result.late:4} over goal {result.over_goal:4} "
        f"moved {result.moved:4} slots {result.slot_s:7.0f} s, lost {result.lost_slot_s:6.0f} s",
        flush=True,
    )


if __name__ == "__main__":
    main()
