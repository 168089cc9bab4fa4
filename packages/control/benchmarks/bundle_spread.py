"""Measures bundle distribution: activation time, bytes sent and CPU time for a change.

Run as ``python packages/control/benchmarks/bundle_spread.py``. Activation times are on the mock
clock with 1 ms of latency, unless printed as real clock; CPU times are real.
"""

from __future__ import annotations

import importlib.util
import statistics
import time
from pathlib import Path
from typing import Any

import structlog
import trio
from trio.testing import MockClock

from sassafrastally.control.bundle import Bundle
from sassafrastally.control.head import Head, sign_head, verify_head
from sassafrastally.control.parts import PackedBundle, pack_bundle
from sassafrastally.control.signing import make_key, sign_digest
from sassafrastally.control.store import PartStore
from sassafrastally.wire.codec import encode_frame
from sassafrastally.wire.messages import Frame, HeadNotice, PartsReply, PartsRequest

NODES = 23
CUSTOMERS = 5_000
ROLLS = 3
REPEATS = 20


def main() -> None:
    """Run the benchmark and print its results."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    conftest = _load_conftest()
    for nodes in (NODES // 2, NODES):
        for is_kv_cut in (False, True):
            times = trio.run(_activation_times, conftest, nodes, is_kv_cut, clock=MockClock(0.0, 0))
            print(
                f"{nodes} nodes, {ROLLS} rolls, KV service"
                f" {'reachable by one watcher only' if is_kv_cut else 'up'}: active on all nodes"
                f" after median {statistics.median(times):.2f} s, max {max(times):.2f} s"
                " (mock clock)"
            )
    real_s = trio.run(_activation_times, conftest, NODES, False, CUSTOMERS)
    print(
        f"{NODES} nodes in one process, real clock, {CUSTOMERS} customers: active on all nodes"
        f" after median {statistics.median(real_s):.2f} s, max {max(real_s):.2f} s"
    )
    trio.run(_measure_bytes_per_node, conftest, clock=MockClock(0.0, 0))
    _measure_cpu_time(conftest)


async def _activation_times(
    conftest: Any, nodes: int, is_kv_cut: bool, customers: int = 10
) -> list[float]:
    times: list[float] = []
    async with trio.open_nursery() as nursery:
        fleet = conftest.Fleet(nursery, seed=7)
        await fleet.add(nodes, data_centres=("cordon", "prado", "cerro"))
        for roll in range(ROLLS + 1):
            await trio.sleep(10)
            if is_kv_cut and roll:
                _cut_all_but_one_watcher(fleet)
            await fleet.roll(conftest.make_bundle(customers=customers, share=1.0 + roll))
            started_s = trio.current_time()
            await fleet.wait_everywhere(roll + 1, within_s=60)
            if roll:
                times.append(trio.current_time() - started_s)
            for node in fleet.nodes:
                node.kv.is_cut = False
        nursery.cancel_scope.cancel()
    return times


def _cut_all_but_one_watcher(fleet: Any) -> None:
    watcher = next(node for node in fleet.nodes if node.service.status()["is_watcher"])
    for node in fleet.nodes:
        if node is not watcher:
            node.kv.cut()


async def _measure_bytes_per_node(conftest: Any) -> None:
    """Count the bytes of heads and parts that nodes send when one customer changes."""
    async with trio.open_nursery() as nursery:
        fleet = conftest.Fleet(nursery, seed=7)
        await fleet.add(NODES, data_centres=("cordon", "prado", "cerro"))
        await fleet.roll(conftest.make_bundle(customers=CUSTOMERS))
        await fleet.wait_everywhere(1, within_s=60)
        await trio.sleep(20)
        idle, changed = _ByteCounter(fleet), _ByteCounter(fleet)
        idle.start()
        await trio.sleep(20)
        idle.stop()
        fleet.model.counts.clear()
        changed.start()
        await fleet.roll(conftest.make_bundle(customers=CUSTOMERS, share=2.0))
        await fleet.wait_everywhere(2, within_s=60)
        await trio.sleep(5)
        changed.stop()
        nursery.cancel_scope.cancel()
    print(f"whole bundle {fleet.nodes[0].service.status()['held_bytes']} bytes")
    print(f"idle: {idle.size_bytes / NODES / 20:.1f} bytes/s sent per node")
    print(
        f"one change: {changed.size_bytes / NODES:.0f} bytes sent per node on average,"
        f" at most {max(changed.by_node.values())} by one node;"
        f" KV calls {dict(fleet.model.counts)}"
    )


class _ByteCounter:
    """Counts the encoded bytes of the head notices and parts that nodes send."""

    def __init__(self, fleet: Any) -> None:
        self.by_node = dict.fromkeys((node.vm for node in fleet.nodes), 0)
        self._is_on = False
        for node in fleet.nodes:
            self._wrap(node)

    @property
    def size_bytes(self) -> int:
        """Bytes sent by all nodes."""
        return sum(self.by_node.values())

    def start(self) -> None:
        """Start counting."""
        self._is_on = True

    def stop(self) -> None:
        """Stop counting."""
        self._is_on = False

    def _wrap(self, node: Any) -> None:
        service = node.service
        notify, serve = service._notify, service._on_parts_request
        count = self._count

        async def counted_notify(link: Any, head: bytes) -> None:
            count(node.vm, HeadNotice(service.generation, "0" * 64, head))
            await notify(link, head)

        async def counted_serve(stream: Any, message: Any) -> None:
            class CountingStream:
                async def send(self, reply: PartsReply) -> None:
                    count(node.vm, reply)
                    await stream.send(reply)

            await serve(CountingStream(), message)

        service._notify = counted_notify
        node.peers._stream_handlers[PartsRequest] = counted_serve

    def _count(self, vm: str, message: Any) -> None:
        if self._is_on:
            self.by_node[vm] += len(encode_frame(Frame(1, 1, message)))


def _measure_cpu_time(conftest: Any) -> None:
    key = make_key("ana")
    settings = conftest.settings_for([key])
    before = conftest.make_bundle(customers=CUSTOMERS)
    after = conftest.make_bundle(customers=CUSTOMERS, share=2.0)
    old, new = pack_bundle(before), pack_bundle(after)
    head = Head(2, new.digest, 1, "ana", "n", (sign_digest(key, new.digest),))
    signed = sign_head(key, head)
    whole_s = _timed(lambda: _fill(PartStore(), old))
    store = PartStore()
    _fill(store, old)
    change_s = []
    for _ in range(REPEATS):
        store.keep_only([old.digest])
        started_s = time.process_time()
        verify_head(settings, signed)
        _fill(store, new)
        store.keep_only([new.digest, old.digest])
        change_s.append(time.process_time() - started_s)
    changed = sum(len(new.parts[key]) for key in new.parts.keys() - old.parts.keys())
    print(
        f"{CUSTOMERS} customers, {len(new.parts)} parts: a change is {changed} bytes of parts"
        f" and {len(new.manifest)} of manifest; verify and apply"
        f" {statistics.median(change_s) * 1e3:.1f} ms of CPU time (median of {REPEATS});"
        f" the whole bundle from scratch {whole_s * 1e3:.0f} ms;"
        f" packing {_timed(lambda: pack_bundle(after)) * 1e3:.0f} ms"
    )


def _fill(store: PartStore, packed: PackedBundle) -> Bundle:
    manifest = store.add_manifest(packed.digest, packed.manifest)
    for digest in store.missing(manifest):
        store.add_part(digest, packed.parts[digest])
    return store.assemble(manifest)


def _timed(work: Any) -> float:
    started_s = time.process_time()
    work()
    return time.process_time() - started_s


def _load_conftest() -> Any:
    path = Path(__file__).parents[1] / "tests" / "conftest.py"
    spec = importlib.util.spec_from_file_location("conftest", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


if __name__ == "__main__":
    main()
