"""Callers who open a connection for each request, some with late bodies, around planned stops."""

from __future__ import annotations

from functools import partial
from itertools import pairwise
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import encode_request
from sassafrastally.testing.soak.callers import CONNECT_TIME_S, Caller
from sassafrastally.testing.soak.record import Kind
from sassafrastally.testing.soak.troubles import STARTED, STOPPED, some_entries, stop_one, trouble

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.record import Attempt

RECONNECTING = "callers-reconnect"

CALLERS = (20, 60)

PRESS_S = (0.3, 1.5)
"""How long they press before the entry is asked to stop."""

STOP_SHARE = 0.8
"""Share of these times in which the entry is asked to stop; otherwise callers press on."""

AGAIN_SHARE = 0.5
"""Share of the stops after which the next process is asked to stop while it loads."""

LOADING_S = (0.0, 0.3)
"""How long after its port is open."""

LOOK_S = 0.005
"""How often callers look whether the port is open."""

MOST_S = 8.0
"""How long they press at most; they end sooner if the entry refuses connections."""

WEIGHTS = {Kind.LOOK: 10, Kind.BOOK: 10, Kind.NOTE: 1}
"""Mostly requests with short responses, so that connections come in quick succession."""

IDLE_SHARE = 0.5
IDLE_S = (0.0, 0.1)
"""Share of the callers' connections that wait before the request, and how long."""

LATE_SHARE = 0.1
LATE_S = (0.05, 0.8)
"""Share of the bodies that come late, and how long after the header they end."""

MOST_PIECES = 3
"""Pieces of a late body, at most."""

UNREAD_S = 0.2
"""Time after its last byte within which a connection may be closed without a response: its request
is then taken for unread. The operator's limit."""


class ReconnectingCaller(Caller):
    """A caller who connects anew for each request, without a proxy, until it is refused.

    A proxy would accept connections of an entry that doesn't listen any more.

    Parameters
    ----------
    fleet, number
        The entry.
    weights
        How often it sends each kind of request.
    """

    def __init__(
        self, fleet: SoakFleet, number: int, weights: Mapping[Kind, int] = WEIGHTS
    ) -> None:
        super().__init__(fleet)
        self._entry = number
        self._weights = weights
        self._is_refused = False

    async def press_until_refused(self) -> None:
        """Send requests until a connection is refused."""
        while not self._is_refused:
            kinds, weights = list(self._weights), list(self._weights.values())
            (kind,) = self._random.choices(kinds, weights=weights)
            await self.call(kind)
            await self.hang_up()

    async def _connect(self, entry: int | None) -> None:
        address = self._fleet.entries[self._entry].callers_address
        try:
            self._connection = HttpStream(await connect(address, CONNECT_TIME_S), h11.CLIENT)
        except ConnectionLost:
            self._is_refused = True
            raise
        if self._random.random() < IDLE_SHARE:
            await trio.sleep(self._random.uniform(*IDLE_S))

    async def _send(self, attempt: Attempt, fields: dict[str, str], version: str) -> bool:
        assert self._connection is not None
        attempt.is_direct = True
        data = encode_request(
            self._connection, "POST", attempt.target, fields, attempt.content, version
        )
        late_s = self._random.uniform(*LATE_S) if self._random.random() < LATE_SHARE else 0.0
        pieces = self._pieces(data) if late_s else [data]
        for piece in pieces[:-1]:
            await self._connection.send_bytes(piece)
            attempt.last_byte_s = trio.current_time()
            # A response that comes before the whole request ends the exchange.
            with trio.move_on_after(late_s / (len(pieces) - 1)):
                await self._read(attempt)
                return False
        await self._connection.send_bytes(pieces[-1])
        attempt.last_byte_s = trio.current_time()
        attempt.is_sent = True
        return True

    def _pieces(self, data: bytes) -> list[bytes]:
        """Return the header and the body in one or more pieces."""
        body_at = data.index(b"\r\n\r\n") + 4
        body = data[body_at:]
        count = self._random.randint(1, MOST_PIECES)
        cuts = [round(place * len(body) / count) for place in range(count + 1)]
        parts = [body[begin:end] for begin, end in pairwise(cuts)]
        return [data[:body_at], *parts]


@trouble(RECONNECTING)
async def reconnect(fleet: SoakFleet) -> None:
    """Let callers reconnect for each request at an entry, which usually is asked to stop.

    Its next process may be asked to stop again while it loads.
    """
    (number,) = some_entries(fleet, 0.0)
    is_stopped = fleet.random.random() < STOP_SHARE
    with fleet.record.trouble(RECONNECTING, [number], planned=True):
        async with trio.open_nursery() as stops:
            stop = partial(stops.start_soon, stop_one, fleet, number)
            await _press(
                fleet, number, fleet.random.uniform(*PRESS_S), stop if is_stopped else None
            )
            if is_stopped and fleet.random.random() < AGAIN_SHARE:
                with trio.move_on_after(MOST_S):
                    while not fleet.entries[number].accepts_callers():
                        await trio.sleep(LOOK_S)
                    await _press(fleet, number, fleet.random.uniform(*LOADING_S), stop)


async def _press(
    fleet: SoakFleet, number: int, before_stop_s: float, stop: Callable[[], None] | None
) -> None:
    """Let callers press until they are refused; ask the entry to stop meanwhile."""
    with trio.move_on_after(MOST_S):
        async with trio.open_nursery() as callers:
            for _ in range(fleet.random.randint(*CALLERS)):
                callers.start_soon(ReconnectingCaller(fleet, number).press_until_refused)
            await trio.sleep(before_stop_s)
            if stop is not None:
                stop()


def judge_reconnecting(fleet: SoakFleet, attempt: Attempt) -> None:
    """Judge the end of an attempt on a connection of its own, around a planned stop.

    Who could connect gets an answer or a refusal, or is cut off so soon that its request counts as
    unread.
    """
    assert attempt.ended_s is not None
    after_s = attempt.ended_s - attempt.last_byte_s
    if not attempt.is_direct or attempt.status or after_s <= UNREAD_S:
        return
    stops = [
        span
        for span in fleet.record.spans
        if span.name == STOPPED
        and attempt.entry in (span.entries or ())
        and span.begin_s <= attempt.ended_s
        and span.end_s >= attempt.sent_s
    ]
    calm = fleet.record.is_calm(attempt.entry, attempt.sent_s, attempt.ended_s, but_for=(STARTED,))
    if stops and calm:
        fleet.record.note_broken(
            "who could connect around a planned stop is answered",
            f"{attempt.kind.value} {attempt.attempt_id} at entry {attempt.entry}: cut "
            f"{after_s:.3f} s after its last byte, begun {attempt.sent_s - stops[0].begin_s:.3f} s "
            "after the signal",
        )
