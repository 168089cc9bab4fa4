"""Steps that expect, and the promises that must hold in every story."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.control.spread import BundleService
from sassafrastally.serving.outcome import Outcome
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.testing.scenario_stage import STEPS, Place, ScenarioFailed, Stage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sassafrastally.testing.scenario_sent import Sent

CHECK_S = 0.05
"""How often a condition is looked at that may take a while to hold."""

SWEEP_S = 20.0
"""Time within which the sweep must have freed what nobody owns."""

LIMIT_SLACK_S = 0.1
"""What the end may come later than the time limit: a cancel on its way."""


ROLL_LIMIT_S = 30.0
"""Time within which an operator's command must have ended."""


class Expected(NamedTuple):
    """What a caller may be told."""

    outcome: Outcome | None = None
    code: str = ""

    def matches(self, sent: Sent) -> bool:
        """Return whether a request came out so."""
        if self.code:
            return sent.is_over and sent.code == self.code
        return sent.is_over and sent.outcome == self.outcome


class Times(NamedTuple):
    """Bounds of a count of executions."""

    least: int
    most: int


@STEPS.register("expect_outcome")
async def expect_outcome(stage: Stage, name: str, *expected: Expected) -> None:
    """Check what the caller was told."""
    sent = stage.request(name)
    if not any(item.matches(sent) for item in expected):
        raise ScenarioFailed(f"{name}: {sent.verdict}")


@STEPS.register("expect_whole")
async def expect_whole(stage: Stage, name: str) -> None:
    """Check that the caller has the whole answer to its own prompt."""
    sent = stage.request(name)
    if sent.outcome != Outcome.COMPLETED:
        raise ScenarioFailed(f"{name}: {sent.verdict}")
    if (reason := _not_own(sent)) is not None:
        raise ScenarioFailed(f"{name}: {reason}")


@STEPS.register("expect_equal")
async def expect_equal(stage: Stage, one: str, other: str) -> None:
    """Check that two callers have the same answer."""
    if stage.request(one).text != stage.request(other).text:
        raise ScenarioFailed(f"{one} and {other} have different answers")


@STEPS.register("expect_ran")
async def expect_ran(stage: Stage, name: str, times: Times) -> None:
    """Check how often the backend servers ran a request, by their own count."""
    count = stage.executions(stage.request(name).asked.marker)
    if not times.least <= count <= times.most:
        raise ScenarioFailed(f"{name} ran {count} times")


@STEPS.register("expect_over")
async def expect_over(stage: Stage, name: str, limit_s: float) -> None:
    """Check how soon the caller was answered or refused."""
    sent = stage.request(name)
    elapsed_s = sent.ended_s - sent.started_s
    if not sent.is_over or elapsed_s > limit_s:
        raise ScenarioFailed(f"{name}: {sent.verdict} after {elapsed_s:.3f} s")


@STEPS.register("expect_on")
async def expect_on(stage: Stage, name: str, place: Place) -> None:
    """Check that a request ran on a VM."""
    if stage.vm(place) not in _ran_on(stage, name):
        raise ScenarioFailed(f"{name} ran on {sorted(_ran_on(stage, name))}")


@STEPS.register("expect_not_on")
async def expect_not_on(stage: Stage, name: str, place: Place) -> None:
    """Check that a request did not run on a VM."""
    if stage.vm(place) in _ran_on(stage, name):
        raise ScenarioFailed(f"{name} ran on {stage.vm(place)}")


@STEPS.register("expect_memory")
async def expect_memory(stage: Stage, limit_s: float) -> None:
    """Check that all engines have their whole memory free again, and that the ledgers know."""
    await _until(limit_s, lambda: next(_leaks(stage), None))


@STEPS.register("expect_generation")
async def expect_generation(stage: Stage, generation: int, limit_s: float) -> None:
    """Check that a generation is in force in every process."""
    await _until(limit_s, lambda: _not_in_force(stage, generation, list(stage.deployment.nodes)))


@STEPS.register("expect_generation_on")
async def expect_generation_on(stage: Stage, generation: int, place: Place, limit_s: float) -> None:
    """Check that a generation is in force in one process."""
    await _until(limit_s, lambda: _not_in_force(stage, generation, [stage.vm(place)]))


@STEPS.register("expect_rolls")
async def expect_rolls(stage: Stage, accepted: int, count: int) -> None:
    """Check what the operators were told, once they have been."""
    with trio.move_on_after(ROLL_LIMIT_S):
        while len(stage.rolls) < count:
            await trio.sleep(CHECK_S)
    granted = sum(1 for roll in stage.rolls if roll.generation)
    if (granted, len(stage.rolls)) != (accepted, count):
        raise ScenarioFailed(f"{granted} of {len(stage.rolls)}: {stage.rolls}")


