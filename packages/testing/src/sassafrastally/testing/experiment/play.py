"""One run of an experiment: a variant and a seed, on the mock clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from sassafrastally.core.logs import configure_logs
from sassafrastally.testing.experiment.arrivals import arrivals
from sassafrastally.testing.experiment.caller import Caller
from sassafrastally.testing.experiment.rows import RequestRow, RunRows
from sassafrastally.testing.experiment.troubles import TROUBLES
from sassafrastally.testing.experiment.variants import applied
from sassafrastally.testing.experiment.world import World
from sassafrastally.testing.mock_run import run_on_mock_clock

if TYPE_CHECKING:
    from sassafrastally.testing.experiment.arrivals import Arrival
    from sassafrastally.testing.experiment.plan import ExperimentPlan, RoutePlan, TroublePlan


def play(plan: ExperimentPlan, variant: str, seed: int) -> RunRows:
    """Play a variant with a seed; the same ones give the same rows."""
    configure_logs("critical")
    changes = plan.variant(variant)
    with applied(changes.constants, changes.without):
        return run_on_mock_clock(_Run(plan, variant, seed).run, seed)


class _Run:
    def __init__(self, plan: ExperimentPlan, variant: str, seed: int) -> None:
        self._plan = plan
        self._variant = variant
        self._seed = seed
        self._routes = {route.name: route for route in plan.routes}
        self._rows: list[RequestRow] = []

    async def run(self) -> RunRows:
        plan = self._plan
        async with trio.open_nursery() as nursery:
            world = World(plan, self._seed, nursery)
            await world.start()
            asked = arrivals(plan, self._seed)
            world.fleet.harmful_bodies |= {one.body for one in asked if one.is_harmful}
            async with trio.open_nursery() as playing:
                for trouble in plan.troubles:
                    playing.start_soon(_strike, world, trouble)
                for arrival in asked:
                    await trio.sleep_until(world.begin_s + arrival.at_s)
                    playing.start_soon(self._call, world, arrival, self._routes[arrival.route])
            nursery.cancel_scope.cancel()
        self._rows.sort(key=lambda row: row.number)
        return RunRows(
            self._variant,
            self._seed,
            tuple(self._rows),
            tuple(world.loads),
            len(world.fleet.crashed),
            world.network.datagram_bytes,
        )

    async def _call(self, world: World, arrival: Arrival, route: RoutePlan) -> None:
        self._rows.append(await Caller(world, arrival, route).run())


async def _strike(world: World, trouble: TroublePlan) -> None:
    await trio.sleep_until(world.begin_s + trouble.at_s)
    await TROUBLES.get(trouble.kind)(world, trouble)
