"""Scenes of an entry that serves: each kind of upload, connection and server."""

from __future__ import annotations

from functools import partial

import trio

from sassafrastally.testing.lag.backend import Framing, Manner
from sassafrastally.testing.lag.requests import Kind, Upload
from sassafrastally.testing.lag.scene import IDLE_LIMIT_S, PLAIN_KINDS, Stage, scene

TIGHT_S = 0.8
"""Time of a request whose answer comes close to its limit."""


async def _call_twice(stage: Stage, kind: Kind, manner: Manner, pause_s: float = 0.0) -> None:
    """Send two requests on a connection, to servers of a manner."""
    stage.follow(manner)
    caller = stage.caller()
    await caller.call(kind)
    await trio.sleep(pause_s)
    await caller.call(kind)
    await caller.hang_up()


async def _upload(stage: Stage, kind: Kind, upload: Upload) -> None:
    stage.follow(Manner())
    caller = stage.caller()
    await caller.call(kind, upload)
    await caller.hang_up()


@scene("kept-connection", is_served=True, in_product=True)
async def keep_connection(stage: Stage, kind: Kind) -> None:
    """Send two requests on a new connection."""
    await _call_twice(stage, kind, Manner())


@scene("idle-caller", is_served=True, in_product=True)
async def idle_caller(stage: Stage, kind: Kind) -> None:
    """Use a connection again after four fifths of the time for which it may be idle."""
    await _call_twice(stage, kind, Manner(), 0.8 * IDLE_LIMIT_S)


@scene("pipelined", is_served=True, in_product=True)
async def pipeline(stage: Stage, kind: Kind) -> None:
    """Send three requests at once."""
    stage.follow(Manner())
    await stage.caller().call_pipelined(kind, 3)


@scene("upload-none", is_served=True, in_product=True)
async def upload_none(stage: Stage, kind: Kind) -> None:
    """Send a request without a body."""
    await _upload(stage, kind, Upload(0))


@scene("upload-chunks", is_served=True, in_product=True)
async def upload_chunks(stage: Stage, kind: Kind) -> None:
    """Send a body in chunks at once."""
    await _upload(stage, kind, Upload(90_000, pieces=9, is_chunked=True))


@scene("upload-long", is_served=True, in_product=True)
async def upload_long(stage: Stage, kind: Kind) -> None:
    """Hand over a long body at once."""
    await _upload(stage, kind, Upload(3_900_000))


@scene("upload-in-pieces", is_served=True, in_product=True)
async def upload_in_pieces(stage: Stage, kind: Kind) -> None:
    """Send a body in pieces, in four fifths of the time that a caller may take."""
    await _upload(stage, kind, Upload(4_000, pieces=4, pause_s=0.1))


@scene("server-slow", PLAIN_KINDS, is_served=True, in_product=True)
async def slow_server(stage: Stage, kind: Kind) -> None:
    """Two requests to servers that work for long."""
    await _call_twice(stage, kind, Manner(work_s=0.4))


@scene("server-near-limit", PLAIN_KINDS, in_product=True)
async def server_near_limit(stage: Stage, kind: Kind) -> None:
    """A server answers just before its request's time is over."""
    stage.follow(Manner(work_s=TIGHT_S - 0.1))
    caller = stage.caller()
    await caller.call(kind, time_left_s=TIGHT_S)
    await caller.hang_up()


@scene("server-answers-in-parts-near-limit", PLAIN_KINDS, in_product=True)
async def parts_near_limit(stage: Stage, kind: Kind) -> None:
    """A server begins its answer at once and ends it just before its request's time is over."""
    stage.follow(Manner(silence_s=TIGHT_S - 0.11))
    caller = stage.caller()
    await caller.call(kind, time_left_s=TIGHT_S)
    await caller.hang_up()


@scene("stream-near-limit", (Kind.NOTE, Kind.TALE))
async def stream_near_limit(stage: Stage, kind: Kind) -> None:
    """Engines fall silent until just before the request's time is over."""
    caller = stage.caller()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(caller.call, kind, time_left_s=TIGHT_S))
        await trio.sleep(0.1)
        stage.silence_engines(TIGHT_S - 0.2)
    await caller.hang_up()


@scene("server-closes-idle", PLAIN_KINDS, breaks=True)
async def server_closes_idle(stage: Stage, kind: Kind) -> None:
    """Servers close idle connections without notice, as the next request comes."""
    await _call_twice(stage, kind, Manner(closes_after_s=0.05), 0.049)


@scene("server-announces-close", PLAIN_KINDS, is_served=True, in_product=True)
async def server_announces_close(stage: Stage, kind: Kind) -> None:
    """Servers announce the close of each connection."""
    await _call_twice(stage, kind, Manner(fields=(b"Connection: close",)))


@scene("server-announces-idle-limit", PLAIN_KINDS, is_served=True, in_product=True)
async def server_announces_idle_limit(stage: Stage, kind: Kind) -> None:
    """Servers close idle connections after the time that they have announced."""
    stage.follow(Manner(fields=(b"Keep-Alive: timeout=1",), closes_after_s=1.0))
    for pause_s in (0.9, 0.0):
        caller = stage.caller()
        await caller.call(kind)
        await caller.hang_up()
        await trio.sleep(pause_s)


@scene("server-ends-with-connection", PLAIN_KINDS, is_served=True, in_product=True)
async def server_ends_with_connection(stage: Stage, kind: Kind) -> None:
    """Answers end with their connections, in two parts."""
    await _call_twice(stage, kind, Manner(silence_s=0.1, framing=Framing.CLOSE))


@scene("server-sends-chunks", PLAIN_KINDS, is_served=True, in_product=True)
async def server_sends_chunks(stage: Stage, kind: Kind) -> None:
    """Answers have chunks, in two parts."""
    await _call_twice(stage, kind, Manner(silence_s=0.1, framing=Framing.CHUNKS))


@scene("server-resets", PLAIN_KINDS, breaks=True, in_product=True)
async def server_resets(stage: Stage, kind: Kind) -> None:
    """A server resets a connection in place of its answer."""
    stage.follow(Manner(resets=iter([True])))
    for _ in range(2):
        caller = stage.caller()
        await caller.call(kind)
        await caller.hang_up()


@scene("server-silent", PLAIN_KINDS, is_served=True, in_product=True)
async def silent_server(stage: Stage, kind: Kind) -> None:
    """A sound server falls silent for a second inside its answer."""
    stage.follow(Manner(silence_s=1.0))
    caller = stage.caller()
    await caller.call(kind)
    await caller.hang_up()


@scene("engines-silent", (Kind.NOTE, Kind.TALE), is_served=True)
async def silent_engines(stage: Stage, kind: Kind) -> None:
    """Engines fall silent for a second inside their answers."""
    caller = stage.caller()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.call, kind)
        await trio.sleep(0.1)
        stage.silence_engines(1.0)
    await caller.hang_up()


@scene("reload", is_served=True)
async def reload(stage: Stage, kind: Kind) -> None:
    """Settings and configuration change beside requests on open connections."""
    stage.follow(Manner(work_s=0.1))
    caller = stage.caller()
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(stage.caller().call, kind)
        await caller.call(kind)
        stage.reload()
        await caller.call(kind)
    await caller.hang_up()
