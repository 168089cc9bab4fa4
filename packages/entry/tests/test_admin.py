"""Tests of the administration interface against a whole deployment on loopback."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import httpx
import trio

from sassafrastally.control.bundle import Bundle, Customer, Model
from sassafrastally.core import TcpNetwork
from sassafrastally.entry.admin import AdminHttpService
from sassafrastally.testing.deployment import (
    ADMIN_TOKEN,
    Deployment,
    DeploymentShape,
    VmSpec,
    key_digest,
    open_deployment,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

BUNDLE = Bundle("b", (Model("small", "1", 100_000),), (Customer("c", (key_digest("k"),)),))
SHAPE = DeploymentShape((VmSpec("entry-1", "entry"), VmSpec("model-1", "sidecar")), BUNDLE)
READY_LIMIT_S = 10.0


class TestAdminInterface:
    """The responses that an operator gets from one entry."""

    async def test_call_without_a_valid_token_is_rejected(self):
        async with _operator("wrong") as (client, _):
            for path in ("/admin/status", "/admin/events", "/admin/metrics", "/admin/bundle"):
                assert (await client.get(path)).status_code == 401
            roll = await client.post("/admin/bundle/roll", content=b"{}")
            assert roll.status_code == 401

    async def test_status_shows_every_process_and_the_problem_of_a_dead_one(self):
        async with _operator(ADMIN_TOKEN) as (client, deployment):
            rows = await _status_rows(client)
            assert [(row["vm"], row["problem"]) for row in rows] == [
                ("entry-1", ""),
                ("model-1", ""),
            ]
            assert {row["services"]["bundle"]["generation"] for row in rows} == {1}
            await deployment.kill("model-1")
            rows = await _status_rows(client)
            assert rows[1]["problem"] != ""

    async def test_events_of_both_processes_are_merged(self):
        async with _operator(ADMIN_TOKEN) as (client, _):
            await _status_rows(client)
            answer = (await client.get("/admin/events")).json()
            assert {event["vm"] for event in answer["events"]} == {"entry-1", "model-1"}
            stamps = [event["stamp"] for event in answer["events"]]
            assert stamps == sorted(stamps)

    async def test_document_with_findings_is_refused_with_all_of_them(self):
        async with _operator(ADMIN_TOKEN) as (client, _):
            reply = await client.post("/admin/bundle/publish", content=b'nam = "x"\nmodel = 3\n')
            assert reply.status_code == 422
            assert len(reply.json()["findings"]) >= 2

    async def test_metrics_of_any_process(self):
        async with _operator(ADMIN_TOKEN) as (client, _):
            await _status_rows(client)
            reply = await client.get("/admin/metrics", params={"vm": "model-1"})
            assert reply.status_code == 200
            assert (await client.get("/admin/metrics", params={"vm": "x"})).status_code == 400


@asynccontextmanager
async def _operator(token: str) -> AsyncIterator[tuple[httpx.AsyncClient, Deployment]]:
    async with open_deployment(SHAPE, TcpNetwork()) as deployment:
        service = deployment.node("entry-1").kernel.get("admin-http", AdminHttpService)
        headers = {"Authorization": f"Bearer {token}"}
        async with httpx.AsyncClient(
            base_url=f"http://{service.bound_address}", headers=headers, timeout=10.0
        ) as client:
            yield client, deployment


async def _status_rows(client: httpx.AsyncClient) -> list[dict[str, Any]]:
    """Return the rows once the VM list shows both processes with a bundle in force."""
    with trio.fail_after(READY_LIMIT_S):
        while True:
            rows = (await client.get("/admin/status")).json()["processes"]
            if len(rows) == 2 and all(
                row["services"].get("bundle") or row["problem"] for row in rows
            ):
                return rows
            await trio.sleep(0.05)
