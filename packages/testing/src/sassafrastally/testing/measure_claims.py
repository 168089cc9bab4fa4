"""Measure what claims cost the KV service, on the mock clock.

Run as ``python -m sassafrastally.testing.measure_claims --rate 670 --entries 24``. The entries run
the real claim service; calls are those that the KV model counted.
"""

from __future__ import annotations

import argparse
import logging
from random import Random
from typing import TYPE_CHECKING

import structlog
import trio
import trio.testing

from sassafrastally.core import Incarnation, RequestId
from sassafrastally.serving.claim_layout import ClaimSettings
from sassafrastally.serving.claims import ClaimService, Placement
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.entry_fleet import EntryFleet
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel

if TYPE_CHECKING:
    from collections.abc import Sequence

LINK_S = 0.0015
"""One way between data centres at Sondrio."""

SIDECARS = 1_500
TIME_LIMIT_S = 5.0
SEED = 7


class ClaimLoad:
    """Claims of new keys at random times over some entries.

    Parameters
    ----------
    name
        Beginning of the keys, so that no other load has the same.
    services
        The claim services of the entries.
    """

    def __init__(self, name: str, services: Sequence[ClaimService]) -> None:
        self.times_s: list[float] = []
        """Time that each granted claim took."""
        self.refused = 0
        self._name = name
        self._services = services
        self._random = Random(SEED)

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Claim keys at a mean rate for a time, and wait for the answers."""
        until_s = trio.current_time() + duration_s
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until_s:
                nursery.start_soon(self.claim, f"{self._name}-{number}")
                number += 1
                await trio.sleep(self._random.expovariate(rate_per_s))

    async def claim(self, key: str) -> None:
        """Claim one key through an entry at random."""
        random = self._random
        sidecar = random.randrange(SIDECARS)
        request_id = RequestId(f"{random.getrandbits(128):032x}")
        placement = Placement(f"sidecar-{sidecar}", Incarnation(f"{sidecar:032x}"), request_id, 1)
        started_s = trio.current_time()
        try:
            service = random.choice(self._services)
            await service.claim("customer", key, b"body", placement, TIME_LIMIT_S)
        except Refusal:
            self.refused += 1
            return
        self.times_s.append(trio.current_time() - started_s)


async def _measure(options: argparse.Namespace) -> None:
    model = KvModel(Random(SEED))
    model.set_faults(KvFaults(delay_s=options.kv_s))
    names = [f"entry-{number}" for number in range(options.entries)]
    services = [ClaimService(ClaimSettings(shards=options.shards)) for _ in names]
    async with trio.open_nursery() as nursery:
        fleet = EntryFleet(nursery, LINK_S)
        for name, service in zip(names, services, strict=True):
            await fleet.start(name, names, [service], FakeKv(model))
        for service in services:
            await service.lookup("customer", "none", b"")
        await ClaimLoad("warm-up", services).run(options.rate, 1.0)
        before, started_s = model.counts.copy(), trio.current_time()
        load = ClaimLoad("measured", services)
        await load.run(options.rate, options.duration)
        elapsed_s = trio.current_time() - started_s
        nursery.cancel_scope.cancel()
    calls = {name: round((model.counts[name] - before[name]) / elapsed_s, 1) for name in before}
    times_s = sorted(load.times_s)
    print(f"{options} granted={len(times_s)} refused={load.refused} calls/s={calls}")
    for share in (0.5, 0.95, 0.99):
        print(f"  p{share * 100:.0f}: {times_s[int(share * len(times_s))] * 1000:.1f} ms")


def main() -> None:
    """Run one measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=670.0, help="claims a second")
    parser.add_argument("--entries", type=int, default=24)
    parser.add_argument("--shards", type=int, default=ClaimSettings().shards)
    parser.add_argument("--duration", type=float, default=10.0, help="seconds of the mock clock")
    parser.add_argument("--kv-s", type=float, default=0.004, help="time of one call of the service")
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_measure, parser.parse_args(), clock=clock)


if __name__ == "__main__":
    main()
