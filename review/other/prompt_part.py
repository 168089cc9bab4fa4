"""A prompt part that crashes replicas, met by all entries at the same time: each tries it again.

Finding B of the report, not one of its cases: the rule is broken in some runs only. With TROUBLE=0
the part harms nothing. Writes record.txt beside itself; needs
PYTHONPATH=target/deps:target/review:review.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import trio
from deployment import BROKEN, HELD, Deployment, run_case

from sassafrastally.stand_ins.documents import ENGINE, make_configuration, make_route
from sassafrastally.stand_ins.replica import ReceivedRequest, Replica

PART = "bad0"
ENTRIES = 10
REPLICAS = 24
CRASH_DELAY_S = 0.08
BACK_AFTER_S = 4.0
STABLE_WINDOW_S = 3.0
FREE_CRASHES = 5
FREE_SENDS = 3
ROUNDS = (1, 10)
ROUND_PAUSE_S = 1.0
GO_ON_S = 30.0
GO_ON_PAUSE_S = 0.25


def configuration() -> dict:
    routes = [
        make_route(
            "dichiarazione", "streaming", "engines", goalMs=300, gapGoalMs=250, timeoutMs=10000
        )
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    services = [{"name": "engines", "maxConns": 274, "engine": ENGINE}]
    return make_configuration(1, routes=routes, services=services, limits=limits)


class Case:
    def __init__(self, deployment: Deployment, *, has_trouble: bool) -> None:
        self.deployment = deployment
        self.has_trouble = has_trouble
        self._replicas = 0
        self._sent = 0

    async def add(self) -> None:
        self._replicas += 1
        replica = await self.deployment.add_replica(
            f"i-engine-{self._replicas}",
            "engines",
            crashing_parts={PART} if self.has_trouble else set(),
            crash_delay_s=CRASH_DELAY_S,
        )
        self.deployment.nursery.start_soon(self._replace, replica)

    async def _replace(self, replica: Replica) -> None:
        await replica.has_crashed.wait()
        self.deployment.record.note(f"replica {replica.server_id} crashed")
        await trio.sleep(3.0)
        self.deployment.unregister(replica.server_id)
        await trio.sleep(BACK_AFTER_S - 3.0)
        await self.add()

    async def send(self, number: int, *, is_harmful: bool) -> None:
        self._sent += 1
        name = f"{'harmful' if is_harmful else 'sound'}-{self._sent}"
        parts = f"a0,{PART if is_harmful else 'c0'},e{self._sent:x}"
        await self.deployment.call(
            self.deployment.entries[number % ENTRIES],
            "/dichiarazione/x",
            name,
            body=name.encode(),
            time_left_s=10.0,
            prompt="5000,1292",
            parts=parts,
        )

    async def go_on(self, number: int, *, is_harmful: bool, pause_s: float) -> None:
        while True:
            self.deployment.nursery.start_soon(lambda: self.send(number, is_harmful=is_harmful))
            await trio.sleep(pause_s)

    async def run(self) -> int:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                for number in range(ENTRIES):
                    nursery.start_soon(
                        lambda n=number: self.go_on(n, is_harmful=False, pause_s=1.0)
                    )
                await trio.sleep(3.0)
                for count in ROUNDS:
                    for number in range(count):
                        self.deployment.nursery.start_soon(
                            lambda n=number: self.send(n, is_harmful=True)
                        )
                    await trio.sleep(ROUND_PAUSE_S)
                for number in range(ENTRIES):
                    nursery.start_soon(lambda n=number: self.go_on(n, is_harmful=True, pause_s=1.0))
                await trio.sleep(GO_ON_S)
                scope.cancel()
        return self.judge()

    def judge(self) -> int:
        record = self.deployment.record
        arrivals: list[tuple[ReceivedRequest, str]] = [
            (one, replica.server_id)
            for replica in self.deployment.replicas.values()
            for one in replica.received_requests
            if PART in one.parts
        ]
        arrivals.sort(key=lambda row: row[0].at_s)
        first: dict[str, float] = {}
        for one, sid in arrivals:
            if one.has_run and self.deployment.replicas[sid].has_crashed.is_set():
                first.setdefault(sid, one.at_s)
        crashes = sorted(first.values())
        base = trio.current_time() - record.now_s()
        for one, sid in arrivals:
            record.note(f"  {one.request_id} reached {sid} at {one.at_s - base:.3f} s")
        record.note(f"{len(crashes)} replicas crashed")
        if len(crashes) < FREE_CRASHES:
            return HELD
        since = crashes[FREE_CRASHES - 1] + STABLE_WINDOW_S
        late = [one for one, _ in arrivals if one.at_s > since]
        record.note(f"{len(late)} reached replicas later than 3 s after the fifth crash")
        return BROKEN if len(late) > FREE_SENDS else HELD


async def run(folder: Path, *, has_trouble: bool) -> int:
    async with trio.open_nursery() as nursery:
        deployment = Deployment(folder, nursery)
        try:
            await deployment.start_store(configuration())
            case = Case(deployment, has_trouble=has_trouble)
            for _ in range(REPLICAS):
                await case.add()
            await deployment.add_entries(ENTRIES)
            await trio.sleep(1.0)
            return await case.run()
        finally:
            deployment.end()
            nursery.cancel_scope.cancel()


def main() -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    return run_case(lambda: run(Path(__file__).parent, has_trouble=has_trouble))


if __name__ == "__main__":
    sys.exit(main())
