"""Benchmark of the relay in one entry process: tokens per second, CPU time, memory and latency.

The processes communicate over loopback TCP: callers that read streams, an entry with its real HTTP
server and links, and sidecars that emit tokens at a fixed rate. Run it without arguments.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from hashlib import sha256
from pathlib import Path
from statistics import quantiles
from typing import Any, ClassVar, NamedTuple

import trio

from sassafrastally.control.bundle import Bundle, BundleInForce, Customer, Model
from sassafrastally.control.interfaces import PeerLoad
from sassafrastally.core import Address, Kernel, Service, TcpNetwork
from sassafrastally.core.logs import configure_logs
from sassafrastally.core.secret import Secret
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.settings import EntrySettings, HttpSettings
from sassafrastally.serving import policies  # noqa: F401
from sassafrastally.stores.interfaces import VmState
from sassafrastally.wire.link import LinkCut, Stream, StreamEnded
from sassafrastally.wire.messages import Chunk, Commit, End, LoadReport, Message, Reserve, Reserved
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

HOST = "127.0.0.1"
HTTP_PORT, ENTRY_PORT, SIDECAR_PORT = 18_701, 18_702, 18_703
SIDECARS = 5
TOKEN_INTERVAL_S = 0.031
STARTUP_S = 3.0
EVENT = (
    b'data: {"id":"c","object":"chat.completion.chunk","choices":[{"delta":{"content":"w"}}]}\n\n'
)
SECRET = Secret("0123456789abcdef")
SMALL_BODY = b'{"model":"m","prompt":"A wall.","stream":true}'


class _Membership(Service):
    name: ClassVar[str] = "membership"

    def vms(self, role: str) -> list[VmState]:
        return [
            VmState(f"s{n}", "sidecar", "dc", "region", Address(HOST, SIDECAR_PORT + n))
            for n in range(SIDECARS)
        ]

    def is_leaving(self, vm: str) -> bool:
        return False

    def loads(self) -> list[PeerLoad]:
        report = LoadReport(models=("m",), free_blocks=10_000, total_blocks=10_000)
        return [PeerLoad(vm, report, trio.current_time()) for vm in self.vms("sidecar")]


class _Bundles(Service):
    name: ClassVar[str] = "bundle"
    in_force = BundleInForce(
        1,
        "d",
        Bundle("b", (Model("m", "1", 1_000_000),), (Customer("c", (sha256(b"k").hexdigest(),)),)),
    )


class Figures(NamedTuple):
    """Measurements by the callers."""

    tokens: int
    elapsed_s: float
    reads: int
    """Number of reads by the callers; fewer than tokens if several tokens arrive in one read."""
    first_ms: list[float]
    """Time to first data of each request, in milliseconds."""
    whole: int
    """Number of complete answers."""


def _peers(port: int, role: str) -> PeerService:
    return PeerService(
        PeerSettings(Address(HOST, port), SECRET, max_streams=2048), TcpNetwork(), role
    )


async def run_entry() -> None:
    """Run the entry until the process is terminated."""
    kernel = Kernel("e1", "dc")
    settings = EntrySettings(routing_policy="round-robin")
    kernel.add(_peers(ENTRY_PORT, "entry"))
    kernel.add(_Membership())
    kernel.add(_Bundles())
    kernel.add(RequestPath(settings))
    kernel.add(HttpService(HttpSettings(Address(HOST, HTTP_PORT)), settings))
    await kernel.run()


async def run_sidecar(number: int) -> None:
    """Run a sidecar until the process is terminated."""
    kernel = Kernel(f"s{number}", "dc")
    peers = kernel.add(_peers(SIDECAR_PORT + number, "sidecar"))

    async def serve(stream: Stream, message: Message) -> None:
        assert isinstance(message, Reserve)
        try:
            await _stream_tokens(stream, message, kernel.incarnation)
        except (LinkCut, StreamEnded):
            return

    peers.on_stream(Reserve, serve)
    await kernel.run()


async def _stream_tokens(stream: Stream, reserve: Reserve, incarnation: str) -> None:
    own = (reserve.request_id, reserve.attempt)
    await stream.send(Reserved(*own, incarnation, 0.0, 1.0, 5.0))
    received_bytes = 0
    while received_bytes < reserve.body_size_bytes:
        message = await stream.receive()
        if isinstance(message, Chunk):
            received_bytes += len(message.data)
        else:
            assert isinstance(message, Commit)
    start_s, sent, sequence = trio.current_time(), 0, 0
    while sent < reserve.max_output_tokens:
        due = int((trio.current_time() - start_s) / TOKEN_INTERVAL_S) + 1
        count = min(due, reserve.max_output_tokens) - sent
        if count > 0:
            await stream.send(Chunk(*own, sequence, count, EVENT * count))
            sent += count
            sequence += 1
        await trio.sleep_until(start_s + sent * TOKEN_INTERVAL_S)
    await stream.send(End(*own, "completed", sequence, 200, output_tokens=sent))


async def run_callers(port: int, streams: int, tokens: int, ramp_s: float) -> Figures:
    """Read ``streams`` streams concurrently, starting them over ``ramp_s`` seconds."""
    figures = {"tokens": 0, "reads": 0, "whole": 0}
    first_ms: list[float] = []
    body = SMALL_BODY[:-1] + f',"max_tokens":{tokens}}}'.encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"Authorization: Bearer k\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode()

    async def read_stream(delay_s: float) -> None:
        await trio.sleep(delay_s)
        async with await trio.open_tcp_stream(HOST, port) as stream:
            start_s = time.perf_counter()
            await stream.send_all(head + body)
            tail, began = b"", False
            async for part in stream:
                if not began and b"data:" in part:
                    began = True
                    first_ms.append(1000 * (time.perf_counter() - start_s))
                figures["reads"] += 1
                figures["tokens"] += part.count(b'"delta"')
                tail = (tail + part)[-64:]
            figures["whole"] += b"[DONE]" in tail

    start_s = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(read_stream, ramp_s * number / streams)
    elapsed_s = time.perf_counter() - start_s
    return Figures(figures["tokens"], elapsed_s, figures["reads"], first_ms, figures["whole"])


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _start(role: str, number: int = 0) -> subprocess.Popen[bytes]:
    options = ["--number", str(number)]
    return subprocess.Popen([sys.executable, __file__, role, *options])


def measure(streams: int, tokens: int) -> dict[str, Any]:
    """Start the entry and the sidecars, run the callers and return the figures."""
    started = [
        _start("entry"),
        *(_start("sidecar", number) for number in range(SIDECARS)),
    ]
    try:
        time.sleep(STARTUP_S)
        entry = started[0].pid
        idle_mb = _resident_mb(entry)
        warm = trio.run(run_callers, HTTP_PORT, 1, 5, 0.0)
        unloaded = trio.run(run_callers, HTTP_PORT, 40, 2, 4.0)
        cpu_s = _cpu_s(entry)
        loaded = trio.run(run_callers, HTTP_PORT, streams, tokens, 1.0)
        loaded_cpu_s = _cpu_s(entry) - cpu_s
        first_ms_quantiles = quantiles(unloaded.first_ms, n=20)
        return {
            "streams": streams,
            "warm": warm.whole,
            "whole": loaded.whole,
            "tokens_per_s": round(loaded.tokens / loaded.elapsed_s),
            "entry_cores": round(loaded_cpu_s / loaded.elapsed_s, 2),
            "tokens_per_core_s": round(loaded.tokens / loaded_cpu_s),
            "tokens_per_read": round(loaded.tokens / loaded.reads, 2),
            "first_ms_p50_p95_unloaded": [
                round(first_ms_quantiles[9], 2),
                round(first_ms_quantiles[18], 2),
            ],
            "entry_idle_mb": round(idle_mb, 1),
            "entry_loaded_mb": round(_resident_mb(entry), 1),
        }
    finally:
        for process in started:
            process.terminate()
        for process in started:
            process.wait(20)


def main() -> None:
    """Run one role, or run all of them and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", nargs="?", choices=("entry", "sidecar"))
    parser.add_argument("--number", type=int, default=0)
    parser.add_argument("--streams", type=int, default=280)
    parser.add_argument("--tokens", type=int, default=300)
    arguments = parser.parse_args()
    configure_logs("error")
    if arguments.role == "entry":
        trio.run(run_entry)
    elif arguments.role == "sidecar":
        trio.run(run_sidecar, arguments.number)
    else:
        print(json.dumps(measure(arguments.streams, arguments.tokens)))


if __name__ == "__main__":
    main()
