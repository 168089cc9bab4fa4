"""A small deployment on loopback addresses: entries as processes, stand-ins around them.

The entries are started with the command of the deploy file. The store and the backend servers are
the project's stand-ins and run in this process, as the callers do.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import h11
import trio

from sassafrastally.core import Address
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import request_fields, send_request
from sassafrastally.stand_ins.metadata_store import MetadataStore
from sassafrastally.stand_ins.replica import Replica

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ("python3", "-S", "-P", "target/deps/sassafrastally/platform/__main__.py")
DEPS = "target/deps"

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
"""Exit codes of a case."""

HEARTBEAT_MS = 1200
"""`beatIntervalMs` of the deployments' settings."""

EXPIRY_S = 3 * HEARTBEAT_MS / 1000
"""Silence of a replica after which its entry is removed: three heartbeat intervals."""

READY_LIMIT_S = 20.0

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerBoundMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraTries": 102,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "releaseMs": 4000,
    "idleMaxMs": 9000,
}
"""`bounds` of a small deployment."""


class Answer(NamedTuple):
    """What a caller got for one request."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    """0 if the connection ended before any status."""
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    end: str
    """How it ended."""


class Record:
    """Writes what was sent, answered and run to record.txt beside the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._begin_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the begin of the case."""
        return time.monotonic() - self._begin_s

    def note(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


class Entry:
    """One process of the project, with its own loopback address."""

    def __init__(self, number: int, host: str, settings: dict[str, Any], folder: Path) -> None:
        self.number = number
        self.host = host
        self.settings = settings
        host_and_port = settings["listen"]["front"].rpartition(":")
        self.address = Address(host_and_port[0], int(host_and_port[2]))
        ready = settings["listen"]["readiness"].rpartition(":")
        self.ready_address = Address(ready[0], int(ready[2]))
        self.log_file = folder / f"entry-{number}.log"
        self._settings_file = folder / f"entry-{number}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._settings_file.write_text(json.dumps(self.settings))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": DEPS,
            "SASSAFRASTALLY_CONFIG": str(self._settings_file),
        }
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [*COMMAND, str(self.address)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process, if it lives, and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the structured log lines written so far."""
        lines = []
        for line in self.log_file.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Deployment:
    """Store, backend servers, entries and callers."""

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        self.record = Record(folder)
        self.store = MetadataStore()
        self.replicas: dict[str, Replica] = {}
        self.entries: list[Entry] = []
        self.answers: list[Answer] = []
        self.peers: dict[Address, Replica] = {}
        self.nursery = nursery
        self.document: dict[str, Any] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        net = random.SystemRandom()
        self._net = f"127.{net.randrange(30, 220)}.{net.randrange(1, 250)}"
        self._base_port = net.randrange(20_000, 30_000)

    async def start_store(self, document: dict[str, Any]) -> None:
        """Start the store and write the first configuration."""
        host = f"{self._net}.1"
        self._store_address = Address(host, await self.store.start(host, self.nursery))
        self.configure(document)

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.document = document
        self.store.put("op/config", json.dumps(document).encode())

    async def add_replica(self, server_id: str, service: str, **attributes: Any) -> Replica:
        """Start a backend server, with attributes of the stand-in, and register it."""
        profile = None
        decoded = PlatformDialect().decode_configuration(json.dumps(self.document).encode())
        if decoded.services[service].engine is not None:
            profile = decoded.services[service].engine
        replica = Replica(server_id, service, self.peers, profile, data_centre="here")
        for name, value in attributes.items():
            setattr(replica, name, value)
        await self.register(replica)
        return replica

    async def register(self, replica: Replica) -> None:
        """Start a backend server and register it."""
        await replica.start(f"{self._net}.2", self.nursery)
        self.replicas[replica.server_id] = replica
        self.store.put(f"servers/{replica.server_id}", replica.entry())
        name = f"{replica.server_id} ({replica.service})"
        self.record.note(f"replica {name} registered at {replica.address}")

    def unregister(self, server_id: str) -> None:
        """Remove a replica's entry from the store."""
        self.store.remove(f"servers/{server_id}")
        self.record.note(f"the store removed the entry of replica {server_id}")

    async def add_entries(self, count: int) -> None:
        """Start entries and wait until each says that it is ready."""
        for number in range(1, count + 1):
            host = f"{self._net}.{100 + number}"
            entry = Entry(number, host, self._settings(number, host), self._folder)
            self.entries.append(entry)
            entry.start()
        with trio.fail_after(READY_LIMIT_S):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await trio.sleep(0.1)
        self.record.note(f"{count} entries are ready")

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry answers GET /readyz with 200."""
        try:
            connection = HttpStream(await connect(entry.ready_address, 1.0), h11.CLIENT)
        except ConnectionLost:
            return False
        try:
            with trio.move_on_after(1.0):
                await send_request(connection, "GET", "/readyz", {"Host": entry.host}, b"")
                return (await _read(connection)).status == 200
        except ConnectionLost:
            return False
        finally:
            await connection.close()
        return False

    async def call(
        self,
        entry: Entry,
        path: str,
        request_id: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        time_left_s: float = 10.0,
        prompt: str | None = None,
        parts: str | None = None,
        gives_up_s: float | None = None,
    ) -> Answer:
        """Send a request on a new connection, and read its answer to the end."""
        fields = request_fields(
            prompt=prompt, request_id=request_id, time_left_s=time_left_s, parts=parts
        )
        sent_s = self.record.now_s()
        self.record.note(f"client sends {request_id} {method} {path} to entry {entry.number}")
        try:
            connection = HttpStream(await connect(entry.address, 1.0), h11.CLIENT)
        except ConnectionLost:
            return self._ended(Answer(request_id, sent_s, 0.0, 0, {}, b"", False, "refused"))
        read = _Read(0, {}, b"", False, "the client gave up")
        try:
            with trio.move_on_after(time_left_s if gives_up_s is None else gives_up_s):
                await send_request(connection, method, path, fields, body)
                read = await _read(connection)
        except ConnectionLost:
            read = _Read(0, {}, b"", False, "reset while sending")
        finally:
            await connection.close()
        return self._ended(Answer(request_id, sent_s, 0.0, *read))

    def _ended(self, answer: Answer) -> Answer:
        answer = answer._replace(ended_s=self.record.now_s())
        self.answers.append(answer)
        reason = _problem(answer.body)
        self.record.note(
            f"client got for {answer.request_id}: status {answer.status or 'none'}, "
            f"{len(answer.body)} bytes, {answer.end}{reason}"
        )
        return answer

    def note_runs(self) -> None:
        """Write what reached the replicas."""
        received = [
            (one.at_s, replica.server_id, one)
            for replica in self.replicas.values()
            for one in replica.received_requests
        ]
        self.record.note("what reached the replicas, in order:")
        for _, server_id, one in sorted(received, key=lambda row: row[0]):
            state = "ran" if one.has_run else "not run"
            ended = "answered whole" if one.finished_s is not None else "no whole answer"
            self.record.note(f"  {one.request_id} at {server_id}: {state}, {ended}")

    def end(self) -> None:
        """End the processes that were started here, and remove the temporary folder."""
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _settings(self, number: int, host: str) -> dict[str, Any]:
        port = self._base_port
        return {
            "node": f"entry-{number}",
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": "here",
            "region": "home",
            "zones": {"here": "home"},
            "listen": {"front": f"{host}:{port}", "readiness": f"{host}:{port + 1}"},
            "internalPorts": [port + 2, port + 9],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": HEARTBEAT_MS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": str(self._store_address),
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }


class _Read(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    end: str


async def _read(connection: HttpStream) -> _Read:
    """Read one answer; tell how it ended."""
    status, fields, body = 0, {}, b""
    try:
        while True:
            event = await connection.receive()
            if isinstance(event, h11.Response):
                status = event.status_code
                fields = {
                    name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return _Read(status, fields, body, True, "whole")
            elif isinstance(event, h11.ConnectionClosed):
                return _Read(status, fields, body, False, "the connection was closed")
    except (h11.RemoteProtocolError, ConnectionLost):
        return _Read(status, fields, body, False, "the connection was closed or reset")


def _problem(body: bytes) -> str:
    """Return the detail of a refusal or failure of the project's own."""
    with contextlib.suppress(ValueError, AttributeError, KeyError, TypeError):
        problem = json.loads(body)
        return f" ({problem['type'].rpartition('/')[2]}: {problem['detail']})"
    return ""


def run_case(case: Callable[[], Awaitable[int]]) -> int:
    """Run a case and return its exit code; a case that fails by itself couldn't run."""
    if not can_run():
        return CANNOT_RUN
    try:
        return trio.run(case)
    except Exception:
        traceback.print_exc()
        return CANNOT_RUN


def can_run() -> bool:
    """Return whether the builds have run and loopback addresses can be used."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.30.1.1", 0))
        except OSError:
            return False
    return (ROOT / DEPS / "sassafrastally/platform/__main__.py").exists()
