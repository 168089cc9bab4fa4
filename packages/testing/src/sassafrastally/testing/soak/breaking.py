"""Servers that break their responses off, inside the body or the head."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.testing.soak.proxying import CutHead
from sassafrastally.testing.soak.troubles import NoServerFree, trouble

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.stand_ins.replica import Replica
    from sassafrastally.testing.soak.fleet import Server, SoakFleet
    from sassafrastally.testing.soak.record import Attempt

NAME = "server-breaks-off"
HEAD_NAME = "server-stops-in-head"

MOST_EVENTS = 6
"""A stream breaks off at its first event, or after at most so many."""

MOST_BYTES = 30
"""Other responses break off after at most so many bytes of their body, which are more."""

HEAD_SHARES = (0.3, 0.6)
"""Shares of the servers that stop in the heads of their responses."""

HEAD_TURN_S = 0.1
"""How long they stop at the same place."""

PAUSES_S = (0.0, 0.0, 0.3)
"""Time from there to the end of the connection."""


@trouble(NAME)
async def break_off(fleet: SoakFleet) -> None:
    """Let a server end its responses by length, chunks or close, whole or broken off."""
    with breaking_server(fleet) as server:
        await _break_off(fleet, server.replica)


@contextmanager
def breaking_server(fleet: SoakFleet) -> Iterator[Server]:
    """Choose a server whose responses only this trouble breaks off.

    Two at a server could end a body without framing behind an event by a close, which is whole by
    any rule.
    """
    free = [
        server
        for server in fleet.servers
        if not server.is_breaking_off and server.proxy.cut_head is None
    ]
    if not free:
        raise NoServerFree
    server = fleet.random.choice(free)
    server.is_breaking_off = True
    try:
        yield server
    finally:
        server.is_breaking_off = False


async def _break_off(fleet: SoakFleet, replica: Replica) -> None:
    framing = fleet.random.choice(list(BodyFraming))
    how = fleet.random.choice([None, *ConnectionEnd])
    # A body that only its connection ends is whole by any rule if it is closed after an event, or
    # if it has no events.
    is_regular_end = framing is BodyFraming.CLOSE and how is ConnectionEnd.CLOSE
    is_inside_event = is_regular_end or fleet.random.random() < 0.5
    name = f"{NAME}: {framing.value}, {how.value if how else 'whole'}"
    with fleet.record.trouble(name):
        replica.framing = framing
        if how is not None:
            replica.breaks_by, replica.breaks_inside_event = how, is_inside_event
            replica.breaks_after_events = fleet.random.randint(0, MOST_EVENTS)
            if not is_regular_end:
                replica.breaks_after_bytes = fleet.random.randint(0, MOST_BYTES)
        await trio.sleep(fleet.random.uniform(1.0, 6.0))
        replica.framing, replica.breaks_by = None, ConnectionEnd.CLOSE
        replica.breaks_inside_event = True
        replica.breaks_after_events = replica.breaks_after_bytes = -1


@trouble(HEAD_NAME)
async def stop_in_head(fleet: SoakFleet) -> None:
    """Let servers send a part of a head and end the connection; not those that break off."""
    free = [server for server in fleet.servers if not server.is_breaking_off]
    count = max(1, round(fleet.random.choice(HEAD_SHARES) * len(fleet.servers)))
    servers = fleet.random.sample(free, min(count, len(free)))
    framing = fleet.random.choice(list(BodyFraming))
    until_s = trio.current_time() + fleet.random.uniform(1.0, 4.0)
    with fleet.record.trouble(HEAD_NAME):
        while trio.current_time() < until_s:
            for server in servers:
                server.replica.framing = framing
                server.proxy.cut_head = CutHead(
                    fleet.random.random(),
                    fleet.random.choice(PAUSES_S),
                    fleet.random.random() < 0.5,
                )
            await trio.sleep(HEAD_TURN_S)
        for server in servers:
            server.replica.framing = server.proxy.cut_head = None


def judge_cut_heads(
    fleet: SoakFleet, attempt: Attempt, arrivals: Sequence[ReceivedRequest]
) -> None:
    """Judge whether a success comes from a head that its server has sent to the end."""
    cut = sum(server.proxy.cut_successes[attempt.attempt_id] for server in fleet.servers)
    runs = sum(arrival.has_run for arrival in arrivals)
    if cut and attempt.status == 200 and runs <= cut:
        fleet.record.note_broken(
            "a head that breaks off is no answer",
            f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}: status 200, "
            f"{len(attempt.body)} bytes, {runs} runs, {cut} heads broken off",
        )
