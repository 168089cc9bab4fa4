"""Scenes of a stopping entry."""

from __future__ import annotations

import trio

from sassafrastally.testing.lag.backend import Manner
from sassafrastally.testing.lag.requests import Kind, Upload
from sassafrastally.testing.lag.scene import IDLE_LIMIT_S, PLAIN_KINDS, Stage, scene

STOP_S = 4.0
"""Time from the signal to the kill: twice as fast as usual, with the same times for callers."""

LAST_ANSWERS_S = 2.8
"""Time after the signal from which a lag may move the last answers."""

UNANSWERED_STOP_S = 6.0
"""Time of a stop with many requests that no server answers. The last sixth of a shorter one has no
time for both a lag of half a second and a hundred answers."""

LONG_S = 14.0

UNANSWERED = 100
"""Requests that no server answers."""

BODY = Upload(4_000, pieces=4, pause_s=0.06)
"""Takes half of the time that a caller may take."""


async def _until_gone(stage: Stage) -> None:
    """Wait until the entry has ended, or would have been killed."""
    with trio.move_on_at(stage.signalled_s + UNANSWERED_STOP_S + 1.0):
        await stage.entry.ended.wait()


async def _keep_calling(stage: Stage, kind: Kind, upload: Upload) -> None:
    """Send one request after the other until a connection is refused."""
    caller = stage.caller()
    while await caller.call(kind, upload, LONG_S) is not None:
        pass


async def _keep_connecting(stage: Stage, kind: Kind, upload: Upload) -> None:
    """Do the same, with a new connection for each request."""
    caller = stage.caller()
    while await caller.call(kind, upload, LONG_S) is not None:
        await caller.hang_up()


@scene("stop-callers", stop_s=STOP_S, in_product=True)
async def stop_with_callers(stage: Stage, kind: Kind) -> None:
    """Callers on new and kept connections go on until they are refused."""
    stage.follow(Manner(work_s=0.05))
    async with trio.open_nursery() as nursery:
        for number in range(8):
            upload = BODY if number % 4 == 3 else Upload()
            call = _keep_calling if number % 2 else _keep_connecting
            nursery.start_soon(call, stage, kind, upload)
        await trio.sleep(0.2)
        stage.stop()
    await _until_gone(stage)


@scene(
    "stop-unanswered",
    PLAIN_KINDS,
    stop_s=UNANSWERED_STOP_S,
    lags_from_s=LAST_ANSWERS_S + UNANSWERED_STOP_S - STOP_S,
)
async def stop_unanswered(stage: Stage, kind: Kind) -> None:
    """Requests come late in the time of a stop, and no server answers them in time."""
    stage.follow(Manner(is_silent=True))
    async with trio.open_nursery() as nursery:
        stage.stop()
        await trio.sleep(1.6)
        for _ in range(UNANSWERED):
            nursery.start_soon(_call_once, stage, kind)
            await trio.sleep(1.0 / UNANSWERED)
    await _until_gone(stage)


async def _call_once(stage: Stage, kind: Kind) -> None:
    caller = stage.caller()
    await caller.call(kind, time_left_s=LONG_S)
    await caller.hang_up()


@scene("stop-answers-at-end", PLAIN_KINDS, stop_s=STOP_S, lags_from_s=LAST_ANSWERS_S)
async def stop_with_last_answers(stage: Stage, kind: Kind) -> None:
    """Servers answer about when the entry's time to serve is over."""
    async with trio.open_nursery() as nursery:
        stage.stop()
        await trio.sleep(2.0)
        for number in range(20):
            stage.follow(Manner(work_s=STOP_S - 2.8 - 0.015 * number))
            nursery.start_soon(_call_once, stage, kind)
            await trio.sleep(0.025)
    await _until_gone(stage)


@scene("stop-idle-callers", stop_s=STOP_S, in_product=True)
async def stop_with_idle_callers(stage: Stage, kind: Kind) -> None:
    """Callers use connections again after up to four fifths of the time they may be idle for."""
    stage.follow(Manner())
    async with trio.open_nursery() as nursery:
        for number in range(16):
            nursery.start_soon(_call_seldom, stage, kind, (0.2 + 0.04 * number) * IDLE_LIMIT_S)
        await trio.sleep(0.3)
        stage.stop()
    await _until_gone(stage)


async def _call_seldom(stage: Stage, kind: Kind, pause_s: float) -> None:
    caller = stage.caller()
    while await caller.call(kind, time_left_s=LONG_S) is not None:
        await trio.sleep(pause_s)
    await caller.hang_up()


@scene("stop-pipelined", stop_s=STOP_S)
async def stop_with_pipelined(stage: Stage, kind: Kind) -> None:
    """Callers send three requests at once until a connection is refused."""
    stage.follow(Manner(work_s=0.05))
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(_keep_pipelining, stage, kind)
        await trio.sleep(0.2)
        stage.stop()
    await _until_gone(stage)


async def _keep_pipelining(stage: Stage, kind: Kind) -> None:
    while await stage.caller().call_pipelined(kind, 3, LONG_S):
        pass


@scene("stop-uploads", PLAIN_KINDS, stop_s=STOP_S, in_product=True)
async def stop_with_uploads(stage: Stage, kind: Kind) -> None:
    """Callers hand over long bodies at once until a connection is refused."""
    stage.follow(Manner(work_s=0.05))
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(_keep_connecting, stage, kind, Upload(1_000_000))
        await trio.sleep(0.2)
        stage.stop()
    await _until_gone(stage)
