"""The fleet of an experiment: real entries on a network in memory, engines that are emulated."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import trio

from sassafrastally.stand_ins.documents import (
    ENGINE,
    make_configuration,
    make_customers,
    make_services,
    make_timed_route,
)
from sassafrastally.stand_ins.platform_fleet import STORE_HOST, PlatformFleet
from sassafrastally.testing.experiment.rows import LoadRow
from sassafrastally.testing.virtual_network import VirtualNetwork

if TYPE_CHECKING:
    from sassafrastally.stand_ins.replica import Replica
    from sassafrastally.testing.experiment.plan import ExperimentPlan

SAMPLE_S = 0.25
"""Time between two looks at the engines."""

SETTLED_S = 1.0
"""Time from the start of the last entry until callers come."""


class World:
    """One run's fleet.

    Parameters
    ----------
    plan
        What to build.
    seed
        Seed of all that is drawn.
    nursery
        Where its tasks run.
    """

    def __init__(self, plan: ExperimentPlan, seed: int, nursery: trio.Nursery) -> None:
        self.plan = plan
        self.random = random.Random(f"{seed}/world")
        self.network = VirtualNetwork(
            random.Random(f"{seed}/network"),
            plan.link_delay_ms / 1000,
            plan.link_jitter_ms / 1000,
            plan.lost_share,
        )
        self.loads: list[LoadRow] = []
        self.begin_s = 0.0
        self._nursery = nursery

    @property
    def entry_numbers(self) -> range:
        """Numbers of the entries."""
        return range(1, self.plan.entries + 1)

    async def start(self) -> None:
        """Start store, servers and entries; returns when callers may come."""
        trio.socket.set_custom_socket_factory(self.network)
        self.fleet = PlatformFleet(self._nursery, self.random, self.network)
        self.fleet.data_centres = [f"zone-{n + 1}" for n in range(self.plan.data_centres)]
        await self.fleet.start_store()
        self.fleet.configure(self._configuration())
        figures = {**ENGINE, **self.plan.engine}
        number = 0
        for group in self.plan.engines:
            for _ in range(group.number):
                number += 1
                replica = await self.fleet.add_replica(f"engine-{number}", engine=figures)
                assert replica.engine is not None
                replica.engine.pace = group.pace
        for number in range(1, self.plan.plain_servers + 1):
            await self.fleet.add_replica(f"desk-{number}", "desk")
        for number in self.entry_numbers:
            await self.add_entry(number)
        await trio.sleep(SETTLED_S)
        self.begin_s = trio.current_time()
        self._nursery.start_soon(self._look_at_engines)

    async def add_entry(self, number: int) -> None:
        """Start an entry."""
        await self.fleet.add_entry(number)

    def some_entries(self, share: float) -> list[int]:
        """Draw a share of the entries, one at least."""
        numbers = list(self.entry_numbers)
        return self.random.sample(numbers, max(1, round(share * len(numbers))))

    def some_engines(self, share: float) -> list[Replica]:
        """Draw a share of the engines that live, one at least."""
        engines = self.engines()
        return self.random.sample(engines, max(1, round(share * len(engines))))

    def engines(self) -> list[Replica]:
        """Return the engines that live."""
        replicas = self.fleet.replicas.values()
        return [one for one in replicas if one.engine and not one.has_crashed.is_set()]

    def cut_from_control(self, number: int) -> None:
        """Cut an entry off from all other entries and from the store."""
        host = self.fleet.entry_settings(number).host
        others = [self.fleet.entry_settings(n).host for n in self.entry_numbers if n != number]
        for other in (*others, STORE_HOST):
            self.network.cut(host, other)
            self.network.cut(other, host)

    def _configuration(self) -> dict[str, Any]:
        plan = self.plan
        routes = [
            make_timed_route(
                route.name,
                route.kind,
                route.service,
                timeout_ms=route.timeout_ms,
                goal_ms=route.goal_ms,
                gap_goal_ms=route.gap_goal_ms,
                max_attempts=route.max_attempts,
            )
            for route in plan.routes
        ]
        customers = make_customers(sorted({traffic.customer for traffic in plan.traffic}))
        services = make_services({**ENGINE, **plan.engine})
        return make_configuration(2, routes=routes, services=services, tenants=customers)

    async def _look_at_engines(self) -> None:
        while True:
            at_s = round(trio.current_time() - self.begin_s, 3)
            for replica in self.engines():
                if replica.engine is not None:
                    engine = replica.engine
                    row = LoadRow(at_s, replica.server_id, engine.running, engine.waiting)
                    self.loads.append(row)
            await trio.sleep(SAMPLE_S)
