"""The stand-in of a model engine, where tests and replays rest on how it reads."""

from __future__ import annotations

import json

import trio

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.stand_ins.documents import ENGINE, make_configuration
from sassafrastally.stand_ins.passing_engine import PassingEngine


def make_engine() -> PassingEngine:
    """Return an engine with the figures of the usual configuration."""
    document = json.dumps(make_configuration(1)).encode()
    services = PlatformDialect().decode_configuration(document).services
    figures = services["engines"].engine
    assert figures is not None
    assert figures.slots == ENGINE["slots"]
    return PassingEngine(figures)


class TestParts:
    """Parts of prompts that other engines answer."""

    async def test_the_latest_part_is_read_first(self, autojump_clock):
        """The users' engines put each part before all that they still have to read. A prompt whose
        part came early waits for all later ones, so that its first event comes long after its plan.
        """
        engine = make_engine()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.work)
            begin_s = trio.current_time()
            first = engine.read_part(1000.0)
            await trio.sleep(0.2)
            second = engine.read_part(500.0)
            await second.wait()
            assert trio.current_time() - begin_s < 0.75
            assert not first.is_set()
            await first.wait()
            assert 1.4 < trio.current_time() - begin_s < 1.6
            nursery.cancel_scope.cancel()
