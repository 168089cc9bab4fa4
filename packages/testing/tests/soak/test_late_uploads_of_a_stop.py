"""Uploads that a stopping entry still reads after it has closed its idle connections."""

from __future__ import annotations

import signal
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.proxy.response_lengths import KEPT_RESPONSES
from sassafrastally.stand_ins.caller_requests import (
    encode_request,
    exchange_on,
    read_response,
    request_fields,
)
from sassafrastally.stand_ins.documents import make_configuration, make_route, make_services
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.stand_ins.replica import Replica
from sassafrastally.testing.soak.entry_process import STOP_TIME_S, EntryProcess

ROUTES = [
    make_route(
        "note", "streaming", "engines", gapGoalMs=1000, goalMs=3000, timeoutMs=15_000, maxAttempts=1
    ),
]
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 5000,
}

TOKENS = 3600
"""Take nearly five seconds to write, more than a stopping entry has left after 3 s."""

SHORT_TOKENS = 300

USUAL_SHARE = 0.05
"""Share of the declared tokens that the responses before have."""

BEGIN_S = 2.5
COMPLETE_S = 3.4
"""When the upload begins and is complete, after the signal. Requests that were sent until 3 s may
be cut at the end of the grace if their servers are still at work; this one may not."""

ANSWERED_S = STOP_TIME_S * 5 / 6


class Upload(NamedTuple):
    """What the caller of a late upload got."""

    status: int
    is_whole: bool
    ended_s: float
    """After the signal."""


@asynccontextmanager
async def serving_entry(folder, host):
    """Run an entry with engines."""
    async with platform_fleet() as fleet:
        fleet.configure(
            make_configuration(2, routes=ROUTES, services=make_services(), limits=LIMITS)
        )
        for number in range(2):
            await fleet.add_replica(f"engine-{number}")
        entry = EntryProcess(1, host, folder, 22_000, fleet.store_address)
        try:
            entry.start()
            yield fleet, entry
        finally:
            entry.kill()


class TestLateUploads:
    """A request for a stream whose last byte comes more than 3 s after the signal."""

    async def test_of_unusual_length_is_not_begun_and_cut(self, tmp_path, own_host, monkeypatch):
        """Guards against a stream that is accepted since most responses of its route are short,
        and cut at the end of the drain because this one isn't."""
        upload = await self._play(tmp_path, own_host, monkeypatch, TOKENS)
        assert upload.is_whole, upload
        assert upload.status in (200, 503)
        assert upload.ended_s < STOP_TIME_S

    async def test_of_which_the_longest_response_fits_is_served(
        self, tmp_path, own_host, monkeypatch
    ):
        """Guards against a stop that refuses late uploads although there is time for them."""
        upload = await self._play(tmp_path, own_host, monkeypatch, SHORT_TOKENS)
        assert (upload.status, upload.is_whole) == (200, True)
        assert upload.ended_s < ANSWERED_S

    async def _play(self, folder, host, monkeypatch, tokens: int) -> Upload:
        """Stop an entry during an upload, after many short responses of its route."""
        share = USUAL_SHARE
        event_range = Replica._event_range

        def shortened(replica, request):
            first, total = event_range(replica, request)
            return first, max(first + 1, round(total * share))

        monkeypatch.setattr(Replica, "_event_range", shortened)
        async with serving_entry(folder, host) as (_, entry):
            with trio.fail_after(60.0):
                await self._answer_short_ones(entry)
                share = 1.0
                stop_s = trio.current_time()
                entry.signal(signal.SIGTERM)
                return await self._upload(entry, stop_s, tokens)

    async def _answer_short_ones(self, entry: EntryProcess) -> None:
        for _ in range(KEPT_RESPONSES):
            status = 0
            while status != 200:
                with suppress(ConnectionLost):
                    connection = HttpStream(await connect(entry.callers_address, 1.0), h11.CLIENT)
                    fields = request_fields(prompt=f"200,{SHORT_TOKENS}", time_left_s=14.0)
                    answer = await exchange_on(connection, "POST", "/note/x", fields, b"{}")
                    await connection.close()
                    status = answer.status if answer.is_whole else 0
                await trio.sleep(0.01)

    async def _upload(self, entry: EntryProcess, stop_s: float, tokens: int) -> Upload:
        await trio.sleep_until(stop_s + BEGIN_S)
        connection = HttpStream(await connect(entry.callers_address, 1.0), h11.CLIENT)
        fields = request_fields(prompt=f"200,{tokens}", time_left_s=14.0)
        data = encode_request(connection, "POST", "/note/x", fields, b"x" * 2000)
        await connection.send_bytes(data[:-1000])
        await trio.sleep_until(stop_s + COMPLETE_S)
        await connection.send_bytes(data[-1000:])
        answer = await read_response(connection)
        await connection.close()
        return Upload(answer.status, answer.is_whole, trio.current_time() - stop_s)
