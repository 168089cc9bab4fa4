"""Plays scenes with an entry that is blocked at one step after the other."""

from __future__ import annotations

import math
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.testing.lag.judge import Case, judge, judge_runs
from sassafrastally.testing.lag.scene import SCENES, STAGES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from sassafrastally.testing.lag.callers import Exchange
    from sassafrastally.testing.lag.scene import Scene, Stage

LAGS_S = (0.05, 0.12, 0.25, 0.5)

SPACING_STEPS = 9

MANY = 8

MANY_SHARE = 0.5

SHORT_LAG_S = 0.12
"""Half of the lags up to this length come several times in a row, as where a process has little
processor time."""

STATIONS = 4
"""Scenes that are played at a time, each with an entry of its own."""

LOOK_S = 0.01
"""How often the check looks whether its own callers and servers run."""

HELD_UP_S = 0.08
"""How late callers and servers may be where a promise breaks, well below each limit."""

MOST_TRIES = 4
"""How often a scene is played that was held up."""

SETTLE_S = 0.05
"""Time between two scenes, in which servers may still get what callers have sent."""

SCENE_LIMIT_S = 30.0

STOP_GRID_S = 0.02
"""Interval of the times after a stop signal at which an entry may be blocked."""


class PromiseBroken(Exception):
    """A promise broke although the entry wasn't blocked; the message is the report."""


class Lag(NamedTuple):
    """Where and for how long an entry is blocked.

    Attributes
    ----------
    scene
        Name of the scene.
    step
        Step of the event loop; negative for none.
    at_s
        Time after the stop signal instead; ``None`` for a step.
    lag_s
        For how long.
    times
        How often, with `SPACING_STEPS` between; once at a time.
    """

    scene: str
    step: int
    at_s: float | None
    lag_s: float
    times: int = 1

    @property
    def steps(self) -> range:
        """Steps at which it is blocked."""
        if self.step < 0 or self.at_s is not None:
            return range(0)
        return range(self.step, self.step + self.times * SPACING_STEPS, SPACING_STEPS)

    def __str__(self) -> str:
        place = f"--step {self.step}" if self.at_s is None else f"--at {self.at_s:g}"
        return f"--scenes {self.scene} {place} --lag {self.lag_s:g} --times {self.times}"


class Result(NamedTuple):
    """What became of a scene.

    Attributes
    ----------
    steps
        Steps of the entry's event loop in the scene.
    held_up_s
        How late callers and servers were at worst.
    """

    lag: Lag
    steps: int
    broken: tuple[str, ...]
    answers: Counter[str]
    held_up_s: float

    @property
    def is_judged(self) -> bool:
        """Whether no promise broke, or callers and servers ran on time meanwhile."""
        return not self.broken or self.held_up_s <= HELD_UP_S


class LagReport(NamedTuple):
    """The outcome of a sweep."""

    seed: int
    results: tuple[Result, ...]
    late_broken: tuple[str, ...]
    """Requests that ran although they were refused as not run, by the end of the sweep."""

    @property
    def broken(self) -> tuple[Result, ...]:
        """Scenes in which a promise broke."""
        return tuple(one for one in self.results if one.is_judged and one.broken)

    @property
    def is_broken(self) -> bool:
        """Whether a promise broke."""
        return bool(self.broken or self.late_broken)

    @property
    def unjudged(self) -> tuple[Result, ...]:
        """Scenes that were held up each time."""
        return tuple(one for one in self.results if not one.is_judged)

    def __str__(self) -> str:
        lines = [f"seed {self.seed}: {len(self.results)} scenes, {len(self.unjudged)} not judged"]
        by_scene: dict[str, Counter[str]] = {}
        for result in self.results:
            by_scene.setdefault(result.lag.scene, Counter()).update(result.answers)
        for name, answers in sorted(by_scene.items()):
            lines.append(f"  {name}: " + ", ".join(f"{a} {n}" for a, n in sorted(answers.items())))
        for result in self.broken:
            lines.append(f"BROKEN {result.lag} (of {result.steps} steps)")
            lines += [f"  {problem}" for problem in result.broken]
        lines += [f"BROKEN {problem}" for problem in self.late_broken]
        return "\n".join(lines)


class _HeldUp:
    """Measures how late the callers' and servers' event loop is."""

    def __init__(self) -> None:
        self.spans: list[tuple[float, float]] = []

    async def watch(self) -> None:
        while True:
            begin_s = trio.current_time()
            await trio.sleep(LOOK_S)
            late_s = trio.current_time() - begin_s - LOOK_S
            if late_s > HELD_UP_S:
                self.spans.append((trio.current_time(), late_s))

    def worst_s(self, begin_s: float) -> float:
        """Return how late it was at worst since some time."""
        return max((late_s for at_s, late_s in self.spans if at_s >= begin_s), default=0.0)


