"""Stand-ins of the platform for the scripts of the second review: store, replicas, clients.

A script runs the project's entries as separate processes by the command of the deploy file, each on
a loopback address of its own. The other parts run in the script's process.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
ENTRY = "target/deps/sassafrastally/platform/__main__.py"

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, the rule was broken, the case couldn't run."""

HOST_NAME = "front.example"
TENANT = "ana"
API_KEY = "key-of-ana"
ZONE = "sondrio"
METRICS_PORT = 9464

BEAT_S = 1.2
LAPSE_BEATS = 3
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
HISTORY_S = 20.0

BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": int(STABLE_WINDOW_S * 1000),
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": int(DRAIN_S * 1000),
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerBoundMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraTries": 104,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "releaseMs": 4000,
    "idleMaxMs": 9000,
}
"""Bounds of the deployment amcp-sondrio."""

ENGINE: dict[str, Any] = {
    "slots": 8,
    "kvCapacity": 405_000,
    "stride": 34,
    "step_ms": 1.31,
    "per_seq_ms": 0.0018,
    "context_per_k": 0.00213,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "hopMs": 0.1,
}

Headers = dict[str, str]


class HttpMessage(NamedTuple):
    """A request or a response; the names of its headers are in lower case."""

    first_line: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


class Record:
    """What was sent, answered and run, in a file and on standard output.

    Parameters
    ----------
    file
        The file, which is replaced.
    """

    def __init__(self, file: Path) -> None:
        self._begin_s = time.monotonic()
        self._file = file.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the time since the begin."""
        return time.monotonic() - self._begin_s

    def write(self, text: str, *, is_shown: bool = True) -> None:
        """Write a line with the time."""
        line = f"{self.now_s():8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        if is_shown:
            print(line, flush=True)


async def read_message(reader: asyncio.StreamReader, *, has_body: bool = True) -> HttpMessage:
    """Read a request, or a response that has a length.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends before.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if not has_body:
        return HttpMessage(first_line, headers, b"")
    if "chunked" in headers.get("transfer-encoding", ""):
        return HttpMessage(first_line, headers, await _read_chunks(reader))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(first_line, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def encode_message(first_line: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request or a response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class StoreItem(NamedTuple):
    """An item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class StoreChange(NamedTuple):
    """A change of the store; without an item, the key was removed."""

    key: str
    revision: int
    item: StoreItem | None
    at_s: float


class Store:
    """The platform's metadata store: items, revisions, watches and leases.

    Each entry has a port of its own, by which the watchers are known.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.watch_called_s: dict[str, float] = {}
        """When each entry last called for changes."""
        self._items: dict[str, StoreItem] = {}
        self._history: list[StoreChange] = []
        self._leases: dict[int, tuple[float, float]] = {}
        """Time to live and end of each lease."""
        self._lease_id = 0
        self._changed = asyncio.Event()

    async def serve(self, host: str, caller: str) -> int:
        """Listen for the calls of one entry; return the port."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    status, body = await self._call(message, caller)
                    headers = {"Content-Type": "application/json", "Store-Era": "1"}
                    text = json.dumps(body).encode()
                    writer.write(encode_message(f"HTTP/1.1 {status} Answer", headers, text))
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(handle, host, 0)
        return int(server.sockets[0].getsockname()[1])

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item; the revision that is returned is the acknowledgement."""
        self.revision += 1
        known = self._items.get(key)
        item = StoreItem(value, self.revision, known.created if known else self.revision, lease)
        self._items[key] = item
        self._record(StoreChange(key, self.revision, item, time.monotonic()))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item, if there is one."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record(StoreChange(key, self.revision, None, time.monotonic()))

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, if there is one."""
        item = self._items.get(key)
        return item.value if item else None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def watchers(self, within_s: float = 1.5) -> set[str]:
        """Return the entries that follow the changes: each calls at least once a second."""
        now_s = time.monotonic()
        return {one for one, at_s in self.watch_called_s.items() if now_s - at_s < within_s}

    def _record(self, change: StoreChange) -> None:
        self._history.append(change)
        oldest_s = time.monotonic() - HISTORY_S
        while self._history[0].at_s < oldest_s:
            del self._history[0]
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        ended = {lease for lease, (_, end_s) in self._leases.items() if end_s <= now_s}
        for lease in ended:
            del self._leases[lease]
        for key in [key for key, item in self._items.items() if item.lease in ended]:
            self.remove(key)

    async def _call(self, message: HttpMessage, caller: str) -> tuple[int, dict[str, Any]]:
        self._expire_leases()
        _, target, _ = message.first_line.split(" ")
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/kv-watch":
            self.watch_called_s[caller] = time.monotonic()
            return await self._watch(query)
        if parts.path == "/kv-range":
            return self._range(query)
        body = json.loads(message.body or b"{}")
        if parts.path == "/kv-txn":
            return self._transact(body)
        if parts.path == "/kv-lease":
            self._lease_id += 1
            time_to_live_s = body["ttlMs"] / 1000
            self._leases[self._lease_id] = time_to_live_s, time.monotonic() + time_to_live_s
            return 200, {"lease": self._lease_id, "ttlMs": body["ttlMs"]}
        lease = int(parts.path.rpartition("/")[2]) if parts.path[-1:].isdigit() else 0
        if parts.path.startswith("/kv-keep/") and lease in self._leases:
            time_to_live_s, _ = self._leases[lease]
            self._leases[lease] = time_to_live_s, time.monotonic() + time_to_live_s
            return 200, {"ttlMs": int(time_to_live_s * 1000)}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = query.get("after", "")
        keys = sorted(key for key in self.keys(query["pathPrefix"]) if key > after)
        items = [_encode_item(key, self._items[key]) for key in keys[:500]]
        return 200, {"items": items, "morePages": len(keys) > 500, "currentRev": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query["pathPrefix"]
        oldest = self._history[0].revision if self._history else self.revision + 1
        if after < oldest - 1:
            return 410, {}
        ends_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                _encode_change(one)
                for one in self._history
                if one.revision > after and one.key.startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected", []):
            known = self._items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return 412, {"items": []}
        leases = {write.get("lease", 0) for write in body.get("writes", [])} - {0}
        if not leases <= self._leases.keys():
            return 404, {}
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def _encode_item(key: str, item: StoreItem) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _encode_change(change: StoreChange) -> dict[str, Any]:
    if change.item is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    return _encode_item(change.key, change.item)


class Arrival:
    """A request that reached a replica."""

    def __init__(self, replica_id: str, message: HttpMessage, at_s: float) -> None:
        self.replica_id = replica_id
        self.at_s = at_s
        self.message = message
        self.attempt_id = message.headers.get("attempt-id", "")
        self.has_run = False
        self.has_answered = False


class Replica:
    """A replica of a service, with its registration in the store.

    Parameters
    ----------
    replica_id, service, host
        Its id, its service and the address on which it listens.
    store
        Where it registers.
    arrivals
        Gets all requests that reach it, without reports and orders.
    work_s
        Time that a plain request takes, and the whole of a stream.
    events
        Number of events of its streams; 0 for a plain service.
    """

    def __init__(
        self,
        replica_id: str,
        service: str,
        host: str,
        store: Store,
        arrivals: list[Arrival],
        work_s: float,
        events: int = 0,
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.address = ""
        self.state = "ready"
        self.born_ms: int | None = None
        """Its start by the clock of its machine; ``None`` if its deployment doesn't publish it."""
        self.deadly_part = ""
        """Id of a prompt part that crashes it when it begins to write an answer."""
        self.on_crash: Callable[[Replica, Arrival], None] = lambda _replica, _arrival: None
        self._host = host
        self._store = store
        self._arrivals = arrivals
        self._work_s = work_s
        self._events = events
        self._seq_no = 0
        self._beats: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def key(self) -> str:
        """Key of its registration."""
        return f"servers/{self.replica_id}"

    async def start(self) -> None:
        """Listen, and register with heartbeats."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, self._host, port)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"
        self.state = "ready"
        self._beats = asyncio.create_task(self._beat())

    def successor(self, replica_id: str) -> Replica:
        """Return the next incarnation at the same address, with an id of its own."""
        successor = Replica(
            replica_id,
            self.service,
            self._host,
            self._store,
            self._arrivals,
            self._work_s,
            self._events,
        )
        successor.address = self.address
        successor.deadly_part = self.deadly_part
        successor.on_crash = self.on_crash
        return successor

    def register(self) -> None:
        """Write the registration."""
        self._seq_no += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self._seq_no,
        }
        if self.born_ms is not None:
            fields["born"] = self.born_ms
        self._store.put(self.key, json.dumps(fields).encode())

    def leave_store(self) -> None:
        """Remove the registration; it goes on serving."""
        self.stop_beats()
        self._store.remove(self.key)

    def stop_beats(self) -> None:
        """Send no heartbeat any more."""
        if self._beats is not None:
            self._beats.cancel()

    def end(self) -> None:
        """End its process: its port is closed and its connections are reset."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for task in self._handlers:
            task.cancel()
        for writer in self._writers:
            _reset(writer)
        self._handlers.clear()
        self._writers.clear()

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        self._writers.add(writer)
        try:
            while True:
                await self._answer(await read_message(reader), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._handlers.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, message: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _, target, _ = message.first_line.split(" ")
        if target == "/report":
            report: dict[str, Any] = {"stage": "unified", "running": 0, "queued": 0, "pace": 1.0}
            if self.born_ms is not None:
                report["born"] = self.born_ms
            _respond(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            return
        if target == "/order":
            _respond(writer, 200, {"Content-Type": "application/json"}, b"{}")
            return
        arrival = Arrival(self.replica_id, message, time.monotonic())
        self._arrivals.append(arrival)
        headers = {"Attempt-Id": arrival.attempt_id}
        if message.headers.get("expect-replica", self.replica_id) != self.replica_id:
            _respond(writer, 421, headers, b"")
            return
        arrival.has_run = True
        headers["Replica-Seal"] = f"seal.{self.replica_id}"
        if self._events:
            await self._stream(arrival, headers, reader, writer)
            return
        if await _is_left(reader, self._work_s):
            raise ConnectionError("the caller has left")
        _respond(writer, 200, headers, b"done by " + self.replica_id.encode())
        await writer.drain()
        arrival.has_answered = True

    async def _stream(
        self,
        arrival: Arrival,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        parts = arrival.message.headers.get("prompt-prefix", "").split(",")
        if self.deadly_part and self.deadly_part in {one.partition(":")[0] for one in parts}:
            self.on_crash(self, arrival)
            raise ConnectionError("the process has crashed")
        fields = {**headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(arrival.message.headers.get("last-event-id", "-1")) + 1
        for number in range(first, self._events):
            if await _is_left(reader, self._work_s / self._events):
                raise ConnectionError("the caller has left")
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        arrival.has_answered = True


async def _is_left(reader: asyncio.StreamReader, work_s: float) -> bool:
    """Work for some time; return whether the caller has closed its connection before the end."""
    ends_s = time.monotonic() + work_s
    while time.monotonic() < ends_s:
        await asyncio.sleep(min(0.01, max(0.0, ends_s - time.monotonic())))
        if reader.at_eof() or reader.exception() is not None:
            return True
    return False


def _respond(writer: asyncio.StreamWriter, status: int, headers: Headers, body: bytes) -> None:
    writer.write(encode_message(f"HTTP/1.1 {status} Answer", headers, body))


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with suppress(OSError, AttributeError):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Answer(NamedTuple):
    """How a client's request ended."""

    status: int
    """Status; 0 if the connection ended without a complete answer."""
    headers: Headers
    body: bytes
    detail: str = ""


class Sent(NamedTuple):
    """A client's request."""

    attempt_id: str
    node: str
    at_s: float


async def send_request(
    address: str, method: str, path: str, headers: Headers, body: bytes, time_s: float
) -> Answer:
    """Send a request on a new connection, as a client does."""
    host, _, port = address.rpartition(":")
    fields = {"Host": HOST_NAME, "Authorization": f"Bearer {API_KEY}", **headers}
    try:
        async with asyncio.timeout(time_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(encode_message(f"{method} {path} HTTP/1.1", fields, body))
                message = await read_message(reader)
                return Answer(message.status, message.headers, message.body)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as cause:
        return Answer(0, {}, b"", repr(cause))


class Entry:
    """An entry of the project as a process of its own.

    Parameters
    ----------
    number
        Its number, from 1.
    host
        Its loopback address.
    ports
        Ports of the callers, the readiness check and the other entries.
    folder
        Folder for its settings and its log.
    """

    def __init__(self, number: int, host: str, ports: tuple[int, int, int], folder: Path) -> None:
        self.name = f"edge-{ZONE}-{number}"
        self.host = host
        self.front = f"{host}:{ports[0]}"
        self.readiness = f"{host}:{ports[1]}"
        self.starts_s: list[float] = []
        """When its processes were started."""
        self._internal_port = ports[2]
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, store_address: str) -> None:
        """Write the settings file."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": ZONE,
            "region": "lombardia-nord",
            "zones": {ZONE: "lombardia-nord"},
            "listen": {"front": self.front, "readiness": self.readiness},
            "internalPorts": [self._internal_port, self._internal_port + 15],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {"memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": int(BEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {
                "address": store_address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": int(HISTORY_S),
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
        }
        self._settings.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {"PYTHONPATH": str(DEPS), "SASSAFRASTALLY_CONFIG": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-S", "-P", ENTRY, self.front],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.starts_s.append(time.monotonic())

    def kill(self) -> None:
        """Kill the process, as a loss of power does."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether it answers its readiness check with 200."""
        answer = await send_request(self.readiness, "GET", "/readyz", {}, b"", 0.5)
        return answer.status == 200

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return what it has logged of a kind."""
        lines = []
        for line in self._log.read_text(encoding="utf-8", errors="replace").splitlines():
            with suppress(ValueError):
                fields = json.loads(line)
                if fields.get("event") == event:
                    lines.append(fields)
        return lines


class Deployment:
    """A small deployment: a store, entries and replicas.

    Parameters
    ----------
    record
        Record of the case.
    entries
        Number of entries.
    """

    def __init__(self, record: Record, entries: int) -> None:
        self.record = record
        self.store = Store()
        self.arrivals: list[Arrival] = []
        self.replicas: dict[str, Replica] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        block = random.SystemRandom().randrange(16, 240)
        self._hosts = f"127.{block}.{random.SystemRandom().randrange(1, 250)}"
        self.platform_host = f"{self._hosts}.1"
        ports = _free_ports(f"{self._hosts}.10")
        self.entries = [
            Entry(number, f"{self._hosts}.{9 + number}", ports, self.folder)
            for number in range(1, entries + 1)
        ]

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store with a configuration, the replicas and the entries."""
        if not (ROOT / ENTRY).exists():
            raise CaseNotRunError("the build of the deploy file is missing")
        self.store.put("op/config", json.dumps(configuration).encode())
        for replica in self.replicas.values():
            await replica.start()
        for entry in self.entries:
            port = await self.store.serve(self.platform_host, entry.name)
            entry.write_settings(f"{self.platform_host}:{port}")
            entry.start()
        await self.wait_until_ready(self.entries)

    async def wait_until_ready(self, entries: list[Entry], time_s: float = 20.0) -> None:
        """Wait until entries are ready."""
        ends_s = time.monotonic() + time_s
        for entry in entries:
            while not await entry.is_ready():
                if time.monotonic() > ends_s:
                    raise CaseNotRunError(f"{entry.name} isn't ready after {time_s:.0f} s")
                await asyncio.sleep(0.05)

    def add_replicas(
        self, service: str, number: int, work_s: float, events: int = 0
    ) -> list[Replica]:
        """Add replicas of a service, which start with the deployment."""
        ids = (f"i-{service}-{one}" for one in range(number))
        return [self.add_replica(service, one, work_s, events) for one in ids]

    def add_replica(self, service: str, replica_id: str, work_s: float, events: int = 0) -> Replica:
        """Add a replica, which starts with the deployment."""
        host = f"{self._hosts}.{100 + len(self.replicas)}"
        replica = Replica(replica_id, service, host, self.store, self.arrivals, work_s, events)
        self.replicas[replica_id] = replica
        return replica

    def end(self) -> None:
        """End all processes, and remove the temporary folder unless it is to be kept."""
        for entry in self.entries:
            entry.kill()
        for replica in self.replicas.values():
            replica.end()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CaseNotRunError(Exception):
    """The case couldn't run."""


def _free_ports(host: str) -> tuple[int, int, int]:
    """Return three ports that are free at a host, which no other process uses."""
    first = random.SystemRandom().randrange(21_000, 30_000, 40)
    for port in (first, first + 1, first + 2, METRICS_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError as cause:
                raise CaseNotRunError(f"port {port} at {host} is in use") from cause
    return first, first + 1, first + 2


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 3000,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **fields,
    }


def make_configuration(routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with the services `lettori` (engines) and `banco`."""
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": "lettori", "maxConns": 274, "engine": ENGINE},
            {"name": "banco", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [API_KEY]}],
    }


def _report_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Report an error outside of the tasks; a connection that ends with the case is none."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def run_case(
    folder: Path, case: Callable[[Record, bool], Awaitable[bool]], time_s: float = 115.0
) -> int:
    """Run a case; return the exit code of its script.

    Parameters
    ----------
    folder
        Folder of the case, for its record.
    case
        Runs the case with or without the disruption; returns whether the rule was broken.
    time_s
        Longest time.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins {'with' if has_trouble else 'without'} the disruption")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Its processes are ended when the script is.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.set_exception_handler(_report_error)
        async with asyncio.timeout(time_s):
            return await case(record, has_trouble)

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as cause:
        # Not only `CaseNotRunError`: an error of the script says nothing about the rule.
        record.write(f"couldn't run: {cause!r}")
        return NOT_RUN
    record.write("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
