"""Measure what entry and sidecar add to the engine stand-in, each process on its own.

Run as ``python -m sassafrastally.testing.measure_path`` in the repository's root. The same
requests go to the engine and through the entry, in turn, so that a busy machine hits both alike.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import httpx
import trio

from sassafrastally.testing.process_fleet import ProcessFleet

if TYPE_CHECKING:
    from collections.abc import Sequence

DAEMONS = {"reader-1": 7101, "entry-1": 8001}
"""The measured daemons and the port of the examples on which each serves."""
REQUESTS = 200
TOKENS = 8
CONCURRENCIES = (1, 8)
STREAMS = 24
STREAM_TOKENS = 300
WARM_UP = 20
IDLE_S = 5.0
MEGABYTE = 1e6
HEADERS = {"Authorization": "Bearer counter-key"}
PERCENTILES = 100


class Timing(NamedTuple):
    """Times of one answer."""

    first_s: float
    """To the first event."""
    whole_s: float


class Series:
    """Answers of one target."""

    def __init__(self, url: str, tokens: int = TOKENS) -> None:
        self.url = url
        self.tokens = tokens
        self.timings: list[Timing] = []

    async def ask(self, client: httpx.AsyncClient, number: int) -> None:
        """Send one request and time its answer."""
        body = {
            "model": "parcel-reader",
            "prompt": f"duty {number}?",
            "max_tokens": self.tokens,
            "stream": True,
        }
        began_s, first_s = time.perf_counter(), 0.0
        async with client.stream("POST", self.url, json=body, headers=HEADERS) as answer:
            answer.raise_for_status()
            async for _ in answer.aiter_raw():
                first_s = first_s or time.perf_counter() - began_s
        self.timings.append(Timing(first_s, time.perf_counter() - began_s))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the measurement and print its figures."""
    parser = argparse.ArgumentParser(description="Measure the whole path.")
    parser.add_argument("--examples", type=Path, default=Path("examples"))
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(options.examples, Path(folder))
        try:
            _measure(fleet)
        finally:
            fleet.end()


def _measure(fleet: ProcessFleet) -> None:
    fleet.start_stand_ins()
    fleet.roll_first_bundle()
    for vm, port in DAEMONS.items():
        began_s = time.perf_counter()
        fleet.start(vm)
        fleet.wait_listening(port)
        print(f"{vm}: serves {time.perf_counter() - began_s:.2f} s after its start")
    direct = f"http://{fleet.address(9101)}/v1/completions"
    path = f"http://{fleet.address(DAEMONS['entry-1'])}/v1/completions"
    fleet.wait(lambda: _answers(path), "the entry answers")
    time.sleep(IDLE_S)  # No proof waits on this: the figure is that of an idle process.
    for vm in DAEMONS:
        print(f"{vm}: {fleet.resident_bytes(vm) / MEGABYTE:.0f} MB resident, idle")
    for concurrency in CONCURRENCIES:
        used_s = {vm: fleet.processor_s(vm) for vm in DAEMONS}
        trio.run(_compare, direct, path, concurrency)
        for vm, before_s in used_s.items():
            each_ms = 1e3 * (fleet.processor_s(vm) - before_s) / (WARM_UP + REQUESTS)
            print(f"  {vm}: {each_ms:.1f} ms of processor time a request")
    _measure_streams(fleet, path)
    for vm in DAEMONS:
        print(f"{vm}: {fleet.resident_bytes(vm) / MEGABYTE:.0f} MB resident, after the requests")


def _measure_streams(fleet: ProcessFleet, path: str) -> None:
    """Print how many tokens a second one core of each daemon relays."""
    used_s = {vm: fleet.processor_s(vm) for vm in DAEMONS}
    began_s = time.perf_counter()
    trio.run(_stream_many, path)
    tokens = STREAMS * STREAM_TOKENS
    rate = tokens / (time.perf_counter() - began_s)
    print(f"{STREAMS} streams of {STREAM_TOKENS} tokens at once: {rate:,.0f} tokens/s")
    for vm, before_s in used_s.items():
        spent_s = fleet.processor_s(vm) - before_s
        print(f"  {vm}: {tokens / spent_s:,.0f} tokens for each second of its processor time")


async def _stream_many(path: str) -> None:
    series = Series(path, STREAM_TOKENS)
    limits = httpx.Limits(max_connections=STREAMS)
    async with (
        httpx.AsyncClient(limits=limits, timeout=60.0, trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        for number in range(STREAMS):
            nursery.start_soon(series.ask, client, number)


def _answers(url: str) -> bool:
    body = {"model": "parcel-reader", "prompt": "ready?", "max_tokens": 1}
    try:
        return httpx.post(url, json=body, headers=HEADERS, timeout=5.0).is_success
    except httpx.HTTPError:
        return False


async def _compare(direct: str, path: str, concurrency: int) -> None:
    engine, whole = Series(direct), Series(path)
    limits = httpx.Limits(max_keepalive_connections=2 * concurrency)
    async with httpx.AsyncClient(limits=limits, timeout=30.0, trust_env=False) as client:
        for count in (WARM_UP, REQUESTS):
            engine.timings.clear()
            whole.timings.clear()
            async with trio.open_nursery() as nursery:
                for worker in range(concurrency):
                    numbers = range(worker, count, concurrency)
                    nursery.start_soon(_ask_in_turn, client, (engine, whole), numbers)
    print(f"{REQUESTS} requests of {TOKENS} tokens, {concurrency} at a time, in ms:")
    for name, field in (("first event", 0), ("whole answer", 1)):
        alone, through = (
            [1e3 * timing[field] for timing in series.timings] for series in (engine, whole)
        )
        print(f"  {name}: engine {_show(alone)}; path {_show(through)}; {_added(alone, through)}")


async def _ask_in_turn(
    client: httpx.AsyncClient, targets: Sequence[Series], numbers: range
) -> None:
    for number in numbers:
        for target in targets:
            await target.ask(client, number)


def _show(values: list[float]) -> str:
    return f"p50 {_percentile(values, 50):.1f} p95 {_percentile(values, 95):.1f}"


def _added(alone: list[float], through: list[float]) -> str:
    added = [_percentile(through, rank) - _percentile(alone, rank) for rank in (50, 95)]
    return f"added p50 {added[0]:.1f} p95 {added[1]:.1f}"


def _percentile(values: list[float], rank: int) -> float:
    return statistics.quantiles(values, n=PERCENTILES)[rank - 1]


if __name__ == "__main__":
    main()
