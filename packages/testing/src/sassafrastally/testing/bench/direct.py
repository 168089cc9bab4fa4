"""The bench without wire and processes: schedulers and routing policies drive engine models.

For rounds of work on the policies. A run costs a fraction of the real path's time; what it leaves
out are the messages, the links and the code of entry and sidecar, which `full` has.
"""

from __future__ import annotations

import time
from collections import deque
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio
from trio.testing import MockClock

from sassafrastally.serving.lanes import lane_of, lane_probe_tokens
from sassafrastally.serving.prefix import PrefixGuess, prefix_hashes
from sassafrastally.serving.routing import ROUTING_POLICIES, Candidate, RouteRequest
from sassafrastally.serving.scheduling import SCHEDULERS, EngineState, Running, Work
from sassafrastally.sidecar.engine import EngineFailed, EngineRefused, EngineUnavailable
from sassafrastally.testing.bench.deployment import MODEL, data_centre_of
from sassafrastally.testing.bench.fleet import ENGINE_LOST, RunResult, SyntheticEngine
from sassafrastally.testing.bench.measures import Sample
from sassafrastally.testing.bench.workload import document_text
from sassafrastally.testing.engine_prompt import Prompt
from sassafrastally.testing.engine_run import RunRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.control.bundle import Weights
    from sassafrastally.serving.routing import RoutingPolicy
    from sassafrastally.serving.scheduling import Prediction, Scheduler
    from sassafrastally.testing.bench.fleet import RunPlan
    from sassafrastally.testing.bench.workload import Arrival

CHECK_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 2.0
DISPATCH_INTERVAL_S = 0.05
DECODE_SAMPLE_TOKENS = 32
MAX_ASKED = 8
LANE_OF_REPORT = (0, 2, 2, 3)
"""Figure of the report that the entry reads for each lane."""

MAX_ATTEMPTS = 3


class _Report(NamedTuple):
    """Load of an engine as it was."""

    queued_tokens: int
    running: int
    free_blocks: int
    first_token_s: tuple[float, ...]
    prefill_tokens_per_s: float
    sent_s: float


