"""Prefill order of the simulated engine, on which tests and load replays depend."""

from __future__ import annotations

import json

import trio

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.stand_ins.documents import ENGINE, make_configuration
from sassafrastally.stand_ins.simulated_engine import SimulatedEngine


def make_engine() -> SimulatedEngine:
    """Return an engine with the performance parameters of the sample configuration."""
    document = json.dumps(make_configuration(1)).encode()
    services = PlatformDialect().decode_configuration(document).services
    profile = services["engines"].engine
    assert profile is not None
    assert profile.slots == ENGINE["slots"]
    return SimulatedEngine(profile)


class TestPrefillParts:
    """Prefill parts for prompts of other engines."""

    async def test_latest_part_is_prefilled_first(self, autojump_clock):
        """Guards against a simulated engine that prefills parts in order of arrival.

        Real engines put each new part ahead of all other prefill work. A prompt with an early part
        waits for all later parts, so its first event comes much later than predicted.
        """
        engine = make_engine()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.work)
            begin_s = trio.current_time()
            first = engine.prefill_part(1000.0)
            await trio.sleep(0.2)
            second = engine.prefill_part(500.0)
            await second.wait()
            assert trio.current_time() - begin_s < 0.75
            assert not first.is_set()
            await first.wait()
            assert 1.4 < trio.current_time() - begin_s < 1.6
            nursery.cancel_scope.cancel()
