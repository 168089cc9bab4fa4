"""A request after which each replica goes dark, until it is back: it is sent on for ever.

Finding A of the report, not one of its cases. With TROUBLE=closed the replicas end with their
connections closed, with TROUBLE=0 the request harms nothing. Writes record.txt beside itself; needs
PYTHONPATH=target/deps:target/review:review.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import trio
from deployment import BROKEN, EXPIRY_S, HEARTBEAT_MS, HELD, Deployment, run_case

from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.replica import ReceivedRequest, Replica

HARMFUL = b'{"order": "harmful"}'
"""Body of the request that ends each replica that begins to run it."""

DEADLINE_S = 4.0
"""Deadline and time-out of the orders of the parlour's sheet (further/)."""

REPLICAS = 4
ENTRIES = 2

PAUSE_S = 3.0
"""The request comes again so often, at each entry in turn."""

TIMES = 12

BACK_AFTER_S = 6.0
"""How long after its end a replica is back, as a new incarnation with a new id."""

STABLE_WINDOW_S = 3.0
FREE_CRASHES = 3
FREE_RETRIES = 3
"""What rule BUDGET allows."""

SOUND_PAUSE_S = 0.5


def configuration() -> dict:
    """Return a configuration like that of the parlour's shop front."""
    routes = [
        make_route(
            "order-place", "non_idempotent", "desk", goalMs=400, timeoutMs=4000, maxAttempts=2
        ),
        make_route("stock-lookup", "idempotent", "desk", goalMs=400, timeoutMs=4000),
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    services = [{"name": "desk", "maxConns": 100}]
    return make_configuration(1, routes=routes, services=services, limits=limits)


class Platform:
    """What the platform does about replicas that end: their entries expire, and they come back."""

    def __init__(self, deployment: Deployment, *, is_dark: bool) -> None:
        self._deployment = deployment
        self._is_dark = is_dark
        self._count = 0

    async def add(self) -> None:
        """Start a replica under a new id."""
        self._count += 1
        replica = await self._deployment.add_replica(
            f"i-desk-{self._count}",
            "desk",
            crashing_bodies={HARMFUL} if self._is_dark is not None else (),
            crashes_silently=bool(self._is_dark),
        )
        self._deployment.nursery.start_soon(self._replace, replica)

    async def _replace(self, replica: Replica) -> None:
        """Remove the entry after three heartbeat intervals of silence, then start it anew."""
        started_s = trio.current_time()
        await replica.has_crashed.wait()
        how = "goes dark" if self._is_dark else "ends, its connections are closed"
        self._deployment.record.note(f"replica {replica.server_id} {how}")
        ended_s = trio.current_time()
        since_heartbeat_s = (ended_s - started_s) % (HEARTBEAT_MS / 1000)
        await trio.sleep(EXPIRY_S - since_heartbeat_s)
        self._deployment.unregister(replica.server_id)
        await trio.sleep_until(ended_s + BACK_AFTER_S)
        await self.add()


async def run(folder: Path, *, is_dark: bool | None) -> int:
    """Run the case; return its exit code."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(folder, nursery)
        try:
            await deployment.start_store(configuration())
            platform = Platform(deployment, is_dark=is_dark)
            for _ in range(REPLICAS):
                await platform.add()
            await deployment.add_entries(ENTRIES)
            await trio.sleep(1.0)
            async with trio.open_nursery() as callers:
                callers.start_soon(send_sound, deployment)
                for number in range(TIMES):
                    entry = deployment.entries[number % ENTRIES]
                    callers.start_soon(send, deployment, entry, f"harmful-{number}", HARMFUL)
                    await trio.sleep(PAUSE_S)
            return judge(deployment)
        finally:
            deployment.end()
            nursery.cancel_scope.cancel()


async def send(deployment: Deployment, entry, request_id: str, body: bytes) -> None:
    """Send an order."""
    await deployment.call(
        entry, "/order-place/x", request_id, body=body, time_left_s=DEADLINE_S + 0.5
    )


async def send_sound(deployment: Deployment) -> None:
    """Send sound look-ups beside the harmful orders."""
    for number in range(int(TIMES * PAUSE_S / SOUND_PAUSE_S)):
        entry = deployment.entries[number % ENTRIES]
        await deployment.call(
            entry, "/stock-lookup/x", f"sound-{number}", method="GET", body=b"", time_left_s=4.0
        )
        await trio.sleep(SOUND_PAUSE_S)


def judge(deployment: Deployment) -> int:
    """Count the sends after the third crash, as rule BUDGET does."""
    deployment.note_runs()
    record = deployment.record
    arrivals: list[tuple[ReceivedRequest, str]] = [
        (one, replica.server_id)
        for replica in deployment.replicas.values()
        for one in replica.received_requests
        if one.request.body == HARMFUL
    ]
    arrivals.sort(key=lambda row: row[0].at_s)
    first_s: dict[str, float] = {}
    for one, server_id in arrivals:
        if one.has_run and deployment.replicas[server_id].has_crashed.is_set():
            first_s.setdefault(server_id, one.at_s)
    crashes_s = sorted(first_s.values())
    record.note(f"{len(arrivals)} harmful requests reached replicas; {len(crashes_s)} crashed")
    if len(crashes_s) < FREE_CRASHES:
        return HELD
    since_s = crashes_s[FREE_CRASHES - 1] + STABLE_WINDOW_S
    late = [one.request_id for one, _ in arrivals if one.at_s > since_s]
    record.note(
        f"later than {STABLE_WINDOW_S:g} s after the third crash, {len(late)} reached replicas "
        f"({FREE_RETRIES} allowed): {', '.join(late)}"
    )
    return BROKEN if len(late) > FREE_RETRIES else HELD


def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1")
    is_dark = {"0": None, "closed": False}.get(trouble, True)
    return run_case(lambda: run(Path(__file__).parent, is_dark=is_dark))


if __name__ == "__main__":
    sys.exit(main())
