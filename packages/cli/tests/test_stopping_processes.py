"""An entry that is stopped while callers connect, as a real process."""

from __future__ import annotations

import json
import math
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import h11
import httpx
import pytest
import trio

from sassafrastally.testing.process_fleet import ProcessFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).parents[3] / "examples"
DAEMONS = ("reader-1", "reader-2", "crossings-1")
ENTRY = "entry-1"
ENTRY_PORT = 8001
AUTHORIZATION = {"Authorization": "Bearer counter-key"}
BODY = json.dumps({"model": "parcel-reader", "prompt": "duty?", "max_tokens": 1}).encode()

CALLERS = 40
SENT_AFTER_CONNECTING_S = 0.05
BEFORE_STOP_S = 0.5
"""How long callers press before the signal."""

LIMIT_S = 30.0


class Fleet(ProcessFleet):
    """A fleet with one entry, which is started for each test."""

    def start_entry(self) -> None:
        self.start(ENTRY)
        self.wait(self.is_ready, f"{ENTRY} is ready")

    def is_ready(self) -> bool:
        url = f"http://{self.address(ENTRY_PORT)}/v1/completions"
        try:
            answer = httpx.post(url, content=BODY, headers=AUTHORIZATION)
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    @property
    def callers_port(self) -> int:
        return int(self.address(ENTRY_PORT).rpartition(":")[2])


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    made = Fleet(EXAMPLES, tmp_path_factory.mktemp("fleet"))
    try:
        made.start_stand_ins()
        for vm in DAEMONS:
            made.start(vm)
        made.roll_first_bundle()
        yield made
    finally:
        made.end()


class Exchange(NamedTuple):
    """A request on one connection, relative to the signal."""

    connected_s: float
    sent_s: float
    """When the whole request was sent; infinite if it wasn't."""
    ended_s: float
    status: int
    """0 without a whole response."""


class Callers:
    """Callers who send requests until they can't connect any more.

    Parameters
    ----------
    port
        The entry's port.
    reconnects
        Whether they close the connection after each request.
    """

    def __init__(self, port: int, reconnects: bool) -> None:
        self._port = port
        self._reconnects = reconnects
        self.exchanges: list[Exchange] = []

    async def run(self) -> None:
        while True:
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", self._port)
            except OSError:
                return
            async with stream:
                await self._use(stream)

    async def _use(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.CLIENT)
        connected_s = trio.current_time()
        while http.our_state is h11.IDLE:
            await trio.sleep(SENT_AFTER_CONNECTING_S)
            sent_s, status = math.inf, 0
            try:
                await stream.send_all(self._request(http))
                sent_s = trio.current_time()
                status = await self._read(stream, http)
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                pass
            ended_s = trio.current_time()
            self.exchanges.append(Exchange(connected_s, sent_s, ended_s, status))
            if status and http.our_state is h11.DONE and http.their_state is h11.DONE:
                http.start_next_cycle()

    def _request(self, http: h11.Connection) -> bytes:
        headers = {**AUTHORIZATION, "Host": "a", "Content-Length": str(len(BODY))}
        if self._reconnects:
            headers["Connection"] = "close"
        events = [
            h11.Request(method="POST", target="/v1/completions", headers=list(headers.items())),
            h11.Data(data=BODY),
            h11.EndOfMessage(),
        ]
        return b"".join(http.send(event) or b"" for event in events)

    async def _read(self, stream: trio.SocketStream, http: h11.Connection) -> int:
        status = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return status
            elif isinstance(event, h11.ConnectionClosed):
                return 0


class TestCallers:
    @pytest.mark.parametrize("reconnects", [True, False])
    def test_are_all_answered_by_an_entry_that_stops(self, fleet: Fleet, reconnects: bool) -> None:
        """Guards against an entry that closes its port over connections that it hasn't accepted,
        or connections over requests that it hasn't read: the system resets both."""
        fleet.start_entry()
        callers = Callers(fleet.callers_port, reconnects)

        async def press_and_stop() -> float:
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    for _ in range(CALLERS):
                        nursery.start_soon(callers.run)
                    await trio.sleep(BEFORE_STOP_S)
                    stop_s = trio.current_time()
                    fleet.signal(ENTRY, signal.SIGTERM)
            return stop_s

        stop_s = trio.run(press_and_stop)
        assert fleet.process(ENTRY).wait(LIMIT_S) == 0
        assert sum(exchange.status == 200 for exchange in callers.exchanges) > CALLERS
        lost = [exchange for exchange in callers.exchanges if not exchange.status]
        assert not [Exchange(*(at - stop_s for at in one[:3]), 0) for one in lost]


class TestSignals:
    @pytest.mark.parametrize(
        "numbers",
        [
            (signal.SIGTERM, signal.SIGHUP),
            (signal.SIGHUP, signal.SIGTERM),
            (signal.SIGTERM, signal.SIGTERM),
        ],
    )
    def test_leave_requests_in_progress_their_answers(
        self, fleet: Fleet, numbers: tuple[signal.Signals, ...]
    ) -> None:
        """Guards against a signal whose default action ends the process with its requests."""
        fleet.start_entry()
        body = {"model": "parcel-reader", "prompt": "duty?", "max_tokens": 200, "stream": True}
        url = f"http://{fleet.address(ENTRY_PORT)}/v1/completions"
        with httpx.stream("POST", url, json=body, headers=AUTHORIZATION) as answer:
            lines = answer.iter_lines()
            next(lines)
            for number in numbers:
                fleet.signal(ENTRY, number)
                time.sleep(SENT_AFTER_CONNECTING_S)
            rest = [line for line in lines if line]
        assert rest[-1] == "data: [DONE]"
        assert fleet.process(ENTRY).wait(LIMIT_S) == 0
