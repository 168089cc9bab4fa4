"""Replies of very many processes to one question of an operator."""

from __future__ import annotations

import json
from typing import Any

import pytest
import trio
import trio.testing

from sassafrastally.control import admin
from sassafrastally.control.admin import MAX_REPLY_BYTES, AdminService
from sassafrastally.control.membership import VmLeaving
from sassafrastally.control.timeline import answer_events
from sassafrastally.core import Address, Clock, Kernel, Service
from sassafrastally.stores.interfaces import VmState
from sassafrastally.wire.messages import AdminCall, AdminReturn

MAX_ALL_BYTES = 100_000


class FakePeers(Service):
    """Links to processes that reply with as many bytes as they may, or with more."""

    name = "peers"

    def __init__(self, *, is_obedient: bool) -> None:
        self.most_calls = 0
        self._is_obedient = is_obedient
        self._calls = 0

    def on_stream(self, *_: object) -> None:
        pass

    async def link_to(self, *_: object) -> FakePeers:
        return self

    async def call(self, call: AdminCall) -> AdminReturn:
        self._calls += 1
        self.most_calls = max(self.most_calls, self._calls)
        await trio.sleep(0.1)
        self._calls -= 1
        allowed = json.loads(call.body).get("max_bytes", MAX_REPLY_BYTES)
        size_bytes = allowed if self._is_obedient else MAX_REPLY_BYTES
        return AdminReturn(200, b'{"x":"' + b"x" * (size_bytes - 8) + b'"}')


def states(count: int) -> list[VmState]:
    address = Address("127.0.0.1", 1)
    return [VmState(f"vm-{number}", "entry", "a", "a", address) for number in range(count)]


def make_service(peers: FakePeers) -> AdminService:
    kernel = Kernel("here", "a", Clock(epoch_s=1e9), seed=1)
    kernel.add(peers)
    return kernel.add(AdminService())


class TestAllProcesses:
    @pytest.mark.parametrize("is_obedient", [True, False])
    async def test_all_replies_are_bounded(
        self,
        monkeypatch: pytest.MonkeyPatch,
        autojump_clock: trio.testing.MockClock,
        is_obedient: bool,
    ) -> None:
        """Guards against an entry that an operator's question ends, with all its requests: 1,840
        replies of a frame have 470 MB, and several times that once decoded."""
        monkeypatch.setattr(admin, "MAX_ALL_REPLY_BYTES", 4 * MAX_ALL_BYTES)
        peers = FakePeers(is_obedient=is_obedient)
        answers = await make_service(peers).ask_all(states(20), "events", {})
        bodies = [answer.body for answer in answers if answer.body is not None]
        assert sum(len(body["x"]) for body in bodies) <= 4 * MAX_ALL_BYTES
        assert len(bodies) == (20 if is_obedient else 1)
        problems = {answer.problem for answer in answers if answer.body is None}
        assert problems <= {"left out: the replies of all processes are too long"}

    async def test_calls_at_a_time_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a full frame of each process that waits unread at the same time."""
        monkeypatch.setattr(admin, "MAX_CONCURRENT_CALLS", 5)
        peers = FakePeers(is_obedient=True)
        service, results = make_service(peers), []

        async def ask() -> None:
            results.extend(await service.ask_all(states(20), "status", {}))

        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(ask)
        assert peers.most_calls == 5
        assert all(answer.body is not None for answer in results)
        assert len(results) == 40

    async def test_events_fit_in_the_share(self) -> None:
        """Guards against a process whose reply is left out because it is longer than its share."""
        kernel = Kernel("here", "a", Clock(epoch_s=1e9), seed=1)
        for number in range(100):
            kernel.events.emit(VmLeaving(f"vm-{number}", "list"))
        everything: Any = await answer_events(kernel, {})
        few: Any = await answer_events(kernel, {"max_bytes": 2_000})
        assert len(json.dumps(few)) <= 2_000
        kept = len(few["events"])
        assert 0 < kept < 100
        assert few["events"] == everything["events"][-kept:]
        assert few["left_out"] == 100 - kept
