"""An entry of another writer, then limits of the plain servers: two of three processes end.

Finding C of the report, not one of its cases: it takes two disruptions. The entry under `servers/`
names a service by a text that can't be encoded (a lone surrogate, as JSON allows); it is the only
thing wrong. With TROUBLE=0 it isn't written. Writes record.txt beside itself; needs
PYTHONPATH=target/deps:target/review:review.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import trio
from deployment import BROKEN, HELD, Deployment, run_case

from sassafrastally.stand_ins.documents import make_configuration

ENTRIES = 3
DESKS = 3
CALLERS = 12
LIMIT_PER_S = 3.0


async def run(folder: Path, *, has_trouble: bool) -> int:
    """Run it; return its exit code."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(folder, nursery)
        try:
            await deployment.start_store(make_configuration(1))
            for number in range(DESKS):
                await deployment.add_replica(f"i-desk-{number}", "desk", work_s=0.02)
            await deployment.add_entries(ENTRIES)
            await trio.sleep(4.0)
            await play(deployment, has_trouble=has_trouble)
            return judge(deployment)
        finally:
            deployment.end()
            nursery.cancel_scope.cancel()


async def play(deployment: Deployment, *, has_trouble: bool) -> None:
    """Let callers ask; write the entry, then let the servers name their limits."""
    with trio.move_on_after(10.0):
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(keep_asking, deployment, number)
            await trio.sleep(1.0)
            if has_trouble:
                fields = json.loads(next(iter(deployment.replicas.values())).entry())
                value = json.dumps({**fields, "service": "\ud800x"})
                deployment.store.put("servers/foreign", value.encode())
                deployment.record.note("another writer wrote an entry under servers/")
            await trio.sleep(2.0)
            for replica in deployment.replicas.values():
                replica.most_per_s = LIMIT_PER_S
            deployment.record.note(f"each plain server names Server-Limit {LIMIT_PER_S:g}")


async def keep_asking(deployment: Deployment, number: int) -> None:
    """Send look-ups one after the other to one entry."""
    entry, count = deployment.entries[number % ENTRIES], 0
    while entry.is_running():
        count += 1
        await deployment.call(entry, "/look/x", f"look-{number}-{count}", time_left_s=4.0)
        await trio.sleep(0.02)


def judge(deployment: Deployment) -> int:
    """Tell which processes have ended, and what was lost with them."""
    reached = {
        one.request_id
        for replica in deployment.replicas.values()
        for one in replica.received_requests
    }
    lost = [one for one in deployment.answers if not one.is_whole and one.request_id in reached]
    ended = [entry for entry in deployment.entries if not entry.is_running()]
    for entry in ended:
        lines = [one for one in entry.log_file.read_text().splitlines() if "Error" in one]
        deployment.record.note(f"entry {entry.number} ended: {lines[-1].strip(' |')}")
    deployment.record.note(f"{len(ended)} of {ENTRIES} processes ended; {len(lost)} lost with them")
    return BROKEN if ended else HELD


def main() -> int:
    """Run it; return its exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    return run_case(lambda: run(Path(__file__).parent, has_trouble=has_trouble))


if __name__ == "__main__":
    sys.exit(main())
