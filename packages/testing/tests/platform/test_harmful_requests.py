"""Requests that crash the backend servers that run them."""

from __future__ import annotations

import json

import pytest
import trio

from sassafrastally.proxy.peers import Peers
from sassafrastally.testing.platform_fleet import until

HARMFUL = b"a prompt that crashes what runs it"

MOST_AFTER_THE_THIRD = 3
"""Servers that may still be sent such a request after three have crashed under it; what operators
allow."""


async def start_fleet(fleet, entries: int = 3, engines: int = 6) -> None:
    """Start entries that hear each other before engines and as many plain servers."""
    for number in range(1, engines + 1):
        await fleet.add_replica(f"engine-{number}")
        await fleet.add_replica(f"desk-{number}", "desk")
    for number in range(1, entries + 1):
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await until(lambda: all(peer.live_count() == entries - 1 for peer in peers))


def harmful_arrivals(fleet):
    """Return the harmful requests that reached a backend server, in their order."""
    found = [
        arrival
        for replica in fleet.replicas.values()
        for arrival in replica.arrivals
        if arrival.request.body in fleet.harmful_bodies
    ]
    return sorted(found, key=lambda arrival: arrival.at_s)


class TestRepeatedRequest:
    """A request that crashes servers, and that its caller repeats."""

    @pytest.mark.parametrize(
        ("path", "prompt"),
        [("/note/x", "1000,340"), ("/look/x", None), ("/book/x", None)],
        ids=["stream", "repeatable", "once"],
    )
    async def test_reaches_few_servers_whichever_entry_it_comes_to(self, fleet, path, prompt):
        """One prompt crashed each engine that began to run it. The entry sent it on to the next
        engine 1 ms later, which crashed after 0.2 s; the caller came back to another entry with a
        new request id, and two more engines crashed. Of 14 engines 22 were lost in nine seconds,
        all with "the answer broke off" and then "Connection refused". Each entry saw only its own
        attempts, and none compared what the lost engines had run."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet)
        for number in range(9):
            await fleet.call(path, entry=1 + number % 3, body=HARMFUL, prompt=prompt)
            await trio.sleep(0.3)
        assert len(harmful_arrivals(fleet)) <= 3 + MOST_AFTER_THE_THIRD
        assert len(fleet.crashed) <= 4

    async def test_caller_hears_the_true_reason_at_once(self, fleet):
        """The caller of such a request waited for two engines to crash, and got a broken answer
        that said nothing. It must hear at once that the request has not run now, why, and for how
        long that stays so."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet, entries=1)
        for _ in range(4):
            answer = await fleet.call("/note/x", body=HARMFUL, prompt="1000,340")
        begin_s = trio.current_time()
        answer = await fleet.call("/note/x", body=HARMFUL, prompt="1000,340")
        assert trio.current_time() - begin_s < 0.2
        assert answer.status == 503
        problem = json.loads(answer.body)
        assert problem["type"].endswith("quarantined")
        assert "3 backend servers" in problem["detail"]
        assert float(answer.headers["retry-after"]) > 60.0
