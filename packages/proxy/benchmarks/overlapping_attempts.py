"""Callers served and engine time lost, by how long a stream's attempts stay open together.

Engines near full pause for up to 2.2 s, in their work or in what they send, and some crash. Run:
python packages/proxy/benchmarks/overlapping_attempts.py [seconds] [seeds] [share of capacity ...]
"""

from __future__ import annotations

import random
import sys
from contextlib import aclosing
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sassafrastally.proxy import overlapping_attempts
from sassafrastally.proxy.failover_decision import Reserve, is_dispensable
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import PlatformFleet
from sassafrastally.testing.mock_run import run_on_mock_clock
from sassafrastally.testing.virtual_network import VirtualNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sassafrastally.stand_ins.replica import Replica

ENGINES = 6
ENTRIES = 2
SLOTS = 8
RESPONSE_S = 1.95
"""Time of a response of 40 events on an engine with all slots in use."""

STREAM = "1000,1360"
CALLER_TIMEOUT_S = 2.0
PAUSE_S = (0.8, 2.2)

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250, maxAttempts=3),
    make_route(
        "dossier",
        "streaming",
        "engines",
        goalMs=1500,
        gapGoalMs=1000,
        maxAttempts=3,
        timeoutMs=15_000,
    ),
]
"""Short prompts, and long ones, which several engines prefill."""

POLICIES = {
    "first event": lambda _: True,
    "gone on": is_dispensable,
    "complete": lambda reserve: not reserve.is_sent,
}


class Troubles(NamedTuple):
    """What happens to each engine, and how often."""

    pause_interval_s: float
    crash_interval_s: float = 0.0


TROUBLES = {
    "calm": Troubles(0.0),
    "pauses": Troubles(8.0),
    "pauses, crashes": Troubles(8.0, 30.0),
}


class Result(NamedTuple):
    """Figures of one run."""

    callers: int
    whole: int
    late: int
    refused: int
    slot_s: float
    """Time for which slots of engines were in use."""
    lost_slot_s: float
    """The part of it that was spent on responses that didn't get to their end."""

    def __add__(self, other: Result) -> Result:  # type: ignore[override]
        return Result(*(a + b for a, b in zip(self, other, strict=True)))


