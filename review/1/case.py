"""A wrong byte in one replica's report ends the process of each entry that reads it."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import NamedTuple

import h11
import trio
from deployment import BROKEN, HELD, Deployment, Entry, run_case

from sassafrastally.core import Address
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.model import EngineProfile
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.documents import ENGINE, make_configuration, make_route
from sassafrastally.stand_ins.replica import Replica

ENTRIES = 3
ENGINES = 7
DESKS = 3

PACE = 1.412
"""`srv_slow`: one engine of seven (0.143, below its share of 0.15) is 1.4 times as slow (4 are
stated) while it may spoil answers, 5 s at most (6.5 s on the site)."""

GARBLING = 1
"""`garble`: the same engine; half of them are stated."""

SPOILED_SHARE = 0.02
"""`garble`: share of the engine's answers that is spoiled, as `fleetbench kinds` states it."""

SPOILED_FOR_S = 5.0
"""`garble`: for 5 s."""

CALM_S = 4.0
AFTER_S = 3.0

PLAIN_CONNECTIONS = 6
STREAM_CONNECTIONS = 20
"""Kept connections to each entry with plain requests, and with streams: all engines are used."""

DESK_WORK_S = 0.09
"""Work of a plain request on the sheet."""

FREE_LOSSES = 3


def configuration() -> dict:
    """Return a configuration like that of the crew booking deployment."""
    routes = [
        make_route(
            "consulta-rapida", "streaming", "engines", goalMs=300, gapGoalMs=250, timeoutMs=10000
        ),
        make_route(
            "aviso-cliente", "idempotent", "desk", goalMs=400, timeoutMs=3000, maxAttempts=2
        ),
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    services = [
        {"name": "engines", "maxConns": 264, "engine": ENGINE},
        {"name": "desk", "maxConns": 100},
    ]
    return make_configuration(1, routes=routes, services=services, limits=limits)


class SpoilingReplica(Replica):
    """An engine that spoils single reports: the point in the number of `pace` becomes an `e`."""

    def __init__(
        self, server_id: str, peers: dict[Address, Replica], profile: EngineProfile
    ) -> None:
        super().__init__(server_id, "engines", peers, profile)
        self.is_spoiling = False
        self.spoiled = 0
        self.answered_until_spoiled = 0
        self._begun_with = 0
        self.on_spoiled = trio.Event()

    def _report(self) -> bytes:
        report = super()._report()
        if self.is_spoiling and SPOILED_SHARE * self.answered() >= 1:
            self.is_spoiling = False
            self.spoiled += 1
            self.answered_until_spoiled = self.answered()
            self.on_spoiled.set()
            return report.replace(b'"pace": 1.412', b'"pace": 1e412')
        return report

    def begin(self) -> None:
        """Begin to be slow and to spoil."""
        self.set_pace(PACE)
        self.is_spoiling = True
        self._begun_with = len(self.call_times_s)

    def set_pace(self, pace: float) -> None:
        """Work at a pace, 1 being the usual one."""
        assert self.engine is not None
        self.engine.pace = pace

    def answered(self) -> int:
        """Return the engine's answers since the begin, reports included."""
        return len(self.call_times_s) - self._begun_with


class Request(NamedTuple):
    """A request on a kept connection, and what its caller got."""

    request_id: str
    entry: int
    sent_s: float
    ended_s: float
    status: int
    is_whole: bool


class Callers:
    """Callers that send one request after the other on connections that they keep."""

    def __init__(self, deployment: Deployment) -> None:
        self.requests: list[Request] = []
        self._deployment = deployment
        self._count = 0

    async def keep_asking(self, entry: Entry, path: str, prompt: str | None) -> None:
        """Send requests on one connection until it ends."""
        connection = HttpStream(await connect(entry.address, 1.0), h11.CLIENT)
        record, is_open = self._deployment.record, True
        try:
            while is_open:
                self._count += 1
                request_id = f"{path.strip('/').split('/')[0]}-{self._count}"
                sent_s = record.now_s()
                fields = request_fields(
                    prompt=prompt, request_id=request_id, time_left_s=10.0 if prompt else 3.0
                )
                body = request_id.encode()
                answer = await exchange_on(connection, "POST", path, fields, body)
                self.requests.append(
                    Request(
                        request_id,
                        entry.number,
                        sent_s,
                        record.now_s(),
                        answer.status,
                        answer.is_whole,
                    )
                )
                record.note(
                    f"{request_id} at entry {entry.number}, sent {sent_s:.3f} s: "
                    f"status {answer.status or 'none'}, {len(answer.body)} bytes, "
                    f"{'whole' if answer.is_whole else 'the connection was closed'}"
                )
                is_open = answer.is_whole and connection.http.our_state is h11.DONE
                if is_open:
                    connection.http.start_next_cycle()
                if answer.status == 503:
                    await trio.sleep(float(answer.headers.get("retry-after", "0")))
        except ConnectionLost:
            record.note(f"a kept connection to entry {entry.number} was closed between requests")
        finally:
            await connection.close()


async def run(folder: Path, *, has_trouble: bool) -> int:
    """Run the case; return its exit code."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(folder, nursery)
        try:
            document = configuration()
            await deployment.start_store(document)
            faulty = await start_replicas(deployment)
            await deployment.add_entries(ENTRIES)
            await trio.sleep(1.0)
            return await play(deployment, faulty, has_trouble=has_trouble)
        finally:
            deployment.end()
            nursery.cancel_scope.cancel()


async def start_replicas(deployment: Deployment) -> SpoilingReplica:
    """Start all replicas; return the faulty one."""
    for number in range(1, ENGINES):
        await deployment.add_replica(f"i-engine-{number}", "engines")
    for number in range(DESKS):
        await deployment.add_replica(f"i-desk-{number}", "desk", work_s=DESK_WORK_S)
    value = deployment.store.value("op/config") or b""
    profile = PlatformDialect().decode_configuration(value).services["engines"].engine
    assert profile is not None
    faulty = SpoilingReplica("i-engine-0", deployment.peers, profile)
    await deployment.register(faulty)
    return faulty


async def play(deployment: Deployment, faulty: SpoilingReplica, *, has_trouble: bool) -> int:
    """Let callers ask, let the faulty replica spoil a report, and judge what callers got."""
    record, callers = deployment.record, Callers(deployment)
    async with trio.open_nursery() as nursery:
        for entry in deployment.entries:
            for _ in range(PLAIN_CONNECTIONS):
                nursery.start_soon(callers.keep_asking, entry, "/aviso-cliente/x", None)
            for _ in range(STREAM_CONNECTIONS):
                nursery.start_soon(callers.keep_asking, entry, "/consulta-rapida/x", "500,34")
        await trio.sleep(CALM_S)
        if has_trouble:
            record.note(f"from now on, replica {faulty.server_id} is slow and may spoil an answer")
            faulty.begin()
        with trio.move_on_after(SPOILED_FOR_S):
            await faulty.on_spoiled.wait()
            record.note(f"replica {faulty.server_id} spoiled a report: a wrong byte in its pace")
        faulty.is_spoiling = False
        faulty.set_pace(1.0)
        await trio.sleep(AFTER_S)
        ended = [entry for entry in deployment.entries if not entry.is_running()]
        running = [entry.number for entry in deployment.entries if entry.is_running()]
        nursery.cancel_scope.cancel()
    for entry in ended:
        lines = [one for one in entry.log_file.read_text().splitlines() if "Error" in one]
        assert entry.process is not None
        record.note(
            f"entry {entry.number} ended by itself, exit code {entry.process.returncode}: "
            f"{lines[-1].strip(' |') if lines else 'no error logged'}"
        )
    record.note(f"still running: entries {running}")
    return judge(deployment, callers, faulty, has_trouble=has_trouble)


def judge(
    deployment: Deployment, callers: Callers, faulty: SpoilingReplica, *, has_trouble: bool
) -> int:
    """Count the requests that were passed on to sound replicas and never answered."""
    record = deployment.record
    if has_trouble:
        answered = faulty.answered_until_spoiled or faulty.answered()
        record.note(
            f"{faulty.spoiled} of the engine's {answered} answers spoiled, "
            f"at {GARBLING} of {ENGINES} engines"
        )
    passed_on = {
        one.request_id
        for replica in deployment.replicas.values()
        if replica is not faulty
        for one in replica.received_requests
    }
    cut = [one for one in callers.requests if not one.is_whole and one.request_id in passed_on]
    lost = [one for one in cut if one.status == 0]
    for one in lost:
        record.note(f"LOST: {one.request_id}, passed on to a sound replica, got no answer at all")
    record.note(
        f"{len(callers.requests)} requests on kept connections; {len(lost)} passed on to sound "
        f"replicas and lost ({FREE_LOSSES} allowed), {len(cut) - len(lost)} more cut midway"
    )
    return BROKEN if len(lost) > FREE_LOSSES else HELD


def main() -> int:
    """Run the case; return its exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    return run_case(lambda: run(Path(__file__).parent, has_trouble=has_trouble))


if __name__ == "__main__":
    sys.exit(main())
