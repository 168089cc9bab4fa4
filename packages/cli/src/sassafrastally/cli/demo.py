"""``sassafrastally demo``: the main job of both users, on the embedded stand-ins."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import httpx
import structlog
import trio

from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.control.timeline import render_events
from sassafrastally.core import TcpNetwork
from sassafrastally.core.logs import configure_logs
from sassafrastally.entry.http import HttpService
from sassafrastally.serving.explanations import explain
from sassafrastally.serving.receipts import ReceiptService
from sassafrastally.testing.deployment import Deployment, open_deployment
from sassafrastally.testing.deployments import USER_DEPLOYMENTS, customer_key, make_shape

if TYPE_CHECKING:
    import argparse

    from sassafrastally.testing.deployments import UserDeployment

READY_LIMIT_S = 20.0
READY_CHECK_S = 0.1
STREAM = "/v1/chat/completions"
DOSSIER_REPEATS = 6_000
DOSSIER_ANSWER_TOKENS = 24
NOTE_ANSWER_TOKENS = 16
MANY_TOKENS = 300
MAX_REQUESTS = 6
"""So many answers of `MANY_TOKENS` are surely over the customer's rate."""
HEAD_WIDTH = 72


class Caller:
    """Sends a user's requests to entries in turn and shows what comes back."""

    def __init__(self, user: UserDeployment, clients: list[httpx.AsyncClient]) -> None:
        self._user = user
        self._clients = clients

    async def show_note(self) -> None:
        """Stream the answer to a one-line note."""
        _head(f"A one-line note of {self._user.small_customer}")
        await self._stream(self._user.small_customer, self._user.note, NOTE_ANSWER_TOKENS)

    async def show_dossier(self) -> None:
        """Stream the answer to a dossier while a note is answered beside it."""
        _head(f"A dossier of {self._user.large_customer}")
        dossier = self._user.dossier_opening * DOSSIER_REPEATS
        print(f"prompt: about {len(dossier) // 4:,} tokens")
        await self._stream(self._user.large_customer, dossier, DOSSIER_ANSWER_TOKENS)

    async def show_booking(self, deployment: Deployment) -> None:
        """Call a plain service twice with one idempotency key, through two entries."""
        _head("A booking, sent again with the same key through the other entry")
        for client in self._clients:
            reply = await client.post(
                f"/services/{self._user.service}/book",
                content=self._user.booking,
                headers={**_bearer(self._user.small_customer), "Idempotency-Key": "booking-1"},
            )
            print(f"{reply.status_code}  {reply.text}")
        for service in deployment.services.values():
            print(f"executions counted by the service itself: {dict(service.executions)}")

    async def show_refusal(self, deployment: Deployment) -> None:
        """Go over a rate limit, show the refusal and open its receipt on the other entry."""
        _head("A refusal with its reason, opened from its receipt on the other entry")
        for _ in range(MAX_REQUESTS):
            reply = await self._clients[0].post(
                STREAM,
                json=_body(self._user.model, self._user.note, MANY_TOKENS),
                headers=_bearer(self._user.small_customer),
            )
            if reply.is_error:
                break
        problem: dict[str, Any] = reply.json()
        receipt = problem.pop("receipt", "")
        print(f"{reply.status_code}  {json.dumps(problem, indent=2)}")
        other = [node for node in deployment.nodes.values() if node.spec.role == "entry"][-1]
        print()
        print(explain(other.kernel.get("receipts", ReceiptService).open(receipt)))

    async def _stream(self, customer: str, prompt: str, max_tokens: int) -> None:
        started_s = trio.current_time()
        body = {**_body(self._user.model, prompt, max_tokens), "stream": True}
        first_s = 0.0
        async with self._clients[0].stream(
            "POST", STREAM, json=body, headers=_bearer(customer)
        ) as reply:
            async for line in reply.aiter_lines():
                data = line.removeprefix("data: ")
                if not data or data == "[DONE]":
                    continue
                first_s = first_s or trio.current_time() - started_s
                _print_token(data)
        print(f"\nfirst token after {first_s:.2f} s, whole after {_since(started_s):.2f} s")


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("demo", help="show the main job on the embedded stand-ins")
    parser.set_defaults(run=run)


async def run(_arguments: argparse.Namespace) -> int:
    """Run both deployments in small, one after the other."""
    configure_logs("error")
    structlog.configure(cache_logger_on_first_use=False)
    for user in USER_DEPLOYMENTS:
        await _show_user(user)
    return ExitCode.OK


async def _show_user(user: UserDeployment) -> None:
    print(f"\n{'=' * HEAD_WIDTH}\n{user.title}\n{'=' * HEAD_WIDTH}")
    async with open_deployment(make_shape(user), TcpNetwork()) as deployment:
        entries = [node for node in deployment.nodes.values() if node.spec.role == "entry"]
        addresses = [node.kernel.get("http", HttpService).bound_address for node in entries]
        clients = [httpx.AsyncClient(base_url=f"http://{one}", timeout=60.0) for one in addresses]
        await _wait_ready(clients, user)
        caller = Caller(user, clients)
        await caller.show_note()
        await caller.show_dossier()
        await caller.show_booking(deployment)
        await caller.show_refusal(deployment)
        _head("The time line of the refusal's entry, last events")
        print(render_events(entries[0].kernel.events.records()[-5:]), end="")
        for client in clients:
            await client.aclose()


async def _wait_ready(clients: list[httpx.AsyncClient], user: UserDeployment) -> None:
    """Wait until every entry serves the model."""
    body = _body(user.model, "ready?", 1)
    with trio.fail_after(READY_LIMIT_S):
        for client in clients:
            while (
                await client.post(STREAM, json=body, headers=_bearer(user.large_customer))
            ).is_error:
                await trio.sleep(READY_CHECK_S)


def _body(model: str, prompt: str, max_tokens: int) -> dict[str, Any]:
    message = {"role": "user", "content": prompt}
    return {"model": model, "max_tokens": max_tokens, "messages": [message]}


def _bearer(customer: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {customer_key(customer)}"}


def _print_token(data: str) -> None:
    event = json.loads(data)
    if "choices" not in event:
        print(data)
        return
    sys.stdout.write(event["choices"][0]["delta"].get("content") or "")
    sys.stdout.flush()


def _since(moment_s: float) -> float:
    return trio.current_time() - moment_s


def _head(text: str) -> None:
    print(f"\n-- {text}")
