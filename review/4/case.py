"""Case 4: a replica leaves while the two entries that follow the store have just lost power."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (  # noqa: E402
    DRAIN_S,
    STABLE_WINDOW_S,
    Answer,
    CaseNotRunError,
    Deployment,
    Record,
    Sent,
    make_configuration,
    make_route,
    run_case,
    send_request,
)

ENTRIES = 4
"""Machines of the class `edge` of a small deployment."""

REPLICAS = 4
"""One of them leaves: a share of 0.25, the largest of `scale_in` at the site."""

DARK_S = 3.5
"""Time without power; `node_kill` of the site has as much."""

LEAVES_AFTER_S = 0.2
"""Time from the loss of power to the removal of the replica's entry."""

LINGERS_S = 0.4
"""How much longer than `drainMs` the replica serves before it exits: a little."""

INTERVAL_S = 0.025
WORK_S = 0.09


class Traffic:
    """Clients' requests that may run once at most, at the nodes that are in."""

    def __init__(self, deployment: Deployment) -> None:
        self.nodes = list(deployment.entries)
        self.sent: list[Sent] = []
        self.answers: dict[str, Answer] = {}
        self._deployment = deployment
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send())
                await asyncio.sleep(INTERVAL_S)

    async def _send(self) -> None:
        node = random.choice(self.nodes)
        attempt_id = f"{next(self._numbers):08x}"
        self.sent.append(Sent(attempt_id, node.name, time.monotonic()))
        headers = {"Attempt-Id": attempt_id, "Deadline-Ms": "3000"}
        path = f"/valico/{attempt_id}"
        answer = await send_request(node.front, "POST", path, headers, b"parcel", 4.0)
        self.answers[attempt_id] = answer


async def run(record: Record, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    deployment = Deployment(record, ENTRIES)
    try:
        leaving, *_ = deployment.add_replicas("banco", REPLICAS, WORK_S)
        await deployment.start(
            make_configuration([make_route("valico", "non_idempotent", "banco")])
        )
        traffic = Traffic(deployment)
        sending = asyncio.create_task(traffic.run())
        await asyncio.sleep(STABLE_WINDOW_S + 2.0)
        watchers = deployment.store.watchers()
        dark = [entry for entry in deployment.entries if entry.name in watchers]
        record.write(f"follow the store: {', '.join(sorted(watchers))}")
        if not 0 < len(dark) < ENTRIES:
            raise CaseNotRunError("not some of the entries follow the store")
        if has_trouble:
            traffic.nodes = [one for one in deployment.entries if one not in dark]
            for entry in dark:
                entry.kill()
            record.write(f"lose power: {', '.join(one.name for one in dark)}")
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving.leave_store()
        acknowledged_s = time.monotonic()
        record.write(f"{leaving.replica_id} is leaving: its entry is removed, acked by the store")
        await asyncio.sleep(DRAIN_S + LINGERS_S)
        leaving.end()
        record.write(f"{leaving.replica_id} exits")
        if has_trouble:
            await asyncio.sleep(max(0.0, DARK_S - LEAVES_AFTER_S - DRAIN_S - LINGERS_S))
            for entry in dark:
                entry.start()
        await asyncio.sleep(1.0)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await asyncio.sleep(0.2)
        return _judge(deployment, traffic, leaving.replica_id, acknowledged_s)
    finally:
        deployment.end()


def _judge(
    deployment: Deployment, traffic: Traffic, leaving_id: str, acknowledged_s: float
) -> bool:
    """Record what was sent, answered and run; return whether the rule was broken."""
    record = deployment.record
    sent = {one.attempt_id: one for one in traffic.sent}
    late = []
    for arrival in deployment.arrivals:
        request = sent[arrival.attempt_id]
        age_s = arrival.at_s - acknowledged_s
        ran = "runs" if arrival.has_run else "421"
        answer = traffic.answers.get(arrival.attempt_id)
        status = answer.status if answer else "none"
        record.write(
            f"{arrival.attempt_id} by {request.node} reaches {arrival.replica_id} "
            f"{age_s:+.3f} s from the ack, {ran}; the client gets {status}",
            is_shown=False,
        )
        if arrival.replica_id == leaving_id and arrival.has_run and age_s > DRAIN_S:
            late.append((arrival, status))
    lost = sum(not arrival.has_answered for arrival, _ in late)
    record.write(f"{len(traffic.sent)} requests sent, {len(deployment.arrivals)} reached replicas")
    for arrival, status in late:
        record.write(
            f"{arrival.attempt_id} by {sent[arrival.attempt_id].node} reached {leaving_id} "
            f"{arrival.at_s - acknowledged_s:.3f} s after the ack; the client got {status}"
        )
    record.write(
        f"{len(late)} requests reached {leaving_id} later than {DRAIN_S:.0f} s after the ack; "
        f"{lost} of them were cut when it exited"
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