class Play:
    """One run of a fleet."""

    def __init__(self, seed: int, duration_s: float, load: float, troubles: Troubles) -> None:
        self._arrivals = random.Random(f"{seed}/arrivals")
        """The same for all policies, as are the troubles of each engine."""
        self._seed = seed
        self._duration_s = duration_s
        self._rate = load * ENGINES * SLOTS / RESPONSE_S
        self._troubles = troubles
        self._watched: set[int] = set()
        self.statuses: list[tuple[int, bool]] = []
        self.slot_s = self.lost_slot_s = 0.0

    async def run(self) -> Result:
        """Run the fleet; return its figures."""
        network = VirtualNetwork(random.Random(f"{self._seed}/network"), jitter_s=0.004)
        trio.socket.set_custom_socket_factory(network)
        async with trio.open_nursery() as nursery:
            self._fleet = PlatformFleet(nursery, random.Random(self._seed), network)
            await self._fleet.start_store()
            self._fleet.configure(make_configuration(2, routes=ROUTES))
            for number in range(ENGINES):
                await self._fleet.add_replica(f"engine-{number}")
            for number in range(1, ENTRIES + 1):
                await self._fleet.add_entry(number)
            await trio.sleep(1.5)
            nursery.start_soon(self._watch_engines, nursery)
            await self._play()
            result = self._result()
            nursery.cancel_scope.cancel()
        return result

    async def _play(self) -> None:
        end_s = trio.current_time() + self._duration_s
        async with trio.open_nursery() as callers:
            while trio.current_time() < end_s:
                await trio.sleep(self._arrivals.expovariate(self._rate))
                callers.start_soon(self._call, self._arrivals.randint(1, ENTRIES))

    async def _call(self, entry: int) -> None:
        headers = {"Deadline-Ms": "6000"}
        answer = await self._fleet.call("/note/x", entry=entry, prompt=STREAM, headers=headers)
        self.statuses.append((answer.status, answer.is_whole))

    async def _watch_engines(self, nursery: trio.Nursery) -> None:
        """Measure and trouble each engine, also those that replace crashed ones."""
        while True:
            for replica in self._fleet.replicas.values():
                if id(replica) not in self._watched:
                    self._watched.add(id(replica))
                    self._measure(replica)
                    nursery.start_soon(self._pause, replica)
                    nursery.start_soon(self._crash, replica)
            await trio.sleep(0.05)

    def _measure(self, replica: Replica) -> None:
        assert replica.engine is not None
        run = replica.engine.run

        async def measured(*arguments: object) -> AsyncGenerator[int, None]:
            begin_s, left = trio.current_time(), -1
            try:
                async with aclosing(run(*arguments)) as numbers:  # type: ignore[arg-type]
                    async for left in numbers:
                        yield left
            finally:
                used_s = trio.current_time() - begin_s
                self.slot_s += used_s
                self.lost_slot_s += used_s if left else 0.0

        replica.engine.run = measured  # type: ignore[method-assign,assignment]

    async def _pause(self, replica: Replica) -> None:
        draw = random.Random(f"{self._seed}/{replica.server_id}/pauses")
        engine = replica.engine
        assert engine is not None
        while self._troubles.pause_interval_s:
            await trio.sleep(draw.expovariate(1 / self._troubles.pause_interval_s))
            pause_s = draw.uniform(*PAUSE_S)
            if draw.random() < 0.5:
                replica.silence.includes_reports = False
                replica.silence.begin(pause_s)
                await trio.sleep(pause_s)
            else:
                engine.is_stalled = True
                await trio.sleep(pause_s)
                engine.is_stalled = False
                engine.wake()

    async def _crash(self, replica: Replica) -> None:
        draw = random.Random(f"{self._seed}/{replica.server_id}/crashes")
        if self._troubles.crash_interval_s:
            await trio.sleep(draw.expovariate(1 / self._troubles.crash_interval_s))
            replica.crash()

    def _result(self) -> Result:
        records = [record for kernel in self._fleet.kernels for record in kernel.events.records()]
        answered = [record["fields"] for record in records if record["name"] == "RequestAnswered"]
        late = [
            one
            for one in answered
            if max(one["first_s"], one["longest_pause_s"]) > CALLER_TIMEOUT_S
        ]
        whole = self.statuses.count((200, True))
        refused = sum(status == 503 for status, _ in self.statuses)
        return Result(len(self.statuses), whole, len(late), refused, self.slot_s, self.lost_slot_s)


def play(seed: int, duration_s: float, load: float, troubles: Troubles, policy: str) -> Result:
    """Return the figures of one run with a policy."""

    def decide(reserve: Reserve) -> bool:
        return POLICIES[policy](reserve)

    with patch.object(overlapping_attempts, "is_dispensable", decide):
        return run_on_mock_clock(Play(seed, duration_s, load, troubles).run, seed)


def main() -> None:
    """Print one line for each load, trouble and policy."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 40.0
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    loads = [float(one) for one in sys.argv[3:]] or [0.6, 0.9]
    for load in loads:
        for name, troubles in TROUBLES.items():
            for policy in POLICIES:
                total = Result(0, 0, 0, 0, 0.0, 0.0)
                for seed in range(1, seeds + 1):
                    total += play(seed, duration_s, load, troubles, policy)
                other = total.callers - total.whole - total.refused
                print(
                    f"{load:.2f} {name:16} {policy:12} callers {total.callers:5} "
                    f"whole {total.whole:5} late {total.late:4} refused {total.refused:4} "
                    f"other {other:4} slots {total.slot_s:7.0f} s, "
                    f"lost {total.lost_slot_s:6.0f} s",
                    flush=True,
                )


if __name__ == "__main__":
    main()
