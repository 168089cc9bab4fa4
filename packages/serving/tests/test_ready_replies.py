"""Replies of homes that are ready when their time limit passes while the entry doesn't run."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.serving.home_calls import CIRCUIT_OPEN_S, HomeClient
from sassafrastally.stores.interfaces import VmState
from sassafrastally.wire.messages import ClaimReply, SliceRequest

LIMIT_S = 0.5
LAGS_S = [0.0, 0.01, 0.05, 0.25, 3.0]
"""How late the process runs after the limit."""

HOME = VmState("home", "entry", "dc", "region", Address("127.0.0.1", 1))
REPLY = ClaimReply("granted")


class PausedPeers:
    """Links whose reply has arrived when the process pauses, or never arrives."""

    def __init__(self, clock: Any, pause_s: float, *, has_reply: bool = True) -> None:
        self._clock = clock
        self._pause_s = pause_s
        self._has_reply = has_reply

    async def link_to(self, vm: str, address: Address) -> PausedPeers:
        return self

    async def call(self, message: Any) -> ClaimReply:
        self._clock.jump(self._pause_s)
        for _ in range(3):
            await trio.lowlevel.checkpoint()
        if not self._has_reply:
            await trio.sleep_forever()
        return REPLY


class TestHomeClient:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_reply_is_returned(
        self, autojump_clock: trio.testing.MockClock, lag_s: float
    ) -> None:
        """Guards against a sound home that is skipped, with its claims and grants, since the entry
        read its reply late."""
        peers: Any = PausedPeers(autojump_clock, LIMIT_S + lag_s)
        client = HomeClient(peers)
        assert await client.call(HOME, SliceRequest(()), LIMIT_S) is REPLY
        assert not client.is_circuit_open(HOME)

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_call_is_not_sent_past_its_limit(
        self, autojump_clock: trio.testing.MockClock, lag_s: float
    ) -> None:
        """Guards against a claim or a request for tokens that a home handles although the entry has
        given it up: the link was dialled before a pause."""
        sent: list[Any] = []

        class Peers:
            async def link_to(self, vm: str, address: Address) -> Peers:
                autojump_clock.jump(LIMIT_S + lag_s)
                return self

            async def call(self, message: Any) -> None:
                sent.append(message)
                await trio.sleep_forever()

        client = HomeClient(Peers())  # type: ignore[arg-type]
        assert await client.call(HOME, SliceRequest(()), LIMIT_S) is None
        assert not sent

    async def test_home_without_a_reply_is_skipped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        peers: Any = PausedPeers(autojump_clock, 0.0, has_reply=False)
        client = HomeClient(peers)
        assert await client.call(HOME, SliceRequest(()), LIMIT_S) is None
        assert client.is_circuit_open(HOME)
        await trio.sleep(CIRCUIT_OPEN_S)
        assert not client.is_circuit_open(HOME)
