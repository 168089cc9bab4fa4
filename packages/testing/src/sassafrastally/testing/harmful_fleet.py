"""Harmful requests over a fleet in small: they crash each backend server that runs them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.platform_fleet import wait_until

if TYPE_CHECKING:
    from sassafrastally.stand_ins.platform_fleet import PlatformFleet
    from sassafrastally.stand_ins.received_request import ReceivedRequest
from sassafrastally.stand_ins.replica import Replica

HARMFUL = b"a prompt that crashes what runs it"
"""Body of the harmful request."""

HARMFUL_PART = "bad0"
"""ID of a prompt part that crashes what begins to answer it."""

CRASHES = 3
"""Servers that crash under it before it is run no more."""


async def start_fleet(fleet: PlatformFleet, entries: int = 3, engines: int = 6) -> None:
    """Start entries that hear each other before engines and as many plain servers."""
    for number in range(1, engines + 1):
        await fleet.add_replica(f"engine-{number}")
        await fleet.add_replica(f"desk-{number}", "desk")
    for number in range(1, entries + 1):
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await wait_until(lambda: all(peer.live_count() == entries - 1 for peer in peers))


def harmful_arrivals(fleet: PlatformFleet) -> list[ReceivedRequest]:
    """Return the harmful requests that reached a backend server, in their order."""
    return [
        arrival
        for arrival in fleet.received_requests()
        if arrival.request.body in fleet.harmful_bodies
    ]


def alive(fleet: PlatformFleet) -> list[Replica]:
    """Return the backend servers that haven't crashed."""
    return [replica for replica in fleet.replicas.values() if not replica.has_crashed.is_set()]


async def quarantine(fleet: PlatformFleet, entry: int = 1) -> None:
    """Let the harmful request crash servers until an entry runs it no more."""
    fleet.harmful_bodies.add(HARMFUL)
    for _ in range(4):
        await fleet.call("/note/x", entry=entry, body=HARMFUL, prompt="1000,340")
    assert len(fleet.crashed) == CRASHES


async def assert_refused(
    fleet: PlatformFleet, entry: int, path: str = "/note/x", prompt: str | None = "1000,340"
) -> None:
    """Check that an entry refuses the harmful request."""
    before = len(harmful_arrivals(fleet))
    answer = await fleet.call(path, entry=entry, body=HARMFUL, prompt=prompt)
    assert json.loads(answer.body)["type"].endswith("quarantined")
    assert len(harmful_arrivals(fleet)) == before


def arrivals_with_part(fleet: PlatformFleet) -> list[ReceivedRequest]:
    """Return the requests with a harmful part that reached a backend server, in their order."""
    arrivals = fleet.received_requests()
    return [one for one in arrivals if not one.parts.isdisjoint(fleet.harmful_parts)]


def harmful_prompt(number: int, position: int = 1, part: str = HARMFUL_PART) -> tuple[bytes, str]:
    """Return body and parts of a request with a harmful part, like no other request.

    Parameters
    ----------
    number
        Number of the request; its shared part is one of three.
    position
        Position of the harmful part, from 0.
    part
        The harmful part.
    """
    parts = [f"a{number % 3}", f"b{number:x}{part}", f"f{number:x}"]
    parts.insert(position, part)
    return f"harmful {part} {number}".encode(), ",".join(parts)
