"""Servers that fall silent and go on, while the next ones to get their requests fail."""

from __future__ import annotations

import math
import random
from enum import Enum
from typing import TYPE_CHECKING

import trio

from sassafrastally.stand_ins.silence import Silence
from sassafrastally.testing.soak.record import FirstStop
from sassafrastally.testing.soak.troubles import trouble

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.stand_ins.http_stand_in import StandInRequest
    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.stand_ins.replica import Replica
    from sassafrastally.stand_ins.silence import Send
    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.record import Attempt

SUCCEEDING = "successors-fail"

SILENCE_S = (1.0, 1.8)
"""How long a server falls silent that goes on; a successor gets the request after 1.3 s."""

MOST_PARTS = 5
"""Events that are sent before, at most."""

DURATION_S = (3.0, 6.0)

STOPPED_ONE_IN = 3
"""One in so many streams is concerned; the others keep the servers in use."""

FINISH_S = 1.0
"""A server that goes on so long before the limit has time for the rest of a stream."""


class Fate(Enum):
    """What becomes of a repeated request."""

    SILENT = "silent for good"
    CRASH = "crash"
    PAUSE = "silent for a while"


class _Writer:
    """Sends one response and stops once, before a part of the body."""

    def __init__(self, send: Send, part_number: int) -> None:
        self._send = send
        self._parts_left = part_number

    async def write(self, data: bytes) -> None:
        """Send a header or a part of the body."""
        if not data.startswith(b"HTTP/"):
            self._parts_left -= 1
            if self._parts_left == -1:
                await self.stop()
        await self._send(data)

    async def stop(self) -> None:
        """Wait, or end the server."""
        raise NotImplementedError


class _First(_Writer):
    def __init__(self, send: Send, choice: random.Random, server: SilenceInTurns, id_: str) -> None:
        super().__init__(send, choice.randrange(MOST_PARTS))
        self._silent_s = choice.uniform(*SILENCE_S)
        self._server, self._id = server, id_

    async def stop(self) -> None:
        goes_on_s = trio.current_time() + self._silent_s
        self._server.fleet.first_stops[self._id] = FirstStop(self._server.replica, goes_on_s)
        await trio.sleep_until(goes_on_s)


class _Successor(_Writer):
    def __init__(self, send: Send, choice: random.Random, server: SilenceInTurns) -> None:
        super().__init__(send, choice.randrange(MOST_PARTS))
        self._fate = choice.choice(list(Fate))
        self._silent_s = choice.uniform(*SILENCE_S) if self._fate is Fate.PAUSE else math.inf
        self._replica = server.replica

    async def stop(self) -> None:
        if self._fate is Fate.CRASH:
            self._replica.crash()
        await trio.sleep(self._silent_s)


class SilenceInTurns(Silence):
    """The silences of a server while requests that are repeated fail.

    Parameters
    ----------
    fleet, replica
        The server.
    """

    def __init__(self, fleet: SoakFleet, replica: Replica) -> None:
        super().__init__()
        self.fleet = fleet
        self.replica = replica
        self._begin_s = trio.current_time()

    def writer(self, send: Send, request: StandInRequest) -> Send:
        """Return a function that sends one response and may stop once."""
        send = super().writer(send, request)
        id_ = request.headers.get("attempt-id", "")
        attempt = self.fleet.record.attempts.get(id_)
        is_stream = "token-counts" in request.headers
        if attempt is None or not is_stream or attempt.sent_s < self._begin_s:
            return send
        if int(id_, 16) % STOPPED_ONE_IN:
            return send
        # Drawn by the id, so that the order in which requests arrive doesn't matter.
        if id_ not in self.fleet.repeated:
            self.fleet.repeated.add(id_)
            return _First(send, random.Random(id_), self, id_).write
        return _Successor(send, random.Random(f"{id_} again"), self).write


@trouble(SUCCEEDING)
async def fail_in_turn(fleet: SoakFleet) -> None:
    """Let first servers of streams fall silent and go on, and the next ones fail."""
    replicas = [server.replica for server in fleet.servers if server.replica.engine is not None]
    free = [one for one in replicas if not isinstance(one.silence, SilenceInTurns)]
    before = [one.silence for one in free]
    with fleet.record.trouble(SUCCEEDING):
        for replica in free:
            replica.silence = SilenceInTurns(fleet, replica)
        await trio.sleep(fleet.random.uniform(*DURATION_S))
        for replica, silence in zip(free, before, strict=True):
            replica.silence = silence


def judge_successors(
    fleet: SoakFleet, attempt: Attempt, arrivals: Sequence[ReceivedRequest]
) -> None:
    """Judge whether a stream is whole whose first server went on in time.

    It need not be if no server that has it could have finished it in the caller's time: the first
    one has crashed, or goes on too late.
    """
    assert attempt.ended_s is not None
    stop = fleet.first_stops.get(attempt.attempt_id)
    if stop is None or (attempt.status == 200 and attempt.is_whole):
        return
    if stop.replica.has_crashed.is_set() or stop.goes_on_s > attempt.limit_s - FINISH_S:
        return
    if not fleet.record.is_calm(
        attempt.entry,
        attempt.sent_s,
        attempt.ended_s,
        with_planned=True,  # A silence of another trouble comes in addition.
        but_for=(SUCCEEDING,),
    ):
        return
    took_s, goes_on_s = attempt.ended_s - attempt.sent_s, stop.goes_on_s - attempt.sent_s
    fleet.record.note_broken(
        "a stream is whole whose first server goes on in time",
        f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}: status "
        f"{attempt.status} after {took_s:.2f} s, its first server went on after {goes_on_s:.2f} s, "
        f"{len(arrivals)} arrivals",
    )
