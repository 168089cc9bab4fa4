"""Measures on the real clock how soon a rolled bundle is active in many processes.

Run as ``python packages/control/benchmarks/bundle_processes.py``. Starts the fake KV server and the
nodes as processes on the loopback interface, rolls bundles of 5,000 customers and compares the
nodes' activation times with the time of acceptance. The KV server is killed right after it accepts
the last roll.
"""

from __future__ import annotations

import random
import statistics
import subprocess
import sys
import time
from typing import Any, NamedTuple

import structlog
import trio

from sassafrastally.control.bundle import Bundle, Customer, Model
from sassafrastally.control.publish import publish_bundle, sign_bundle
from sassafrastally.control.rolling import RollOrder, roll_bundle
from sassafrastally.control.signing import BundleSettings, SigningKey, TrustedSigner
from sassafrastally.control.spread import BundleService
from sassafrastally.core import Address, Kernel, TcpNetwork
from sassafrastally.core.secret import Secret
from sassafrastally.stores import (
    EtcdKv,
    KvSettings,
    PlatformService,
    PurposeBudget,
)
from sassafrastally.wire.link import LinkRefused
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

NODES = 23
ENTRIES = 3
"""Number of nodes that the others dial, as sidecars link only to entries."""
CUSTOMERS = 5_000
ROLLS = 5
KV_PORT = 19_400
FIRST_PORT = 19_410
LOOPBACK = "127.0.0.1"
KEY = SigningKey("ana", Secret("11" * 32))
SETTINGS = BundleSettings((TrustedSigner(KEY.signer, KEY.public_key),))
SETTLE_S = 8.0


class Activation(NamedTuple):
    """Activation of a generation on a node, with the machine's wall-clock time."""

    generation: int
    wall_s: float


def main() -> None:
    """Run the benchmark, or one of its nodes if a number is given."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    if len(sys.argv) > 1:
        trio.run(_run_node, int(sys.argv[1]))
        return
    kv = _start("-m", "sassafrastally.testing.kv_server", "--listen", f"{LOOPBACK}:{KV_PORT}")
    nodes = [_start(__file__, str(number)) for number in range(NODES)]
    try:
        accepted = trio.run(_roll_all, kv)
    finally:
        for process in (kv, *nodes):
            process.kill()
    outputs = [process.communicate()[0] for process in nodes]
    activations = [_parse(output) for output in outputs]
    for generation, wall_s in enumerate(accepted, start=1):
        delays = [found[generation] - wall_s for found in activations if generation in found]
        kv_note = ", KV service killed at acceptance" if generation == len(accepted) else ""
        print(
            f"generation {generation}{kv_note}: {len(delays)} of {NODES} processes, active after"
            f" median {statistics.median(delays or [-1]):.2f} s, max {max(delays or [-1]):.2f} s"
        )


async def _roll_all(kv_process: subprocess.Popen[str]) -> list[float]:
    """Roll several bundles; return their acceptance times."""
    settings = KvSettings(Address(LOOPBACK, KV_PORT), budgets=(PurposeBudget("admin", 500, 900),))
    kv = EtcdKv(settings, random.SystemRandom())
    accepted: list[float] = []
    await trio.sleep(SETTLE_S)
    for generation in range(ROLLS):
        bundle = _bundle(1.0 + generation)
        digest = (await publish_bundle(kv, bundle)).digest
        await sign_bundle(kv, digest, KEY, SETTINGS)
        await roll_bundle(kv, RollOrder(digest, generation), KEY, SETTINGS)
        accepted.append(time.time())
        if generation == ROLLS - 1:
            await trio.sleep(0.02)
            kv_process.kill()
        await trio.sleep(SETTLE_S)
    return accepted


async def _run_node(number: int) -> None:
    kernel = Kernel(f"vm{number}", f"dc{number % 3}")
    address = Address(LOOPBACK, FIRST_PORT + number)
    peers = PeerService(PeerSettings(address, Secret("a secret of the fleet")), TcpNetwork())
    kv = EtcdKv(KvSettings(Address(LOOPBACK, KV_PORT)), random.SystemRandom())
    kernel.add(peers)
    kernel.add(PlatformService(kv, vm_list=None))  # type: ignore[arg-type]
    service = kernel.add(BundleService(SETTINGS))
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        nursery.start_soon(_dial, peers, number)
        generation = 0
        while True:
            generation = (await service.wait_for(generation + 1)).generation
            print(generation, time.time(), flush=True)


async def _dial(peers: PeerService, number: int) -> None:
    while True:
        for other in range(min(number, ENTRIES)):
            try:
                await peers.link_to(f"vm{other}", Address(LOOPBACK, FIRST_PORT + other))
            except LinkRefused:
                continue
        await trio.sleep(0.5)


def _bundle(share: float) -> Bundle:
    customers = tuple(
        Customer(f"c{number:05}", (f"{number:064x}",), share=1.0 if number else share)
        for number in range(CUSTOMERS)
    )
    return Bundle("yeso", (Model("crew", "1", 1_000_000),), customers)


def _parse(output: str) -> dict[int, float]:
    lines = [
        Activation(int(line.split()[0]), float(line.split()[1])) for line in output.splitlines()
    ]
    return {activation.generation: activation.wall_s for activation in lines}


def _start(*words: Any) -> subprocess.Popen[str]:
    return subprocess.Popen([sys.executable, *words], stdout=subprocess.PIPE, text=True)


if __name__ == "__main__":
    main()
