"""Steps that break, heal and operate."""

from __future__ import annotations

import trio

from sassafrastally.control.bundle import Drain
from sassafrastally.control.spread import BundleService
from sassafrastally.testing.scenario_stage import STEPS, Place, Stage, make_bundle


@STEPS.register("cut")
async def cut(stage: Stage, one: Place, other: Place) -> None:
    """Cut two VMs off from each other until they are healed."""
    stage.deployment.memory_network.partition(stage.vm(one), stage.vm(other))


@STEPS.register("heal")
async def heal(stage: Stage, one: Place, other: Place) -> None:
    """End a cut."""
    stage.deployment.memory_network.heal(stage.vm(one), stage.vm(other))


@STEPS.register("break_link")
async def break_link(stage: Stage, one: Place, other: Place) -> None:
    """Break the connections between two VMs once; they may connect again at once."""
    stage.deployment.memory_network.cut(stage.vm(one), stage.vm(other))


@STEPS.register("freeze")
async def freeze(stage: Stage, place: Place) -> None:
    """Hold all that a VM sends and is sent."""
    deployment = stage.deployment
    deployment.memory_network.freeze(deployment.peer_address(stage.vm(place)))


@STEPS.register("thaw")
async def thaw(stage: Stage, place: Place) -> None:
    """Let what was held go on its way."""
    deployment = stage.deployment
    deployment.memory_network.thaw(deployment.peer_address(stage.vm(place)))


@STEPS.register("freeze_for")
async def freeze_for(stage: Stage, place: Place, duration_s: float) -> None:
    """Begin a silence of a sound VM, which ends by itself, and go on with the story."""
    at = Place(stage.vm(place))
    await freeze(stage, at)
    stage.nursery.start_soon(_thaw_later, stage, at, duration_s)


async def _thaw_later(stage: Stage, place: Place, duration_s: float) -> None:
    await trio.sleep(duration_s)
    await thaw(stage, place)


@STEPS.register("kill")
async def kill(stage: Stage, place: Place) -> None:
    """End a process as a loss of power would; the engine beside a sidecar lives on."""
    await stage.deployment.kill(stage.vm(place))


@STEPS.register("start_vm")
async def start_vm(stage: Stage, place: Place) -> None:
    """Start a process again on its old address."""
    await stage.start(stage.vm(place))


@STEPS.register("stop")
async def stop(stage: Stage, place: Place) -> None:
    """Ask a process to stop, as SIGTERM does, and go on with the story."""
    vm = stage.vm(place)
    stage.stopped[vm] = trio.Event()
    stage.nursery.start_soon(_stop, stage, vm)
    await trio.lowlevel.checkpoint()


async def _stop(stage: Stage, vm: str) -> None:
    await stage.deployment.stop(vm)
    stage.stopped[vm].set()


@STEPS.register("kill_engine")
async def kill_engine(stage: Stage, place: Place) -> None:
    """Let an engine lose its runs and its memory."""
    stage.deployment.engines[stage.vm(place)].die()


@STEPS.register("start_engine")
async def start_engine(stage: Stage, place: Place) -> None:
    """Start an engine again, as a new incarnation."""
    stage.deployment.engines[stage.vm(place)].revive()


@STEPS.register("freeze_engine")
async def freeze_engine(stage: Stage, place: Place) -> None:
    """Let an engine stand still."""
    stage.deployment.engines[stage.vm(place)].freeze()


@STEPS.register("thaw_engine")
async def thaw_engine(stage: Stage, place: Place) -> None:
    """Let an engine go on."""
    stage.deployment.engines[stage.vm(place)].thaw()


@STEPS.register("freeze_engine_for")
async def freeze_engine_for(stage: Stage, place: Place, duration_s: float) -> None:
    """Begin a silence of a sound engine, which ends by itself, and go on with the story."""
    at = Place(stage.vm(place))
    await freeze_engine(stage, at)
    stage.nursery.start_soon(_thaw_engine_later, stage, at, duration_s)


async def _thaw_engine_later(stage: Stage, place: Place, duration_s: float) -> None:
    await trio.sleep(duration_s)
    await thaw_engine(stage, place)


@STEPS.register("end_without_mark")
async def end_without_mark(stage: Stage, place: Place) -> None:
    """Let an engine end its answers without the mark that says they are whole."""
    stage.deployment.engines[stage.vm(place)].ends_without_mark = True


@STEPS.register("end_with_mark")
async def end_with_mark(stage: Stage, place: Place) -> None:
    """Let an engine end its answers properly again."""
    stage.deployment.engines[stage.vm(place)].ends_without_mark = False


@STEPS.register("cut_engine")
async def cut_engine(stage: Stage, place: Place, tokens: int) -> None:
    """Break the connection of the next run after some tokens; the engine goes on for nobody."""
    stage.deployment.engine_clients[stage.vm(place)].faults.cut_after_chunks = tokens


@STEPS.register("miss_engine_calls")
async def miss_engine_calls(stage: Stage, place: Place, count: int) -> None:
    """Let the next calls to an engine not reach it."""
    stage.deployment.engine_clients[stage.vm(place)].faults.unsent = count


@STEPS.register("slow_service")
async def slow_service(stage: Stage, place: Place, delay_s: float) -> None:
    """Let a plain service take its time."""
    stage.deployment.services[stage.vm(place)].delay_s = delay_s


@STEPS.register("lose_service_answer")
async def lose_service_answer(stage: Stage, place: Place) -> None:
    """Let a plain service run its next call and never answer."""
    stage.deployment.services[stage.vm(place)].lose_next()


@STEPS.register("lose_kv_answers")
async def lose_kv_answers(stage: Stage, count: int) -> None:
    """Let the next writes to the KV service take effect and their answers be lost."""
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(lose_answers=count))


@STEPS.register("drop_kv_writes")
async def drop_kv_writes(stage: Stage, count: int) -> None:
    """Let the next writes to the KV service be lost before they take effect."""
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(drop_writes=count))


@STEPS.register("kv_down")
async def kv_down(stage: Stage) -> None:
    """Begin an outage of the KV service."""
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(down=True))


@STEPS.register("kv_slow")
async def kv_slow(stage: Stage, delay_s: float) -> None:
    """Let each call to the KV service take so long."""
    kv = stage.deployment.kv
    kv.set_faults(kv.faults._replace(delay_s=delay_s))


@STEPS.register("kv_well")
async def kv_well(stage: Stage) -> None:
    """End all faults of the KV service."""
    stage.deployment.kv.set_faults(type(stage.deployment.kv.faults)())


@STEPS.register("mark_leaving")
async def mark_leaving(stage: Stage, place: Place) -> None:
    """Mark a VM as leaving in the VM list."""
    stage.deployment.vm_list.mark_leaving(stage.vm(place))


@STEPS.register("roll")
async def roll(stage: Stage, name: str, leaving: Place | None) -> None:
    """Let an operator publish, sign and roll a bundle, in the background."""
    drain = Drain((stage.vm(leaving),) if leaving else ())
    stage.nursery.start_soon(stage.roll, make_bundle(name, drain))
    await trio.lowlevel.checkpoint()


@STEPS.register("race")
async def race(stage: Stage, one: str, other: str) -> None:
    """Let two operators who saw the same generation roll at once."""
    seen = max(
        node.kernel.get("bundle", BundleService).generation
        for node in stage.deployment.nodes.values()
    )
    async with trio.open_nursery() as operators:
        for bundle in (one, other):
            operators.start_soon(stage.roll, make_bundle(bundle), seen)
