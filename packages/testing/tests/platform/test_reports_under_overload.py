"""Duties that overloaded entries leave to each other."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.peers import Peers


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 3


@pytest.mark.parametrize("overloaded", [0, 1, 2])
async def test_engines_are_polled_while_all_entries_are_overloaded(
    autojump_clock, seeded_fleet, overloaded
):
    """Guards against engines without reports since each overloaded entry leaves them to another
    overloaded one."""
    fleet = seeded_fleet
    engines = [await fleet.add_replica(f"engine-{number}") for number in (1, 2, 3)]
    for number in (1, 2):
        await fleet.add_entry(number)
    await trio.sleep(3.0)
    for kernel in fleet.kernels[:overloaded]:
        kernel.get("peers", Peers).set_overloaded(is_overloaded=True)
    await trio.sleep(3.0)
    begin_s = trio.current_time()
    await trio.sleep(6.0)
    polls = [sum(at_s >= begin_s for at_s in engine.call_times_s) for engine in engines]
    assert all(count >= 5 for count in polls), polls
