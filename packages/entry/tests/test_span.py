"""Spans over a deployment of fake engines: execution, capacity and failures."""

from __future__ import annotations

import json
import os
from collections import Counter
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model
from sassafrastally.entry.path import RequestPath
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.sidecar.service import SidecarService
from sassafrastally.testing.deployment import Deployment, DeploymentShape, VmSpec, key_digest
from sassafrastally.testing.engine_fake import FakeEngine
from sassafrastally.testing.engine_model import EngineShape, EngineTiming
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.testing.scenario_sent import MODEL, Asked

BLOCKS, BLOCK_TOKENS = 512, 16
ENGINE_TOKENS = BLOCKS * BLOCK_TOKENS
LONG_TOKENS = ENGINE_TOKENS * 5 // 2
HISTORIES = int(os.environ.get("SASSAFRASTALLY_SPANS", "4"))
"""Number of random histories; set a higher number for a longer manual run."""

ANSWER_TOKENS = 60
STEP_S = 0.05
"""Long enough that a run lasts longer than the detection of a failure."""
LATENCY_S = 0.002
SETTLE_S = 3.0
FREED_WITHIN_S = 15.0
"""Link loss detection, two grace periods and a sweep."""

BUNDLE = Bundle(
    name="spans",
    models=(Model(MODEL, "1", 1_000_000),),
    customers=(Customer("counter", (key_digest("counter-key"),)),),
    limits=Limits(default_time_limit_s=60.0, max_attempts=5),
)


class Sent:
    """A request in progress, or its result."""

    def __init__(self, asked, node):
        self.asked, self.node = asked, node
        self.started_s = trio.current_time()
        self.outcome, self.refusal = None, None
        self.first_data, self.over = trio.Event(), trio.Event()
        self.scope = trio.CancelScope()
        self.data = b""

    async def run(self):
        with self.node.call() as self.scope:
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                path = self.node.kernel.get("path", RequestPath)
                async with path.open(self.asked.read(path.bundle().bundle)) as answer:
                    async for data in answer:
                        self.first_data_s = self.first_data_s or trio.current_time()
                        self.first_data.set()
                        self.data += data
                self.outcome = Outcome.COMPLETED
            except Refusal as refusal:
                self.outcome, self.refusal = refusal.outcome, refusal
        self.ended_s = trio.current_time()
        self.over.set()

    first_data_s = 0.0

    @property
    def code(self):
        return self.refusal.kind.code if self.refusal else ""

    @property
    def text(self):
        if not self.asked.is_streamed:
            return json.loads(self.data)["choices"][0]["text"]
        events = [part.removeprefix("data: ") for part in self.data.decode().split("\n\n") if part]
        return "".join(json.loads(event)["choices"][0]["text"] for event in events)


class CountingEngine(FakeEngine):
    """Counts the runs that generate an answer, by marker; segments generate none."""

    def __init__(self, model, directory, runs):
        super().__init__(model, directory)
        self.runs = runs

    def generate(self, request):
        if request.max_output_tokens:
            self.runs[json.loads(request.body)["marker"]] += 1
        return super().generate(request)


class SpanFleet(Deployment):
    """A deployment whose engines fetch KV exports from each other."""

    def __init__(self, shape, nursery):
        super().__init__(shape, nursery, MemoryNetwork(LATENCY_S))
        self.runs = Counter()
        self.nursery = nursery
        self.sent = []

    def make_engine_client(self, model):
        return CountingEngine(model, self.engines_by_address, self.runs)

    def send(self, marker, entry="entry-1", **options):
        asked = Asked(marker, time_limit_s=60.0)._replace(**options)
        sent = Sent(asked, self.node(entry))
        self.sent.append(sent)
        self.nursery.start_soon(sent.run)
        return sent

    def long(self, marker="long", entry="entry-1", **options):
        options = {"prompt_tokens": LONG_TOKENS, "answer_tokens": ANSWER_TOKENS, **options}
        return self.send(marker, entry, **options)

    def attempts(self, vm):
        """Return the live segment attempts on a sidecar."""
        table = self.node(vm).kernel.get("sidecar", SidecarService).table
        return [attempt for attempt in table.live if attempt.segment is not None]

    async def until(self, is_so, every_s=0.002):
        with trio.fail_after(60):
            while not is_so():
                await trio.sleep(every_s)

    async def check_free(self):
        """Check that no engine holds anything by its own count and no sidecar records anything
        held."""
        with trio.move_on_after(FREED_WITHIN_S):
            await self.until(self.is_free, 0.1)
        for vm, engine in self.engines.items():
            assert engine.streams() == [], vm
            assert engine.memory.free_blocks == BLOCKS, vm
            if vm in self.nodes:
                held = self.node(vm).kernel.get("sidecar", SidecarService).ledger.held
                assert held == {}, vm

    def is_free(self):
        ledgers = [
            self.node(vm).kernel.get("sidecar", SidecarService).ledger
            for vm in self.engines
            if vm in self.nodes
        ]
        return not any(engine.streams() for engine in self.engines.values()) and not any(
            ledger.held for ledger in ledgers
        )


