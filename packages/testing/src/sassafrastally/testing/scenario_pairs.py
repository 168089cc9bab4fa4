"""Random stories: a few requests, two failures, and what must come of it by a naive reference.

The reference serves one request after the other and never fails. A run with failures may differ
from it in one way only: a caller may be told, truthfully, that it has no whole answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio
from trio.testing import MockClock

from sassafrastally.control.rolling import read_head
from sassafrastally.core import Registry
from sassafrastally.core.logs import configure_logs
from sassafrastally.serving.outcome import Outcome
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.scenario_checks import (
    broken_promises,
    expect_generation,
    expect_memory,
)
from sassafrastally.testing.scenario_stage import ScenarioFailed, Stage, make_bundle

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.testing.scenario_sent import Asked

ENTRIES = 2
ENGINES = 2
SERVICES = 1
STORY_LIMIT_S = 200.0
SWEEP_S = 20.0
IN_FORCE_S = 17.0
"""Time within which the accepted bundle must be in force in every process."""


class Planned(NamedTuple):
    """A request and when it is sent."""

    asked: Asked
    at_s: float
    entry: int
    again_s: float = 0.0
    """How long after it the caller repeats it through the other entry; 0 for never."""


class Failure(NamedTuple):
    """Something that breaks for a while."""

    kind: str
    """Name in `FAILURES`."""
    at_s: float
    duration_s: float
    first: int
    """Which VM it hits, counted over those that it can hit."""
    second: int


class Story(NamedTuple):
    """What is drawn."""

    requests: tuple[Planned, ...]
    failures: tuple[Failure, ...]
    blocks: int = 0
    """Memory of each engine, so small that requests wait for it; 0 for the usual one."""


class Found(NamedTuple):
    """What came of a story."""

    broken: tuple[str, ...]
    """Promises that were not kept; none when all is well."""
    outcomes: tuple[str, ...]


if TYPE_CHECKING:
    Strike = Callable[[Stage, Failure], Awaitable[None]]

FAILURES: Registry[Strike] = Registry("failure")


def run_story(story: Story) -> Found:
    """Run a story on a mock clock of its own and compare it with the naive reference."""
    configure_logs("critical")
    return trio.run(_play, story, clock=MockClock(autojump_threshold=0))


def naive_reference(story: Story) -> dict[str, str]:
    """Return each answer as one server that never fails gives it."""
    return {plan.asked.marker: plan.asked.own_answer() for plan in story.requests}


async def _play(story: Story) -> Found:
    async with trio.open_nursery() as nursery:
        stage = Stage(nursery, seed=0)
        await stage.open(ENTRIES, ENGINES, SERVICES, story.blocks)
        with trio.move_on_after(STORY_LIMIT_S) as scope:
            async with trio.open_nursery() as tasks:
                for plan in story.requests:
                    tasks.start_soon(_send, stage, plan)
                for failure in story.failures:
                    tasks.start_soon(_strike, stage, failure)
            for sent in stage.sent.values():
                await sent.over.wait()
        broken = ["the story hangs"] if scope.cancelled_caught else list(broken_promises(stage))
        broken += _differences(stage, naive_reference(story))
        head = await read_head(FakeKv(stage.deployment.kv))
        try:
            await expect_memory(stage, SWEEP_S)
            await expect_generation(stage, head.generation if head else 0, IN_FORCE_S)
        except ScenarioFailed as cause:
            broken.append(cause.detail)
        nursery.cancel_scope.cancel()
    return Found(tuple(broken), tuple(sent.verdict for sent in stage.sent.values()))


def _differences(stage: Stage, reference: dict[str, str]) -> list[str]:
    """Return where the callers got other answers than the reference gives."""
    return [
        f"{name} has another answer than the reference"
        for name, sent in stage.sent.items()
        if sent.outcome == Outcome.COMPLETED and sent.text != reference[sent.asked.marker]
    ]


async def _send(stage: Stage, plan: Planned) -> None:
    await trio.sleep(plan.at_s)
    await _send_once(stage, plan.asked.marker, plan.asked, plan.entry)
    if plan.again_s:
        await trio.sleep(plan.again_s)
        await _send_once(stage, f"{plan.asked.marker}-again", plan.asked, 1 - plan.entry)


async def _send_once(stage: Stage, name: str, asked: Asked, entry: int) -> None:
    """Send it, when its entry lives; the balancer sends nothing to a dead one."""
    vms = [f"entry-{entry + 1}", f"entry-{2 - entry}"]
    alive = [vm for vm in vms if vm in stage.deployment.nodes]
    if alive:
        stage.send(name, asked, alive[0])


async def _strike(stage: Stage, failure: Failure) -> None:
    await trio.sleep(failure.at_s)
    await FAILURES.get(failure.kind)(stage, failure)


def _entry(number: int) -> str:
    return f"entry-{number % ENTRIES + 1}"


def _backend(number: int) -> str:
    names = [f"engine-{one + 1}" for one in range(ENGINES)] + ["service-1"]
    return names[number % len(names)]


def _engine(number: int) -> str:
    return f"engine-{number % ENGINES + 1}"


@FAILURES.register("cut")
async def _cut(stage: Stage, failure: Failure) -> None:
    pair = _entry(failure.first), _backend(failure.second)
    stage.deployment.memory_network.partition(*pair)
    await trio.sleep(failure.duration_s)
    stage.deployment.memory_network.heal(*pair)


@FAILURES.register("break")
async def _break(stage: Stage, failure: Failure) -> None:
    await trio.lowlevel.checkpoint()
    stage.deployment.memory_network.cut(_entry(failure.first), _backend(failure.second))


@FAILURES.register("freeze")
async def _freeze(stage: Stage, failure: Failure) -> None:
    vm = _backend(failure.second) if failure.first else _entry(failure.second)
    if vm not in stage.deployment.nodes:
        return
    address = stage.deployment.peer_address(vm)
    stage.deployment.memory_network.freeze(address)
    await trio.sleep(failure.duration_s)
    if vm in stage.deployment.nodes:
        stage.deployment.memory_network.thaw(address)


@FAILURES.register("kill-sidecar")
async def _kill_sidecar(stage: Stage, failure: Failure) -> None:
    await _kill(stage, _backend(failure.second), failure.duration_s)


@FAILURES.register("kill-entry")
async def _kill_entry(stage: Stage, failure: Failure) -> None:
    await _kill(stage, _entry(failure.first), failure.duration_s)


async def _kill(stage: Stage, vm: str, duration_s: float) -> None:
    if vm not in stage.deployment.nodes:
        return  # The other failure of the pair has it already.
    await stage.deployment.kill(vm)
    await trio.sleep(duration_s)
    await stage.start(vm)


@FAILURES.register("stop-sidecar")
async def _stop_sidecar(stage: Stage, failure: Failure) -> None:
    vm = _backend(failure.second)
    if vm not in stage.deployment.nodes:
        return
    await stage.deployment.stop(vm)
    await trio.sleep(failure.duration_s)
    await stage.start(vm)


@FAILURES.register("kill-engine")
async def _kill_engine(stage: Stage, failure: Failure) -> None:
    engine = stage.deployment.engines[_engine(failure.second)]
    engine.die()
    await trio.sleep(failure.duration_s)
    engine.revive()


@FAILURES.register("freeze-engine")
async def _freeze_engine(stage: Stage, failure: Failure) -> None:
    engine = stage.deployment.engines[_engine(failure.second)]
    engine.freeze()
    await trio.sleep(failure.duration_s)
    engine.thaw()


@FAILURES.register("unmarked-end")
async def _unmarked_end(stage: Stage, failure: Failure) -> None:
    engine = stage.deployment.engines[_engine(failure.second)]
    engine.ends_without_mark = True
    await trio.sleep(failure.duration_s)
    engine.ends_without_mark = False


@FAILURES.register("service-answer-lost")
async def _service_answer_lost(stage: Stage, failure: Failure) -> None:
    await trio.lowlevel.checkpoint()
    stage.deployment.services["service-1"].lose_next()


@FAILURES.register("kv-down")
async def _kv_down(stage: Stage, failure: Failure) -> None:
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(down=True))
    await trio.sleep(failure.duration_s)
    kv.set_faults(kv.faults._replace(down=False))


@FAILURES.register("kv-slow")
async def _kv_slow(stage: Stage, failure: Failure) -> None:
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(delay_s=failure.duration_s / 2))
    await trio.sleep(failure.duration_s)
    kv.set_faults(kv.faults._replace(delay_s=0.0))


@FAILURES.register("kv-answer-lost")
async def _kv_answer_lost(stage: Stage, failure: Failure) -> None:
    await trio.lowlevel.checkpoint()
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(lose_answers=kv.faults.lose_answers + 1 + failure.first))


@FAILURES.register("leaving")
async def _leaving(stage: Stage, failure: Failure) -> None:
    await trio.lowlevel.checkpoint()
    stage.deployment.vm_list.mark_leaving(_engine(failure.second))


@FAILURES.register("roll")
async def _roll(stage: Stage, failure: Failure) -> None:
    """Let an operator roll in the middle of it all, as nothing that may disturb a request."""
    await stage.roll(make_bundle(f"second-{failure.first}"))
