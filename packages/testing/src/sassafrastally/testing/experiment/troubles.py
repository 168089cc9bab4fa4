"""What goes wrong in an experiment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.testing.experiment.plan import TroublePlan
    from sassafrastally.testing.experiment.world import World

    Trouble = Callable[[World, TroublePlan], Awaitable[None]]

TROUBLES: Registry[Trouble] = Registry("trouble")
"""Kinds of trouble by name: each begins it, waits for its end and ends it."""


@TROUBLES.register("entries-killed")
async def _kill_entries(world: World, plan: TroublePlan) -> None:
    """Entries end at once and start again after the time."""
    numbers = world.some_entries(plan.share)
    for number in numbers:
        world.fleet.kill_entry(number)
    await trio.sleep(plan.for_s)
    for number in numbers:
        await world.add_entry(number)


@TROUBLES.register("entries-cut-off")
async def _cut_entries(world: World, plan: TroublePlan) -> None:
    """Nothing passes between some entries and all others and the store."""
    for number in world.some_entries(plan.share):
        world.cut_from_control(number)
    await trio.sleep(plan.for_s)
    world.network.heal()


@TROUBLES.register("store-away")
async def _lose_store(world: World, plan: TroublePlan) -> None:
    """No entry reaches the store."""
    numbers = set(world.entry_numbers)
    world.fleet.entries_without_store |= numbers
    await trio.sleep(plan.for_s)
    world.fleet.entries_without_store -= numbers


@TROUBLES.register("engines-slow")
async def _slow_engines(world: World, plan: TroublePlan) -> None:
    """Engines work `x` times slower."""
    engines = [replica.engine for replica in world.some_engines(plan.share) if replica.engine]
    for engine in engines:
        engine.pace *= plan.x
    await trio.sleep(plan.for_s)
    for engine in engines:
        engine.pace /= plan.x


@TROUBLES.register("engines-crash")
async def _crash_engines(world: World, plan: TroublePlan) -> None:
    """Engines crash, one after the other within the time; others take their places."""
    replicas = world.some_engines(plan.share)
    for replica in replicas:
        replica.crash()
        await trio.sleep(plan.for_s / len(replicas))


@TROUBLES.register("engines-limited")
async def _limit_engines(world: World, plan: TroublePlan) -> None:
    """Engines say that they take `x` requests a second from all entries together."""
    replicas = world.some_engines(plan.share)
    for replica in replicas:
        replica.most_per_s = plan.x
    await trio.sleep(plan.for_s)
    for replica in replicas:
        replica.most_per_s = None


@TROUBLES.register("engines-rest")
async def _rest_engines(world: World, plan: TroublePlan) -> None:
    """Engines turn requests away and ask for `x` seconds without any."""
    replicas = world.some_engines(plan.share)
    for replica in replicas:
        replica.refuses, replica.cool_down_s = True, plan.x
    await trio.sleep(plan.for_s)
    for replica in replicas:
        replica.refuses, replica.cool_down_s = False, None