@asynccontextmanager
async def open_fleet(engines=3, entries=1, **changes):
    vms = [VmSpec(f"engine-{n + 1}", "sidecar") for n in range(engines)]
    vms += [VmSpec(f"entry-{n + 1}", "entry") for n in range(entries)]
    engine = EngineShape(
        models=(MODEL,),
        total_blocks=BLOCKS,
        block_tokens=BLOCK_TOKENS,
        event_gap_share=0.0,
        timing=EngineTiming(step_s=STEP_S),
    )
    shape = DeploymentShape(tuple(vms), BUNDLE, engine._replace(**changes))
    async with trio.open_nursery() as nursery:
        fleet = SpanFleet(shape, nursery)
        await fleet.roll(shape.bundle)
        for spec in shape.vms:
            await fleet.start(spec.vm)
        await trio.sleep(SETTLE_S)
        yield fleet
        nursery.cancel_scope.cancel()


def assert_whole(sent):
    assert sent.outcome is Outcome.COMPLETED, str(sent.refusal)
    assert sent.text == sent.asked.own_answer()


PHASES = {
    "reserved": lambda fleet, vm: any(a.state is AttemptState.RESERVED for a in fleet.attempts(vm)),
    "prefilling": lambda fleet, vm: any(a.has_started for a in fleet.attempts(vm)),
    "exported": lambda fleet, vm: any(s.kind == "export" for s in fleet.engines[vm].streams()),
    "leading": lambda fleet, vm: any(a.has_started for a in fleet.attempts("engine-3")),
    "decoding": lambda fleet, vm: fleet.sent[0].first_data.is_set(),
}


class TestSpan:
    async def test_prompt_of_two_and_a_half_engines(self, autojump_clock):
        async with open_fleet() as fleet:
            sent = fleet.long(is_streamed=True)
            await sent.over.wait()
            assert_whole(sent)
            await fleet.check_free()

    async def test_two_at_once(self, autojump_clock):
        """Two long prompts arrive at the same time through two entries, for engines that can hold
        only one of them. All entries reserve in the same order, so one gets all engines and the
        other waits. Otherwise each would hold half and both would exceed their time limits."""
        async with open_fleet(entries=2) as fleet:
            first = fleet.long("first")
            second = fleet.long("second", entry="entry-2")
            for sent in (first, second):
                await sent.over.wait()
                assert_whole(sent)
            await fleet.check_free()

    async def test_non_idempotent_runs_once(self, autojump_clock):
        async with open_fleet() as fleet:
            sent = fleet.long(is_idempotent=False)
            await sent.over.wait()
            assert_whole(sent)
            assert fleet.runs["long"] == 1
            await fleet.check_free()

    async def test_prompt_too_long_for_all_engines_is_refused_at_once(self, autojump_clock):
        async with open_fleet() as fleet:
            sent = fleet.long(prompt_tokens=3 * ENGINE_TOKENS)
            await sent.over.wait()
            assert (sent.code, sent.outcome) == ("no-span", Outcome.NOT_RUN)
            assert sent.ended_s - sent.started_s < 0.1
            await fleet.check_free()

    async def test_time_limit_that_cannot_be_met_is_refused_at_once(self, autojump_clock):
        async with open_fleet() as fleet:
            fleet.long("teaches")
            await fleet.sent[0].over.wait()
            sent = fleet.long(time_limit_s=0.5)
            await sent.over.wait()
            assert (sent.code, sent.outcome) == ("time-limit-unreachable", Outcome.NOT_RUN)
            assert sent.ended_s - sent.started_s < 0.3
            await fleet.check_free()


