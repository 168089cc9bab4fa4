"""A deployment whose every refusal is provoked and looked at from outside."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model, PlainService
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.routes import Routes
from sassafrastally.serving.receipts import ReceiptService
from sassafrastally.serving.refusals import REFUSALS
from sassafrastally.testing.deployment import (
    DeploymentShape,
    VmSpec,
    key_digest,
    open_deployment,
)
from sassafrastally.testing.engine_model import EngineShape
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.wire.messages import Reserve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.testing.deployment import Deployment

BUNDLE = Bundle(
    name="truth",
    models=(Model("reader", "1", 50_000), Model("tiny", "1", 1_000)),
    customers=(
        Customer("counter", (key_digest("counter"),)),
        Customer("narrow", (key_digest("narrow"),), models=("tiny",)),
        Customer("slow", (key_digest("slow"),), rate_tokens_per_s=50.0, burst_tokens=1_000),
        Customer("single", (key_digest("single"),), max_concurrent=1),
    ),
    services=(PlainService("bookings", max_concurrent=4),),
    limits=Limits(default_time_limit_s=30.0, max_body_bytes=200_000),
)
ENGINE = EngineShape(models=("reader", "tiny"), total_blocks=1_024)
VMS = (
    *(VmSpec(f"engine-{number}", "sidecar") for number in (1, 2)),
    VmSpec("service-1", "sidecar", service="bookings"),
    *(VmSpec(f"entry-{number}", "entry") for number in (1, 2)),
)
ENGINES = ("engine-1", "engine-2")
SETTLE_S = 5.0
MARKER = "asked"
BOOKING = "/services/bookings/book"


SEGMENT = Reserve(
    request_id="5" * 32, attempt=1, model="reader", service="", customer="counter",
    prompt_tokens=12_000, max_output_tokens=0, prefix_hashes=(), time_limit_s=60.0,
    idempotent=True, priority=0, body_size_bytes=10, generation=1, segment_tokens=12_000,
    operation="POST /v1/completions",
)  # fmt: skip
"""A sidecar keeps 12,000 tokens of its engine's memory for it."""


class Told(NamedTuple):
    """What a caller was told."""

    status: int
    headers: Any
    problem: dict[str, Any]
    """Empty for a whole answer."""

    @property
    def retry_after_s(self) -> float:
        """When to come back; 0 if it wasn't said."""
        return float(self.headers.get("Retry-After", 0.0))


class World:
    """A deployment and callers of its HTTP interface."""

    def __init__(self, deployment: Deployment, nursery: trio.Nursery) -> None:
        self.deployment = deployment
        self.nursery = nursery

    def path(self, entry: str = "entry-1") -> RequestPath:
        """Return the path of an entry's requests."""
        return self.deployment.node(entry).kernel.get("path", RequestPath)

    async def call(
        self, fields: Any, url: str = "/v1/completions", entry: str = "entry-1", **headers: str
    ) -> Told:
        """Send a call and return what its caller is told."""
        client = Routes(self.path(entry)).make_app().test_client()
        data = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        known = {"Authorization": "Bearer counter"}
        known |= {name.replace("_", "-"): value for name, value in headers.items()}
        response = await client.post(url, data=data, headers=known)
        body: Any = await response.get_data()
        if b"event: error\n" in body:
            return Told(
                response.status_code, response.headers, json.loads(body.split(b"data: ")[-1])
            )
        is_problem = response.headers["Content-Type"].startswith("application/problem+json")
        return Told(response.status_code, response.headers, json.loads(body) if is_problem else {})

    async def models(self, key: str) -> list[str]:
        """Return the models that a customer is shown."""
        client = Routes(self.path()).make_app().test_client()
        response = await client.get("/v1/models", headers={"Authorization": f"Bearer {key}"})
        return [item["id"] for item in (await response.get_json())["data"]]

    def ran(self, marker: str = MARKER) -> int:
        """Return how often backend servers began a request."""
        engines = sum(model.started[marker] for model in self.deployment.engines.values())
        services = self.deployment.services.values()
        return engines + sum(service.executions[marker] for service in services)

    def refused(self, told: Told, code: str, outcome: str = "not_run", ran: int = 0) -> None:
        """Check what holds for every refusal; another entry opens its receipt."""
        problem = told.problem
        assert (problem["code"], problem["outcome"]) == (code, outcome), problem
        assert (problem["status"], problem["title"]) == REFUSALS[code][1::2][:2]
        assert self.ran() == ran
        if "retry_after_s" in problem and told.status != 200:
            assert told.retry_after_s >= problem["retry_after_s"] > 0
        receipts = self.deployment.node("entry-2").kernel.get("receipts", ReceiptService)
        facts = receipts.open(problem["receipt"])
        assert (facts.code, facts.outcome) == (code, outcome)
        assert _is_near(facts.limit, problem.get("limit", 0.0))
        assert _is_near(facts.measured, problem.get("measured", 0.0))
        assert facts.vm == "entry-1"

    async def helps_to_come_back(
        self, told: Told, fields: Any, url: str = "/v1/completions", **headers: str
    ) -> None:
        """Come back as told; it must work now."""
        assert told.retry_after_s > 0
        await trio.sleep(told.retry_after_s)
        again = await self.call(fields, url, **headers)
        assert again.status == 200, again.problem

    async def in_background(self, fields: Any, url: str = "/v1/completions", **more: str) -> None:
        """Send a call that runs for a while, and wait until it runs."""
        self.nursery.start_soon(lambda: self.call(fields, url, **more))
        await trio.sleep(0.2)


@asynccontextmanager
async def open_world() -> AsyncIterator[World]:
    """Run the deployment."""
    async with open_deployment(
        DeploymentShape(VMS, BUNDLE, ENGINE), MemoryNetwork(0.002)
    ) as deployment:
        await trio.sleep(SETTLE_S)
        async with trio.open_nursery() as nursery:
            yield World(deployment, nursery)
            nursery.cancel_scope.cancel()


def prompt(tokens: int = 20, answer: int = 4, marker: str = MARKER, **more: Any) -> dict[str, Any]:
    """Return the body of a call of a model."""
    text = f"{marker} ".ljust(tokens * 4, ".")
    return {"model": "reader", "prompt": text, "max_tokens": answer, "marker": marker, **more}


def booking(marker: str = MARKER) -> dict[str, Any]:
    """Return the body of a booking."""
    return {"marker": marker}


def _is_near(found: float, expected: float) -> bool:
    """Return whether a figure is the expected one up to a thousandth."""
    return abs(found - expected) <= max(1e-3 * abs(expected), 1e-12)
