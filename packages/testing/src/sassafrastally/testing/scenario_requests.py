"""Steps that set the stage, send requests and wait."""

from __future__ import annotations

import trio

from sassafrastally.testing.scenario_sent import SERVICE, Asked, Option, Sent
from sassafrastally.testing.scenario_stage import STEPS, ScenarioFailed, Stage

POLL_S = 0.0005
"""How often a moment is looked for: well under the latency, so that a fault hits what it should."""

MOMENT_LIMIT_S = 60.0
"""Time within which a moment must come."""

_EVENT_OF_STATE = {
    "reserved": "AttemptReserved",
    "committed": "AttemptCommitted",
    "started": "AttemptStarted",
}


@STEPS.register("given")
async def given(
    stage: Stage,
    entries: int,
    engines: int,
    services: int | None,
    blocks: int | None,
    lag_s: float | None,
) -> None:
    """Start the deployment."""
    await stage.open(entries, engines, services or 0, blocks or 0)
    stage.deployment.vm_list.lag_s = lag_s or 0.0


@STEPS.register("send")
async def send(stage: Stage, name: str, entry: str, options: list[Option]) -> None:
    """Send a prompt to the model."""
    stage.send(name, _with_options(Asked(name), options), entry)
    await trio.lowlevel.checkpoint()


@STEPS.register("call")
async def call(stage: Stage, name: str, entry: str, options: list[Option] | None) -> None:
    """Call the plain service; its calls may not be repeated."""
    asked = Asked(name, service=SERVICE, is_idempotent=False)
    stage.send(name, _with_options(asked, options), entry)
    await trio.lowlevel.checkpoint()


@STEPS.register("repeat")
async def repeat(
    stage: Stage, first: str, name: str, entry: str, options: list[Option] | None
) -> None:
    """Send the same body again under a name of its own."""
    asked = _with_options(stage.request(first).asked, options)
    stage.send(name, asked, entry)
    await trio.lowlevel.checkpoint()


@STEPS.register("caller_leaves")
async def caller_leaves(stage: Stage, name: str) -> None:
    """Let a caller close its connection."""
    stage.request(name).leave()
    await trio.lowlevel.checkpoint()


@STEPS.register("wait")
async def wait(stage: Stage, duration_s: float) -> None:
    """Let time pass."""
    await trio.sleep(duration_s)


@STEPS.register("when")
async def when(stage: Stage, name: str, state: str) -> None:
    """Wait until a request has come so far."""
    request = stage.request(name)
    limit_s = max(MOMENT_LIMIT_S, 2 * request.asked.time_limit_s)
    with trio.move_on_after(limit_s) as scope:
        if state == "over":
            await request.over.wait()
        elif state == "streaming":
            await _wait_streaming(request)
        else:
            await _wait_event(stage, name, _EVENT_OF_STATE[state])
    if scope.cancelled_caught:
        raise ScenarioFailed(f"{name} was not {state} within {limit_s:g} s: {request.verdict}")


@STEPS.register("when_all_over")
async def when_all_over(stage: Stage) -> None:
    """Wait until every caller has its answer or refusal."""
    for name in stage.sent:
        await when(stage, name, "over")


async def _wait_streaming(request: Sent) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_after, request.over, nursery.cancel_scope)
        await request.first_data.wait()
        nursery.cancel_scope.cancel()
    if not request.first_data.is_set():
        raise ScenarioFailed(f"it never streamed: {request.verdict}")


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _wait_event(stage: Stage, name: str, event: str) -> None:
    while not any(record["name"] == event for record in stage.attempt_events(name)):
        if stage.request(name).is_over:
            raise ScenarioFailed(f"it never came so far: {stage.request(name).verdict}")
        await trio.sleep(POLL_S)


def _with_options(asked: Asked, options: list[Option] | None) -> Asked:
    for option in options or ():
        asked = asked._replace(**{option.name: option.value})
    return asked