class TestConcurrentRequests:
    async def test_short_requests_are_not_delayed(self, autojump_clock):
        """A prompt across all engines takes seconds. Short requests to the same engines must not
        wait for its end, nor must it wait for theirs."""

        async def first_tokens_s(with_span):
            async with open_fleet() as fleet:
                long = fleet.long(answer_tokens=20) if with_span else None
                shorts = [await short_after(fleet, number) for number in range(20)]
                for sent in [*shorts, *([long] if long else [])]:
                    await sent.over.wait()
                    assert_whole(sent)
                await fleet.check_free()
                return sorted(sent.ended_s - sent.started_s for sent in shorts), long

        async def short_after(fleet, number):
            await trio.sleep(0.1)
            return fleet.send(f"short-{number}", prompt_tokens=200, answer_tokens=5)

        alone, _ = await first_tokens_s(False)
        beside, long = await first_tokens_s(True)
        print(f"short median {alone[10]:.3f} -> {beside[10]:.3f} s", end=", ")
        print(f"slowest {alone[-1]:.3f} -> {beside[-1]:.3f} s")
        print(f"span {long.ended_s - long.started_s:.3f} s")
        # A step with a chunk of a long prefill takes 0.15 s, one without takes 0.05 s.
        assert beside[-1] < 4 * alone[-1]

    async def test_backfill_ends_before_the_segment_starts(self, autojump_clock):
        """A request that needs engine memory promised to a span is refused as memory-full because
        of the span, or it ends in time; the span never waits for it."""
        async with open_fleet() as fleet:
            fleet.long("long")
            await fleet.until(lambda: PHASES["reserved"](fleet, "engine-3"))
            big = fleet.send("big", prompt_tokens=7_000, answer_tokens=60)
            for sent in fleet.sent:
                await sent.over.wait()
            assert_whole(fleet.sent[0])
            assert big.code == "memory-full"
            await fleet.check_free()