class _Server:
    """An engine with the part of its sidecar that decides."""

    def __init__(self, vm: str, data_centre: str, plan: RunPlan, seed: int) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.weights: Weights = plan.deployment.weights
        self.engine = SyntheticEngine(plan.shape, seed)
        self.scheduler: Scheduler = SCHEDULERS.get(plan.policy.scheduler)(self.weights)
        self.guess = PrefixGuess()
        self.free_blocks = plan.shape.total_blocks
        self.report: _Report | None = None
        self._shape = plan.shape
        self._waiting: dict[str, tuple[Work, trio.Event]] = {}
        self._running: dict[str, Running] = {}
        self._changed = trio.Event()

    def state(self) -> EngineState:
        shape = self._shape
        return EngineState(
            trio.current_time(),
            shape.block_tokens,
            shape.total_blocks,
            self.free_blocks,
            tuple(self._running.values()),
        )

    def predict(self, work: Work) -> Prediction:
        waiting = [work for work, _ in self._waiting.values()]
        return self.scheduler.predict(work, waiting, self.state())

    def alone_s(self, work: Work) -> float:
        return self.scheduler.cost.prefill_s(work.prompt_tokens - work.cached_tokens)

    def blocks(self, work: Work) -> int:
        return -(-(work.prompt_tokens + work.output_tokens) // self._shape.block_tokens)

    async def serve(self, work: Work, prompt: Prompt, on_first: Callable[[], None]) -> None:
        """Wait for the work's turn and run it to its end."""
        turn = trio.Event()
        self._waiting[work.request_id] = work, turn
        self._changed.set()
        try:
            await turn.wait()
            await self._run(work, prompt, on_first)
        finally:
            self._waiting.pop(work.request_id, None)
            if self._running.pop(work.request_id, None) is not None:
                self.engine.cancel(work.request_id)
                self.free_blocks += self.blocks(work)
            self._changed.set()

    async def dispatch(self) -> None:
        """Hand out waiting work as the scheduler picks it."""
        while True:
            self._changed = trio.Event()
            while self._waiting:
                waiting = [work for work, _ in self._waiting.values()]
                work = self.scheduler.pick(waiting, self.state())
                if work is None:
                    break
                _, turn = self._waiting.pop(work.request_id)
                self.free_blocks -= self.blocks(work)
                self._running[work.request_id] = Running(work, trio.current_time(), None, 0)
                turn.set()
            with trio.move_on_after(DISPATCH_INTERVAL_S if self._waiting else float("inf")):
                await self._changed.wait()

    async def reports(self) -> None:
        """Report the load as the sidecar does."""
        while True:
            self.report = self._make_report()
            for _ in range(round(REPORT_INTERVAL_S / CHECK_INTERVAL_S)):
                await trio.sleep(CHECK_INTERVAL_S)
                if _is_big_change(self.report, self._make_report()):
                    break

    def _make_report(self) -> _Report:
        now_s = trio.current_time()
        probes = lane_probe_tokens(self.weights)
        work = Work("probe", 0, "", 0, 0, 1, 0, now_s, now_s + 600.0)
        firsts = tuple(
            self.predict(work._replace(prompt_tokens=tokens)).first_token_s for tokens in probes
        )
        queued = sum(work.prompt_tokens for work, _ in self._waiting.values())
        rate = 16_000 / self.scheduler.cost.prefill_s(16_000)
        return _Report(queued, len(self._running), self.free_blocks, firsts, rate, now_s)

    async def _run(self, work: Work, prompt: Prompt, on_first: Callable[[], None]) -> None:
        started_s = mark_s = trio.current_time()
        busy = len(self._running)
        cost = self.scheduler.cost
        priority = self.scheduler.engine_priority(work, started_s)
        request = RunRequest(
            work.request_id, MODEL, prompt, priority, prefill_tokens=work.prompt_tokens
        )
        run = self.engine.submit(request)
        tokens = 0
        first_s: float | None = None
        while (item := await run.receive()) is not None:
            now_s = trio.current_time()
            running = self._running[work.request_id]
            if first_s is None:
                first_s = mark_s = now_s
                on_first()
            else:
                tokens += item.tokens
            self._running[work.request_id] = running._replace(
                first_token_s=first_s, shown_tokens=running.shown_tokens + item.tokens
            )
            if tokens >= DECODE_SAMPLE_TOKENS:
                cost.observe_decode(tokens, now_s - mark_s, len(self._running))
                tokens, mark_s = 0, now_s
        if run.usage is None or first_s is None:
            raise EngineFailed("no end mark")
        uncached = run.usage.prompt_tokens - run.usage.cached_tokens
        cost.observe_first_token(uncached, first_s - started_s, busy)
        hashes = prefix_hashes(prompt.text)
        self.guess.correct(hashes, work.cached_tokens, run.usage.cached_tokens)


def _is_big_change(last: _Report, new: _Report) -> bool:
    low, high = sorted(max(20_000, report.queued_tokens) for report in (last, new))
    return high > 2 * low


class _FirstToken:
    """When the first token of a run came."""

    def __init__(self) -> None:
        self.at_s: float | None = None

    def note(self) -> None:
        self.at_s = trio.current_time()


class _Entry:
    """The part of an entry that routes."""

    def __init__(self, place: int, plan: RunPlan, servers: Sequence[_Server]) -> None:
        self.data_centre = data_centre_of(place, plan.deployment)
        self._plan = plan
        self._servers = {server.vm: server for server in servers}
        random = Random(f"{plan.seed} entry {place}")
        self._policy: RoutingPolicy = ROUTING_POLICIES.get(plan.policy.routing)(random)
        self._sent: dict[str, dict[str, int]] = {vm: {} for vm in self._servers}

    async def handle(self, arrival: Arrival) -> Sample:
        """Route one arrival, run it and say what became of it."""
        started_s = trio.current_time()
        code, attempts = "", 0
        while attempts < MAX_ATTEMPTS:
            attempts += 1
            left_s = arrival.time_limit_s - (trio.current_time() - started_s)
            reserved = await self._reserve(arrival, attempts, left_s)
            if isinstance(reserved, str):
                return Sample(arrival, None, None, reserved, attempts)
            server, work, predicted_s = reserved
            firsts = _FirstToken()
            latency_s = self._latency_s(server) + 2 * self._plan.deployment.client_s
            with trio.move_on_after(left_s) as scope:
                try:
                    await server.serve(work, _prompt(arrival), firsts.note)
                except (EngineFailed, EngineUnavailable, EngineRefused):
                    code = "backend-failed"
                    continue
                finally:
                    self._sent[server.vm].pop(work.request_id, None)
            first_s = None if firsts.at_s is None else firsts.at_s + latency_s - started_s
            if scope.cancelled_caught:
                return Sample(arrival, first_s, None, "time-limit-passed", attempts, predicted_s)
            end_s = trio.current_time() + latency_s - started_s
            return Sample(arrival, first_s, end_s, "", attempts, predicted_s)
        return Sample(arrival, None, None, code, attempts)

    async def _reserve(
        self, arrival: Arrival, attempt: int, left_s: float
    ) -> tuple[_Server, Work, float] | str:
        """Ask the candidates in order; when all are busy, the one that would begin first."""
        request = self._route_request(arrival, left_s)
        candidates = [self._candidate(server, arrival) for server in self._servers.values()]
        chosen = self._policy.choose(request, [one for one in candidates if one is not None])
        asks = deque(chosen[:MAX_ASKED])
        waits: dict[str, float] = {}
        code = "no-replica"
        while asks:
            candidate = asks.popleft()
            server = self._servers[candidate.vm]
            await trio.sleep(2 * self._latency_s(server))
            if server.engine.is_up:
                work = self._work(server, arrival, attempt, left_s, request.prefix_hashes)
                prediction = server.predict(work)
                wait_s = prediction.first_token_s - server.alone_s(work)
                if prediction.total_s > left_s:
                    code = "time-limit-unreachable"
                elif 0 < candidate.max_wait_s < wait_s:
                    waits[candidate.vm] = wait_s
                else:
                    self._sent[server.vm][work.request_id] = arrival.prompt_tokens
                    return server, work, prediction.first_token_s
            if not asks and waits:
                least = min(waits, key=lambda vm: waits[vm])
                asks.extend(one._replace(max_wait_s=0) for one in chosen if one.vm == least)
                waits.clear()
        return code

    def _work(
        self,
        server: _Server,
        arrival: Arrival,
        attempt: int,
        left_s: float,
        hashes: tuple[int, ...],
    ) -> Work:
        now_s = trio.current_time()
        return Work(
            request_id=f"{arrival.number}-{attempt}",
            attempt=attempt,
            customer=str(arrival.customer),
            prompt_tokens=arrival.prompt_tokens,
            cached_tokens=server.guess.cached_tokens(hashes, arrival.prompt_tokens),
            output_tokens=arrival.output_tokens,
            priority=0,
            arrived_s=now_s,
            deadline_s=now_s + left_s,
        )

    def _route_request(self, arrival: Arrival, left_s: float) -> RouteRequest:
        return RouteRequest(
            request_id=str(arrival.number),
            customer=str(arrival.customer),
            target=MODEL,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            prefix_hashes=prefix_hashes(document_text(arrival.document)),
            time_limit_s=left_s,
        )

    def _candidate(self, server: _Server, arrival: Arrival) -> Candidate | None:
        report = server.report
        if report is None or not server.engine.is_up:
            return None
        sent = self._sent[server.vm].values()
        shape = self._plan.shape
        lane = lane_of(arrival.prompt_tokens, self._plan.deployment.weights)
        return Candidate(
            vm=server.vm,
            data_centre=server.data_centre,
            is_near=server.data_centre == self.data_centre,
            queued_tokens=report.queued_tokens,
            running=report.running,
            free_blocks=report.free_blocks,
            total_blocks=shape.total_blocks,
            block_tokens=shape.block_tokens,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            first_token_s=report.first_token_s[LANE_OF_REPORT[lane]],
            report_age_s=trio.current_time() - report.sent_s,
            in_flight=len(sent),
            in_flight_tokens=sum(sent),
        )

    def _latency_s(self, server: _Server) -> float:
        near = server.data_centre == self.data_centre
        return 0.0002 if near else self._plan.deployment.between_s


def _prompt(arrival: Arrival) -> Prompt:
    return Prompt(
        text=document_text(arrival.document),
        tokens=arrival.prompt_tokens,
        max_output_tokens=arrival.output_tokens,
        answer_tokens=None,
        marker=str(arrival.number),
        seed=arrival.number,
        is_streamed=True,
    )


def run_direct(plan: RunPlan, arrivals: Sequence[Arrival]) -> RunResult:
    """Run the arrivals and return what became of each."""
    begin = time.perf_counter()
    samples, wasted = trio.run(
        _simulate,
        plan,
        arrivals,
        clock=MockClock(autojump_threshold=0),
        strict_exception_groups=True,
    )
    return RunResult(samples, wasted, time.perf_counter() - begin)


async def _simulate(plan: RunPlan, arrivals: Sequence[Arrival]) -> tuple[list[Sample], int]:
    servers = [
        _Server(f"engine-{place}", data_centre_of(place, plan.deployment), plan, place)
        for place in range(plan.deployment.engines)
    ]
    entries = [_Entry(place, plan, servers) for place in range(plan.deployment.entries)]
    samples: list[Sample] = []

    async def client(arrival: Arrival) -> None:
        samples.append(await entries[arrival.entry].handle(arrival))

    async with trio.open_nursery() as engines:
        for server in servers:
            engines.start_soon(server.engine.run)
            engines.start_soon(server.dispatch)
            engines.start_soon(server.reports)
        if plan.fault == ENGINE_LOST:
            engines.start_soon(_lose, servers[0], plan.duration_s / 2)
        start_s = trio.current_time()
        async with trio.open_nursery() as clients:
            for arrival in arrivals:
                await trio.sleep_until(start_s + arrival.at_s)
                clients.start_soon(client, arrival)
        engines.cancel_scope.cancel()
    return samples, sum(server.engine.wasted_tokens for server in servers)


async def _lose(server: _Server, after_s: float) -> None:
    await trio.sleep(after_s)
    server.engine.die()
