"""SIGTERM of an entry at which requests wait for room: they get no answer at all."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import trio
from deployment import BROKEN, HELD, Answer, Deployment, run_case

from sassafrastally.stand_ins.documents import make_configuration, make_route

ENGINE = {
    "slots": 6,
    "kvCapacity": 382_500,
    "stride": 52,
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "hopMs": 0.1,
}
"""Engine of the refund desk's deployment (demands/)."""

PROMPT = "300000,832"
"""Token counts of one dossier of its sheet: 16 events of 52 tokens."""

DEADLINE_S = 15.0

CALM_S = 4.0
"""Time from the start of the entries, longer than `stableWindowMs`."""

REPLICAS = 2
DOSSIERS = 4
FIRST_AT_S = 0.6
PAUSE_S = 0.4
"""Callers send dossiers from 0.6 to 1.8 s after the SIGTERM: the balancer asks once a second
whether an entry is ready, and takes it out after two misses."""

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
LATE_WORK_S = GRACE_S * 5 / 6
"""The last sixth of `graceS` begins."""


def configuration() -> dict:
    """Return a configuration like that of the refund desk's deployment."""
    routes = [
        make_route("counter-query", "streaming", "engines", goalMs=250, gapGoalMs=200, priority=0),
        make_route(
            "invoice-review", "streaming", "engines", goalMs=1500, gapGoalMs=500, priority=1
        ),
        make_route(
            "dossier-audit",
            "streaming",
            "engines",
            goalMs=8000,
            gapGoalMs=800,
            timeoutMs=15000,
            priority=2,
        ),
    ]
    services = [{"name": "engines", "maxConns": 458, "engine": ENGINE}]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return make_configuration(1, routes=routes, services=services, limits=limits)


async def run(folder: Path, *, has_trouble: bool) -> int:
    """Run the case; return its exit code."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(folder, nursery)
        try:
            await deployment.start_store(configuration())
            for number in range(REPLICAS):
                await deployment.add_replica(f"i-engine-{number}", "engines")
            await deployment.add_entries(2)
            await trio.sleep(CALM_S)
            return await judge(deployment, has_trouble=has_trouble)
        finally:
            deployment.end()
            nursery.cancel_scope.cancel()


async def judge(deployment: Deployment, *, has_trouble: bool) -> int:
    """Let callers send dossiers, stop the entry that has them, and judge the answers."""
    entry, record = deployment.entries[0], deployment.record
    sigterm_s = record.now_s()
    async with trio.open_nursery() as callers:
        for number in range(DOSSIERS):
            callers.start_soon(send, deployment, number)
        if has_trouble:
            record.note(f"SIGTERM to entry {entry.number}, which has graceS ({GRACE_S:g} s) left")
            entry.signal(signal.SIGTERM)
            while entry.is_running():
                await trio.sleep(0.01)
            record.note(f"entry {entry.number} ended, exit code {entry.process.returncode}")
    deployment.note_runs()
    lost = [one for one in deployment.answers if is_lost(deployment, one, sigterm_s)]
    for one in lost:
        record.note(f"LOST: {one.request_id} was read and never answered; no replica had it")
    record.note(f"{len(lost)} of {len(deployment.answers)} requests lost")
    return BROKEN if lost else HELD


async def send(deployment: Deployment, number: int) -> None:
    """Send one dossier in its turn."""
    await trio.sleep(FIRST_AT_S + number * PAUSE_S)
    await deployment.call(
        deployment.entries[0],
        "/dossier-audit/x",
        f"dossier-{number}",
        body=f"dossier {number}".encode(),
        time_left_s=DEADLINE_S,
        prompt=PROMPT,
    )


def is_lost(deployment: Deployment, answer: Answer, sigterm_s: float) -> bool:
    """Return whether rule LOST counts a request.

    Its connection ended without a complete answer, later than `lossSlackMs` after its last byte,
    until 1 s after `graceS`, and before its deadline. A request that some replica had is left out:
    the replica may have been at work in the last sixth of `graceS`.
    """
    was_cut = not answer.is_whole and answer.ended_s - answer.sent_s > LOSS_SLACK_S
    is_in_time = answer.ended_s - answer.sent_s < DEADLINE_S - 0.5
    is_around = sigterm_s - DEADLINE_S < answer.sent_s <= sigterm_s + 3.0
    is_around = is_around and sigterm_s <= answer.ended_s <= sigterm_s + GRACE_S + 1.0
    reached = any(
        one.request_id == answer.request_id
        for replica in deployment.replicas.values()
        for one in replica.received_requests
    )
    return was_cut and is_in_time and is_around and not reached


def main() -> int:
    """Run the case; return its exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    return run_case(lambda: run(Path(__file__).parent, has_trouble=has_trouble))


if __name__ == "__main__":
    sys.exit(main())
