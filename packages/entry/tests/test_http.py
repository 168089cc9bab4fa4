"""The HTTP server over loopback: connections, shutdown and disconnects of callers."""

from __future__ import annotations

from typing import Any

import httpx
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.settings import EntrySettings, HttpSettings
from sassafrastally.wire.messages import Cancel, Reserve

HEADERS = {"Authorization": "Bearer a-key-of-yeso-justo"}
GOOD = {"model": "yeso-small", "prompt": "A wall.", "max_tokens": 16, "stream": True}
RAW = (
    b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    b"Authorization: Bearer a-key-of-yeso-justo\r\nContent-Length: 60\r\n\r\n"
) + b'{"model":"yeso-small","prompt":"A wall.","stream":true}'.ljust(60)


@pytest.fixture
def entry_settings() -> EntrySettings:
    return EntrySettings(routing_policy="round-robin", drain_s=1.0)


@pytest.fixture
def http_settings() -> HttpSettings:
    return HttpSettings(Address("127.0.0.1", 0))


@pytest.fixture
def server(world: Any) -> HttpService:
    found: HttpService = world.kernel.get("http", HttpService)
    return found


def url(server: HttpService, path: str = "/v1/completions") -> str:
    return f"http://{server.bound_address}{path}"


async def one_word_then_wait(sidecar: Any, end: Any, reserve: Reserve) -> None:
    await sidecar.accept(end, reserve)
    await end.send(*sidecar.chunks((reserve.request_id, reserve.attempt), sidecar.words[:1]))
    await end.receive()


async def wait_for_event(world: Any, name: str) -> None:
    with trio.fail_after(5):
        while all(record["name"] != name for record in world.kernel.events.records()):
            await trio.sleep(0.01)


class TestConnections:
    async def test_connection_is_closed_after_the_answer_on_request(
        self, server: HttpService
    ) -> None:
        """A client that sends "Connection: close" and reads until the end of the connection would
        hang after the complete answer if the disconnect event that the server raises itself
        cancelled the task that closes the connection."""
        with trio.fail_after(5):
            stream = await trio.open_tcp_stream("127.0.0.1", server.bound_address.port)
            async with stream:
                await stream.send_all(RAW)
                data = b"".join([part async for part in stream])
        assert data.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")

    async def test_disconnect_of_the_caller_cancels_its_run(
        self, server: HttpService, world: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [one_word_then_wait], [one_word_then_wait]
        stream = await trio.open_tcp_stream("127.0.0.1", server.bound_address.port)
        await stream.send_all(RAW)
        await stream.receive_some()
        await stream.aclose()
        with trio.fail_after(2):
            while not world.s1.of(Cancel) + world.s2.of(Cancel):
                await trio.sleep(0.02)
        assert world.kernel.events.records({"outcome": "failed"})

    async def test_body_size_is_checked_while_it_is_received(
        self, server: HttpService, world: Any
    ) -> None:
        async def endless() -> Any:
            for _ in range(40):
                yield b"x" * 10_000

        async with httpx.AsyncClient() as client:
            response = await client.post(url(server), content=endless(), headers=HEADERS)
        assert response.json()["code"] == "body-too-large"
        assert not (world.s1.log or world.s2.log)


class TestStopping:
    async def test_shutdown_truncates_no_answer(self, server: HttpService, world: Any) -> None:
        """An entry is replaced. Answers would be truncated if the process exited while they are
        still streaming, and requests would fail if it refused those that the load balancer sends
        before it has noticed that the entry isn't ready."""
        release = trio.Event()

        async def held(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await release.wait()
            await sidecar.answer(end, reserve)

        world.s1.scripts, world.s2.scripts = [held, held], [held, held]
        results: dict[str, Any] = {}

        async def ask(name: str) -> None:
            async with httpx.AsyncClient(verify=False) as client:
                results[name] = await client.post(url(server), json=GOOD, headers=HEADERS)

        async def wait_open(count: int) -> None:
            with trio.fail_after(2):
                while world.path.open_requests < count:
                    await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "before")
            await wait_open(1)
            world.kernel.request_stop()
            nursery.start_soon(ask, "while draining")
            await wait_open(2)
            async with httpx.AsyncClient(verify=False) as client:
                assert (await client.get(url(server, "/readyz"))).status_code == 503
            await wait_for_event(world, "EntryClosed")
            await ask("after")
            release.set()
        assert results["before"].text.endswith("data: [DONE]\n\n")
        assert results["while draining"].text.endswith("data: [DONE]\n\n")
        assert results["after"].json()["code"] == "stopping"
        await wait_for_event(world, "ProcessStopped")
        with pytest.raises(httpx.ConnectError):
            await ask("closed")
