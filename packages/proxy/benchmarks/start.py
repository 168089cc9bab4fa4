"""Processor time of an entry from its start to its first response.

Starts the deployed copy of the program (``bash deploy/build.sh``) as a process of its own against a
stand-in of the store with many routes and servers, and sends one request as soon as the port is
open. Run it with ``python packages/proxy/benchmarks/start.py``; ``--flags`` gives flags of the
interpreter.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import subprocess
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import h11
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.metadata_store import MetadataStore
from sassafrastally.stand_ins.replica import Replica

ROUTES = 1600
SERVERS = 60
SETTLED_S = 4.0
"""Time after the first response at which the processor time of the whole start is read."""


class StartCost(NamedTuple):
    """Processor time of one start."""

    first_response_ms: float
    settled_ms: float
    wall_ms: float


async def measure_start(run: list[str], deps: Path, folder: Path) -> StartCost:
    """Start an entry, send it one request and return its processor time."""
    host = f"127.22.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
    async with trio.open_nursery() as nursery:
        store = MetadataStore()
        store_address = Address(host, await store.start(host, nursery))
        replica = Replica("desk-1", "desk", {}, None, 0.0)
        await replica.start(host, nursery)
        store.put("op/config", json.dumps(_configuration()).encode())
        store.put("servers/desk-1", replica.entry(is_draining=False))
        for number in range(2, SERVERS + 1):
            # Only their records are needed: no prompt is sent.
            engine = Replica(f"engine-{number}", "engines", {})
            engine.address = Address(host, 20_000 + number)
            store.put(f"servers/engine-{number}", engine.entry(is_draining=False))
        settings_file = folder / "settings.json"
        settings_file.write_text(json.dumps(_settings(host, store_address)))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(deps),
            "SASSAFRASTALLY_CONFIG": str(settings_file),
        }
        began_s = trio.current_time()
        with (folder / "entry.log").open("wb") as log:
            process = subprocess.Popen(run, env=environment, stdout=log)
        try:
            await _first_response(host)
            first_ms, wall_ms = _processor_ms(process.pid), 1000 * (trio.current_time() - began_s)
            await trio.sleep(SETTLED_S)
            settled_ms = _processor_ms(process.pid)
        finally:
            process.kill()
            process.wait()
        nursery.cancel_scope.cancel()
    return StartCost(first_ms, settled_ms, wall_ms)


async def _first_response(host: str) -> None:
    with trio.fail_after(20):
        while True:
            try:
                stream = await trio.open_tcp_stream(host, 10080)
                break
            except OSError:
                await trio.sleep(0.002)
        connection = HttpStream(stream, h11.CLIENT)
        response = await exchange_on(connection, "GET", "/look/1", request_fields(), b"")
        assert response.status == 200, response
        await connection.close()


def _processor_ms(pid: int) -> float:
    """Return the processor time of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def _configuration() -> dict[str, Any]:
    document = make_configuration(1)
    document["routes"] += [
        make_route(f"route-{number}", "streaming", "engines") for number in range(ROUTES)
    ]
    return document


def _settings(host: str, store: Address) -> dict[str, Any]:
    return {
        "node": "entry-1",
        "ip": host,
        "zone": "here",
        "listen": {"front": f"{host}:10080", "readiness": f"{host}:10081"},
        "internalPorts": [10082],
        "limits": {"linkMbps": 1000},
        "beatIntervalMs": 1200,
        "platform": {"address": str(store)},
        "bounds": {
            "graceS": 8.0,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetExtraTries": 100,
        },
    }


def main() -> None:
    """Measure several starts and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=9)
    parser.add_argument("--deps", type=Path, default=Path("target/deps"))
    parser.add_argument("--python", default="python3")
    parser.add_argument("--flags", default="-S -P")
    options = parser.parse_args()
    run = [options.python, *options.flags.split(), "-m", "sassafrastally.platform"]
    costs = []
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(options.runs + 1):
            costs.append(trio.run(measure_start, run, options.deps.resolve(), Path(folder)))
    for name, values in zip(StartCost._fields, zip(*costs[1:], strict=True), strict=True):
        print(f"{name}: median {statistics.median(values):.1f}, least {min(values):.1f}")


if __name__ == "__main__":
    main()
