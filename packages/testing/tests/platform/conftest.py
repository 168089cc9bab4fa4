"""A small platform with stand-ins for all that an entry speaks to."""

from __future__ import annotations

import pytest

from sassafrastally.testing.platform_fleet import platform_fleet


@pytest.fixture
async def fleet():
    """A store with a configuration; replicas and entries are added by the test."""
    async with platform_fleet() as running:
        yield running


@pytest.fixture
async def served(fleet):
    """One entry before two engines and two plain servers."""
    for number in (1, 2):
        await fleet.add_replica(f"engine-{number}")
        await fleet.add_replica(f"desk-{number}", "desk")
    await fleet.add_entry()
    return fleet
