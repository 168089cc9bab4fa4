"""Bounds of callers' bodies: bytes, time and one budget."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.entry.bodies import BodyBudget, read_body
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.settings import EntrySettings, HttpSettings
from sassafrastally.serving.refusals import Refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_BODY_BYTES = 100
MAX_HELD_BYTES = 250
DRAIN_S = 0.5
AUTHORIZATION = {"Authorization": "Bearer a-key-of-yeso-justo"}
GOOD = {"model": "yeso-small", "prompt": "A wall.", "max_tokens": 16, "stream": True}
SLOW_HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer a-key-of-yeso-justo\r\n"
    b"%bContent-Length: 60000\r\n\r\n"
)


class Sender:
    """A caller that sends its body part by part."""

    def __init__(self) -> None:
        self.parts, self._received = trio.open_memory_channel[bytes](1000)
        self.outcome = ""

    async def read(self, budget: BodyBudget, deadline_s: float = 60.0) -> None:
        """Read the body and record its size or the code of the refusal."""

        async def parts() -> AsyncIterator[bytes]:
            async for part in self._received:
                yield part

        try:
            body = await read_body(parts(), budget, MAX_BODY_BYTES, deadline_s)
            self.outcome = str(len(body))
        except Refusal as refusal:
            self.outcome = refusal.kind.code

    def send(self, size_bytes: int) -> None:
        """Send a part."""
        self.parts.send_nowait(b"x" * size_bytes)


class TestReadBody:
    async def test_largest_incomplete_body_gives_way(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against incomplete bodies that fill the memory, and against refusing the small
        body of a sound caller for them."""
        budget = BodyBudget(MAX_HELD_BYTES)
        slow = [Sender() for _ in range(3)]
        sound = Sender()
        for sender in (*slow, sound):
            nursery.start_soon(sender.read, budget)
        for number, sender in enumerate(slow):
            sender.send(80 + number)
            await trio.testing.wait_all_tasks_blocked()
        assert budget.held_bytes == 80 + 81 + 82
        sound.send(20)
        sound.parts.close()
        await trio.testing.wait_all_tasks_blocked()
        assert sound.outcome == "20"
        assert [sender.outcome for sender in slow] == ["", "", "overloaded"]
        assert budget.held_bytes == 80 + 81

    async def test_bodies_in_use_do_not_give_way(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        budget = BodyBudget(MAX_HELD_BYTES)
        sender = Sender()
        with budget.use(MAX_HELD_BYTES - 10):
            nursery.start_soon(sender.read, budget)
            sender.send(20)
            await trio.testing.wait_all_tasks_blocked()
            assert sender.outcome == "overloaded"
            assert budget.held_bytes == MAX_HELD_BYTES - 10
        assert budget.held_bytes == 0

    @pytest.mark.parametrize(
        ("sizes", "outcome"), [((60, 40), "100"), ((60, 41), "body-too-large"), ((), "0")]
    )
    async def test_size_is_bounded(
        self, autojump_clock: trio.testing.MockClock, sizes: tuple[int, ...], outcome: str
    ) -> None:
        budget = BodyBudget(MAX_HELD_BYTES)
        sender = Sender()
        for size in sizes:
            sender.send(size)
        sender.parts.close()
        await sender.read(budget)
        assert sender.outcome == outcome
        assert budget.held_bytes == 0

    async def test_time_is_bounded(self, autojump_clock: trio.testing.MockClock) -> None:
        budget = BodyBudget(MAX_HELD_BYTES)
        sender = Sender()
        sender.send(60)
        await sender.read(budget, deadline_s=trio.current_time() + 5.0)
        assert sender.outcome == "time-limit-passed"
        assert budget.held_bytes == 0


class TestBodiesOverHttp:
    @pytest.fixture
    def entry_settings(self) -> EntrySettings:
        return EntrySettings(routing_policy="round-robin", max_held_body_bytes=50_000)

    @pytest.fixture
    def http_settings(self) -> HttpSettings:
        return HttpSettings(Address("127.0.0.1", 0))

    @pytest.mark.parametrize(
        ("key", "outcome"), [(b"", "not_run"), (b"Idempotency-Key: k1\r\n", "unknown")]
    )
    async def test_incomplete_bodies_do_not_fill_the_memory(
        self, world: Any, key: bytes, outcome: str
    ) -> None:
        """Guards against bodies that count only once they are complete: a caller that sends half of
        its body and waits would hold memory outside of every bound."""
        bound = world.kernel.get("http", HttpService).bound_address
        with trio.fail_after(5):
            stream = await trio.open_tcp_stream("127.0.0.1", bound.port)
            async with stream, httpx.AsyncClient() as client:
                await stream.send_all(SLOW_HEAD % key + b"x" * 40_000)
                while world.path.status()["held_body_bytes"] < 40_000:
                    await trio.sleep(0.01)
                body = {**GOOD, "prompt": "x" * 20_000}
                url = f"http://{bound}/v1/completions"
                response = await client.post(url, json=body, headers=AUTHORIZATION)
                assert response.text.endswith("data: [DONE]\n\n")
                refused = b"".join([part async for part in stream])
                assert b'"code":"overloaded"' in refused
                assert b'"outcome":"%b"' % outcome.encode() in refused
                while world.path.status()["held_body_bytes"]:
                    await trio.sleep(0.01)


class TestStopping:
    @pytest.fixture
    def entry_settings(self) -> EntrySettings:
        return EntrySettings(routing_policy="round-robin", drain_s=DRAIN_S)

    @pytest.fixture
    def http_settings(self) -> HttpSettings:
        return HttpSettings(Address("127.0.0.1", 0))

    @pytest.mark.parametrize("key", [b"", b"Idempotency-Key: k1\r\n"])
    async def test_body_that_is_incomplete_at_the_end_of_the_drain_is_refused(
        self, world: Any, key: bytes
    ) -> None:
        """Guards against a request that is cut with no answer: its head came before the end of the
        drain, its body doesn't come, and the entry closed its connection after some seconds."""
        port = world.kernel.get("http", HttpService).bound_address.port
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(SLOW_HEAD % key)
            await trio.sleep(0.1)
            world.kernel.request_stop()
            with trio.fail_after(DRAIN_S + 2):
                answer = b"".join([part async for part in stream])
        assert answer.startswith(b"HTTP/1.1 503")
        assert b'"stopping"' in answer
        assert (b'"unknown"' if key else b'"not_run"') in answer
        assert not (world.s1.log or world.s2.log)