class _Station:
    """Plays scenes one after the other with one entry, or a new one where it was stopped."""

    def __init__(self, nursery: trio.Nursery, held_up: _HeldUp) -> None:
        self._nursery = nursery
        self._held_up = held_up
        self._exchanges: list[Exchange] = []
        self._stages: dict[str, Stage] = {}
        self._running: Stage | None = None
        """The stage whose entry runs, if one does."""
        self._stop_s = 0.0

    async def play(self, lag: Lag) -> Result:
        """Play a scene, again if a promise broke while the check itself was held up."""
        for _ in range(MOST_TRIES):
            result = await self._play(lag, SCENES.get(lag.scene))
            if result.is_judged:
                break
        return result

    async def _play(self, lag: Lag, scene: Scene) -> Result:
        stage = await self._prepare(scene)
        stage.exchanges.clear()
        stage.lag_at_s, stage.lag_s = lag.at_s, lag.lag_s
        begin_s = trio.current_time()
        instrument = stage.lagged.lag
        instrument.arm(lag.steps, lag.lag_s)
        with trio.move_on_after(SCENE_LIMIT_S) as limit:
            await scene.play(stage, scene.kind)
            await trio.sleep(SETTLE_S)
            while instrument.is_blocking:
                await trio.sleep(LOOK_S)
        steps = instrument.disarm()
        case = Case(
            scene.terms,
            tuple(stage.exchanges),
            stage.runs(),
            instrument.blocked_s,
            stage.at(instrument.end_s) if instrument.end_s else -math.inf,
            stage.killed_s(scene.stop_s),
            scene.stop_s,
            stage.lagged is not stage.entry,
        )
        broken = tuple(judge(case)) + (("the scene doesn't end",) if limit.cancelled_caught else ())
        self._exchanges += stage.exchanges
        answers = Counter(f"{one.status} {one.code}".strip() for one in stage.exchanges)
        if broken:  # What is wrong with an entry must not show in the next scene.
            await self.end()
        return Result(lag, steps, broken, answers, self._held_up.worst_s(begin_s))

    async def _prepare(self, scene: Scene) -> Stage:
        """Return the stage of a scene, with an entry that runs: a new one where it is stopped."""
        if scene.stage not in self._stages:
            stage = self._stages[scene.stage] = STAGES.get(scene.stage)(self._nursery)
            await stage.start()
        stage = self._stages[scene.stage]
        if self._running is not stage or self._stop_s or scene.stop_s:
            await self.end()
            await stage.start_entry(scene.stop_s)
            self._running, self._stop_s = stage, scene.stop_s
        return stage

    async def end(self) -> None:
        """End the entry, if one runs."""
        if self._running is not None:
            await self._running.stop_entry()
            self._running = None

    def judge_runs(self) -> list[str]:
        """Judge all requests once more: what was refused as not run may have run later."""
        runs = [run for stage in self._stages.values() for run in stage.runs()]
        return judge_runs(self._exchanges, runs)


def scene_names(begins: Sequence[str] = ()) -> list[str]:
    """Return the names of the scenes that begin with one of these; of all if there are none."""
    return [name for name in SCENES.names() if not begins or name.startswith(tuple(begins))]


async def count_steps(names: Sequence[str], stations: int = STATIONS) -> dict[str, int]:
    """Play each scene once without a lag and return its number of steps.

    Scenes with a stop, in which lags come at a time, aren't played and have 0.

    Raises
    ------
    PromiseBroken
        If a promise breaks without any lag.
    """
    played = [name for name in names if not SCENES.get(name).stop_s]
    report = await play_lags(0, [Lag(name, -1, None, 0.0) for name in played], stations=stations)
    if report.is_broken:
        raise PromiseBroken(str(report))
    steps = {result.lag.scene: result.steps for result in report.results}
    return {name: steps.get(name, 0) for name in names}


def choose_lags(
    seed: int, steps: dict[str, int], per_scene: int | None, lags_s: Sequence[float] = LAGS_S
) -> list[Lag]:
    """Return where entries are blocked.

    Parameters
    ----------
    seed
        Decides about steps and lags.
    steps
        Number of steps by scene.
    per_scene
        Lags for each scene; ``None`` for one at each step, or each `STOP_GRID_S` of a stop.
    """
    chosen = []
    for name, count in sorted(steps.items()):
        random = Random(f"{seed}/{name}")
        scene = SCENES.get(name)
        most = count
        if scene.stop_s:
            most = round((scene.stop_s - scene.lags_from_s) / STOP_GRID_S)
        few = range(most) if per_scene is None else random.sample(range(most), min(per_scene, most))
        for place in sorted(few):
            lag_s = random.choice(lags_s)
            if scene.stop_s:
                at_s = round(scene.lags_from_s + STOP_GRID_S * place, 3)
                chosen.append(Lag(name, -1, at_s, lag_s))
            else:
                times = MANY if lag_s <= SHORT_LAG_S and random.random() < MANY_SHARE else 1
                chosen.append(Lag(name, place, None, lag_s, times))
    return chosen


async def play_lags(
    seed: int,
    lags: Iterable[Lag],
    tell: Callable[[str], None] = lambda _: None,
    stations: int = STATIONS,
) -> LagReport:
    """Play scenes, several at a time, and judge them."""
    results: list[Result] = []
    late_broken: list[str] = []
    held_up = _HeldUp()
    left = iter(lags)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(held_up.watch)
        async with trio.open_nursery() as running:
            for _ in range(stations):
                running.start_soon(_run_station, left, held_up, results, late_broken, tell)
        nursery.cancel_scope.cancel()
    order = sorted(results, key=lambda one: one.lag[:3])
    return LagReport(seed, tuple(order), tuple(late_broken))


async def _run_station(
    left: Iterator[Lag],
    held_up: _HeldUp,
    results: list[Result],
    late_broken: list[str],
    tell: Callable[[str], None],
) -> None:
    async with trio.open_nursery() as nursery:
        station = _Station(nursery, held_up)
        for lag in left:
            result = await station.play(lag)
            results.append(result)
            if result.broken:
                told = "broken" if result.is_judged else "held up"
                tell(f"{told}: {lag} of {result.steps}: " + "; ".join(result.broken))
        await station.end()
        late_broken += station.judge_runs()
        nursery.cancel_scope.cancel()