class TestFailures:
    @pytest.mark.parametrize(
        ("phase", "vm"),
        [
            ("reserved", "engine-2"),
            ("prefilling", "engine-1"),
            ("exported", "engine-2"),
            ("leading", "engine-2"),
            ("decoding", "engine-1"),
        ],
    )
    async def test_member_engine_dies(self, phase, vm, autojump_clock):
        """A member's engine dies and restarts empty in each phase of the span. The leader's engine
        doesn't detect that. Unless the sidecars and the entry do, the caller gets an answer based
        on part of the prompt, or none."""
        async with open_fleet() as fleet:
            sent = fleet.long(is_streamed=True)
            await fleet.until(lambda: PHASES[phase](fleet, vm))
            fleet.engines[vm].die()
            await trio.sleep(0.1)
            fleet.engines[vm].revive()
            await sent.over.wait()
            assert_whole(sent)
            if phase in ("leading", "decoding"):
                assert sum(engine.started["long"] for engine in fleet.engines.values()) > 3
            await fleet.check_free()

    async def test_member_engine_stays_down(self, autojump_clock):
        """A member's engine dies during decode and stays down. The leader's engine continues to
        generate from lost memory. It must be stopped when the member's sidecar detects that its
        engine is down, not when the engine restarts."""
        async with open_fleet() as fleet:
            sent = fleet.long(is_streamed=True)
            await fleet.until(sent.first_data.is_set)
            fleet.engines["engine-1"].die()
            await trio.sleep(1.5)
            assert [run for run in fleet.engines["engine-3"].streams() if run.kind == "run"] == []
            fleet.engines["engine-1"].revive()
            await sent.over.wait()
            assert_whole(sent)
            await fleet.check_free()

    @pytest.mark.parametrize(
        ("phase", "vm"),
        [
            ("reserved", "engine-3"),
            ("prefilling", "engine-1"),
            ("exported", "engine-2"),
            ("decoding", "engine-1"),
            ("decoding", "engine-3"),
        ],
    )
    async def test_member_sidecar_dies(self, phase, vm, autojump_clock):
        """A member's sidecar dies and a new one starts in each phase of the span. The state that
        the old one left on the engine has no owner; the new one must free it, and the request
        continues with a new span."""
        async with open_fleet() as fleet:
            sent = fleet.long(is_streamed=True)
            await fleet.until(lambda: PHASES[phase](fleet, vm))
            await fleet.kill(vm)
            await trio.sleep(0.5)
            await fleet.start(vm)
            await sent.over.wait()
            assert_whole(sent)
            await fleet.check_free()

    @pytest.mark.parametrize("phase", PHASES)
    async def test_entry_dies(self, phase, autojump_clock):
        """The entry that planned a span dies in each phase. No other process has a record of the
        span: each sidecar must free its own part, and the leader's run must end before the memory
        that it reads is freed, also for a non-idempotent request."""
        async with open_fleet() as fleet:
            fleet.long(is_streamed=True, is_idempotent=False, answer_tokens=200)
            vm = "engine-2" if phase == "reserved" else "engine-1"
            await fleet.until(lambda: PHASES[phase](fleet, vm))
            await fleet.kill("entry-1")
            with trio.fail_after(FREED_WITHIN_S):
                while not fleet.is_free():
                    held = [vm for vm in fleet.engines if fleet.engines[vm].streams()]
                    reads = [
                        run for run in fleet.engines["engine-3"].streams() if run.kind == "run"
                    ]
                    assert not reads or phase != "decoding" or "engine-1" in held
                    await trio.sleep(0.05)
            await fleet.check_free()

    async def test_caller_disconnects(self, autojump_clock):
        async with open_fleet() as fleet:
            sent = fleet.long(is_streamed=True, is_idempotent=False)
            await fleet.until(sent.first_data.is_set)
            sent.scope.cancel()
            await trio.sleep(1.0)
            assert fleet.is_free()

    @pytest.mark.parametrize("phase", PHASES)
    async def test_link_is_cut(self, phase, autojump_clock):
        """The connection to a member is lost and re-established. The entry reattaches to a
        committed segment, and nothing is computed twice; a reserved one is void and is reserved
        again."""
        async with open_fleet() as fleet:
            sent = fleet.long(is_streamed=True)
            await fleet.until(lambda: PHASES[phase](fleet, "engine-2"))
            fleet.memory_network.cut("entry-1", "engine-2")
            await sent.over.wait()
            assert_whole(sent)
            if phase != "reserved":
                assert max(engine.started["long"] for engine in fleet.engines.values()) == 1
            await fleet.check_free()


class TestHistories:
    @pytest.mark.parametrize("seed", range(HISTORIES))
    async def test_random_failures(self, seed, autojump_clock):
        """Failures occur at random times during spans and short requests of two entries. Each
        caller is answered within its limit, complete answers are correct, and nothing stays
        held."""
        random = Random(seed)
        async with open_fleet(engines=4, entries=2) as fleet:
            for number in range(3):
                entry = f"entry-{random.randint(1, 2)}"
                fleet.long(f"long-{number}", entry, is_idempotent=random.random() < 0.7)
                fleet.send(f"short-{number}", entry, answer_tokens=5)
                await inject_failure(fleet, random)
            for sent in fleet.sent:
                await sent.over.wait()
                assert sent.ended_s - sent.started_s <= sent.asked.time_limit_s + 0.5
                if sent.outcome is Outcome.COMPLETED:
                    assert_whole(sent)
                if not sent.asked.is_idempotent:
                    assert fleet.runs[sent.asked.marker] <= 1
                if sent.outcome is Outcome.NOT_RUN:
                    assert fleet.runs[sent.asked.marker] == 0
            await fleet.check_free()


async def inject_failure(fleet, random):
    await trio.sleep(random.uniform(0, 3))
    vm = f"engine-{random.randint(1, 4)}"
    match random.choice(["engine", "sidecar", "entry", "cut", "none"]):
        case "engine":
            fleet.engines[vm].die()
            await trio.sleep(random.choice([0.05, 2.0]))
            fleet.engines[vm].revive()
        case "sidecar":
            await fleet.kill(vm)
            await trio.sleep(random.choice([0.05, 2.0]))
            await fleet.start(vm)
        case "entry":
            entry = f"entry-{random.randint(1, 2)}"
            await fleet.kill(entry)
            await trio.sleep(0.5)
            await fleet.start(entry)
            await trio.sleep(SETTLE_S)
        case "cut":
            fleet.memory_network.cut(f"entry-{random.randint(1, 2)}", vm)