@STEPS.register("expect_stopped")
async def expect_stopped(stage: Stage, place: Place, limit_s: float) -> None:
    """Check that a process that was asked to stop has ended."""
    event = stage.stopped[stage.vm(place)]
    await _until(limit_s, lambda: None if event.is_set() else f"{stage.vm(place)} still runs")


@STEPS.register("expect_promises")
async def expect_promises(stage: Stage) -> None:
    """Check everything that must hold whatever has happened."""
    broken = list(broken_promises(stage))
    if broken:
        raise ScenarioFailed("; ".join(broken))
    await expect_memory(stage, SWEEP_S)


def broken_promises(stage: Stage) -> Iterator[str]:
    """Yield what was not kept of the promises to the callers and of those about bundles."""
    for name, sent in stage.sent.items():
        yield from _broken(stage, name, sent)
    yield from _reverted(stage)


def _broken(stage: Stage, name: str, sent: Sent) -> Iterator[str]:
    """Yield the promises to one caller that were not kept."""
    elapsed_s = sent.ended_s - sent.started_s
    if not sent.is_over or elapsed_s > sent.asked.time_limit_s + LIMIT_SLACK_S:
        yield f"{name} is over its time limit: {sent.verdict} after {elapsed_s:.3f} s"
    if sent.outcome == Outcome.COMPLETED and (reason := _not_own(sent)) is not None:
        yield f"{name}: {reason}"
    if sent.outcome == Outcome.NOT_RUN and sent.ran_when_told:
        yield f"{name} was told not_run when it had run {sent.ran_when_told} times"
    if sent.outcome == Outcome.NOT_RUN and (ran := _own_executions(stage, sent)):
        yield f"{name} was told not_run and ran {ran} times"
    count = stage.executions(sent.asked.marker)
    if sent.outcome == Outcome.FAILED and not count:
        yield f"{name} was told failed and never ran"
    if not sent.asked.may_repeat and count > 1:
        yield f"{name} may not be repeated and ran {count} times"


def _own_executions(stage: Stage, sent: Sent) -> int:
    """Return how often this request ran; a repeat of it may have run later under its own name."""
    marker, engines = sent.asked.marker, stage.deployment.engines.values()
    if sent.asked.service:
        same = [item for item in stage.sent.values() if item.asked.marker == marker]
        return stage.executions(marker) if len(same) == 1 else 0
    return sum(
        count
        for engine in engines
        for stream_id, count in engine.started_streams.items()
        if sent.request_id and sent.request_id in stream_id
    )


def _not_own(sent: Sent) -> str | None:
    own = sent.asked.own_answer()
    if sent.text == own:
        return None
    return f"has {len(sent.text)} characters that are not its own answer's {len(own)}"


def _ran_on(stage: Stage, name: str) -> set[str]:
    marker = stage.request(name).asked.marker
    engines = {vm for vm, engine in stage.deployment.engines.items() if engine.started[marker]}
    services = stage.deployment.services.items()
    return engines | {vm for vm, service in services if service.executions[marker]}


def _leaks(stage: Stage) -> Iterator[str]:
    for vm, engine in stage.deployment.engines.items():
        if engine.memory.free_blocks != engine.shape.total_blocks:
            holders = engine.streams()
            yield f"{vm}: {engine.memory.free_blocks} blocks free, held by {holders}"
        if vm not in stage.deployment.nodes:
            continue
        ledger = stage.deployment.node(vm).kernel.get("sidecar", SidecarService).ledger
        if ledger.free_blocks != ledger.total_blocks:
            yield f"{vm}: the ledger counts {ledger.held}"


def _reverted(stage: Stage) -> Iterator[str]:
    """Yield the VMs on which a lower generation followed a higher one, over all their lives."""
    for vm, logs in stage.lives().items():
        taken = [
            record["fields"]["generation"]
            for log in logs
            for record in log.records()
            if record["name"] == "BundleTaken"
        ]
        if taken != sorted(taken):
            yield f"{vm} took the generations {taken}"


def _not_in_force(stage: Stage, generation: int, vms: list[str]) -> str | None:
    for vm in vms:
        found = stage.deployment.node(vm).kernel.get("bundle", BundleService).generation
        if found != generation:
            return f"generation {found} is in force on {vm}"
    return None


async def _until(limit_s: float, reason: Callable[[], str | None]) -> None:
    """Wait until there is no reason left that something doesn't hold."""
    until_s = trio.current_time() + limit_s
    while (found := reason()) is not None:
        if trio.current_time() >= until_s:
            raise ScenarioFailed(f"after {limit_s:g} s: {found}")
        await trio.sleep(CHECK_S)
