"""A caller of an experiment: asks, reads, comes back when it is told to."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import request_fields, send_request
from sassafrastally.testing.experiment.rows import (
    BROKEN,
    IN_TIME,
    LATE,
    REFUSED,
    UNANSWERED,
    RequestRow,
)

if TYPE_CHECKING:
    from sassafrastally.testing.experiment.arrivals import Arrival
    from sassafrastally.testing.experiment.plan import RoutePlan
    from sassafrastally.testing.experiment.world import World

CALLERS_HOST = "127.20.9.1"

CONNECT_S = 0.5

ERROR_STATUS = 400
"""Answers with this status and above are no success."""

COME_BACK_S = 0.05
"""Pause before a caller asks again whose connection was lost."""

_EVENT = re.compile(rb"^id: (\d+)$", re.MULTILINE)
_REFUSAL = re.compile(rb"refusal:([a-z-]+)")


class Caller:
    """One request with its repeats.

    Parameters
    ----------
    world
        The fleet.
    arrival
        The request.
    route
        What it expects.
    """

    def __init__(self, world: World, arrival: Arrival, route: RoutePlan) -> None:
        self._world = world
        self._arrival = arrival
        self._route = route
        self._begin_s = trio.current_time()
        self._end_s = self._begin_s + route.timeout_ms / 1000
        self._attempts = 0
        self._refusals: list[str] = []
        self._first_s: float | None = None
        self._latest_s = 0.0
        self._longest_pause_s = 0.0
        self._last_event = -1
        self._status = 0

    async def run(self) -> RequestRow:
        """Ask until an answer is whole or the time is over; return how it went."""
        is_whole = False
        with trio.move_on_at(self._end_s):
            while (pause_s := await self._attempt()) is not None:
                if trio.current_time() + pause_s >= self._end_s:
                    break
                await trio.sleep(pause_s)
            is_whole = pause_s is None and self._status < ERROR_STATUS
        return self._row(is_whole=is_whole)

    async def _attempt(self) -> float | None:
        """Ask once; return after how long to ask again, ``None`` when the answer stands."""
        number = self._attempts
        self._attempts += 1
        entries = self._world.entry_numbers
        entry = entries[(int(self._arrival.entry_draw * len(entries)) + number) % len(entries)]
        address = self._world.fleet.entry_settings(entry).callers_address
        try:
            with self._world.network.at_host(CALLERS_HOST):
                stream = await connect(address, CONNECT_S)
            connection = HttpStream(stream, h11.CLIENT)
            try:
                await self._send(connection, number)
                return await self._read(connection)
            finally:
                await connection.close()
        except (ConnectionLost, h11.RemoteProtocolError):
            return COME_BACK_S

    async def _send(self, connection: HttpStream, number: int) -> None:
        arrival = self._arrival
        is_stream = self._route.kind == "streaming"
        headers = request_fields(
            {"Last-Event-Id": str(self._last_event)} if self._last_event >= 0 else None,
            f"{arrival.prompt_tokens},{arrival.output_tokens}" if is_stream else None,
            f"{arrival.number:08x}{number:08x}",
            time_left_s=self._end_s - trio.current_time(),
            customer=arrival.customer,
        )
        await send_request(connection, "POST", f"/{arrival.route}/x", headers, arrival.body)

    async def _read(self, connection: HttpStream) -> float | None:
        retry_after_s: float | None = None
        body = b""
        while True:
            event = await connection.receive()
            if isinstance(event, h11.Response):
                self._status = event.status_code
                retry_after_s = _retry_after_s(event)
            elif isinstance(event, h11.Data):
                body += event.data
                if self._status < ERROR_STATUS:
                    body = self._note_events(body)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return COME_BACK_S
        if self._status < ERROR_STATUS:
            self._note_event()
            return None
        found = _REFUSAL.search(body)
        self._refusals.append(found[1].decode() if found else str(self._status))
        return retry_after_s

    def _note_events(self, body: bytes) -> bytes:
        """Note the whole events of a stream; return what is left over."""
        events, separator, rest = body.rpartition(b"\n\n")
        for number in _EVENT.findall(events):
            self._last_event = int(number)
            self._note_event()
        return rest if separator else body

    def _note_event(self) -> None:
        now_s = trio.current_time()
        if self._first_s is None:
            self._first_s = now_s - self._begin_s
        else:
            self._longest_pause_s = max(self._longest_pause_s, now_s - self._latest_s)
        self._latest_s = now_s

    def _row(self, *, is_whole: bool) -> RequestRow:
        arrival = self._arrival
        return RequestRow(
            arrival.number,
            round(arrival.at_s, 4),
            arrival.route,
            arrival.customer,
            arrival.is_harmful,
            arrival.prompt_tokens,
            self._outcome(is_whole=is_whole),
            self._attempts,
            None if self._first_s is None else round(self._first_s, 4),
            round(self._longest_pause_s, 4),
            tuple(self._refusals),
        )

    def _outcome(self, *, is_whole: bool) -> str:
        route = self._route
        if is_whole and self._first_s is not None:
            is_late = self._first_s > route.goal_ms / 1000 or (
                route.kind == "streaming" and self._longest_pause_s > route.gap_goal_ms / 1000
            )
            return LATE if is_late else IN_TIME
        if self._first_s is not None:
            return BROKEN
        return REFUSED if self._refusals else UNANSWERED


def _retry_after_s(response: h11.Response) -> float | None:
    for name, value in response.headers:
        if name == b"retry-after":
            return float(value)
    return None
