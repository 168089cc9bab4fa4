"""Runs a soak: builds the fleet, brings troubles by a seed, judges, reports."""

from __future__ import annotations

import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.testing.soak.callers import Caller
from sassafrastally.testing.soak.contention import ONE_CUSTOMER
from sassafrastally.testing.soak.fleet import SoakFleet
from sassafrastally.testing.soak.probing import check_recovered, watch_store_calls, watch_versions
from sassafrastally.testing.soak.promises import Judge
from sassafrastally.testing.soak.record import HarmedSpan
from sassafrastally.testing.soak.trouble_plan import plan_troubles
from sassafrastally.testing.soak.troubles import TROUBLES, NoServerFree

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sassafrastally.testing.soak.record import Broken
    from sassafrastally.testing.soak.trouble_plan import PlannedTrouble
    from sassafrastally.testing.soak.troubles import Trouble

GAP_S = 1.2
"""Mean time between two troubles; most last longer, so that they overlap."""

SETTLE_S = 4.0
"""Time between the last trouble and the questions whether all is well again."""

LAG_LOOK_S = 0.05
LAG_NOTED_S = 0.01
"""Lag from which it is noted, so that it isn't taken for the time of an entry."""

LAG_LIMIT_S = 0.25
"""When the soak itself was held up for this long, what it measured in that time says nothing."""


class SoakSize(NamedTuple):
    """How large a soak is."""

    entries: int
    engines: int
    plain: int
    callers: int


class SoakReport(NamedTuple):
    """What a soak found."""

    seed: int
    size: SoakSize
    seconds: float
    outcomes: dict[str, int]
    troubles: dict[str, int]
    held_up: int
    """How often the soak itself was held up."""
    broken: list[Broken]
    folder: str
    """Where logs of a soak with broken promises are."""

    def __str__(self) -> str:
        verdict = f"BROKEN: {len(self.broken)}" if self.broken else "all promises kept"
        outcomes = ", ".join(f"{count} {name}" for name, count in sorted(self.outcomes.items()))
        troubles = ", ".join(f"{count} {name}" for name, count in sorted(self.troubles.items()))
        lines = [
            f"seed {self.seed}, {self.seconds:.0f} s, {self.size}: {verdict}",
            f"  attempts: {outcomes}",
            f"  troubles: {troubles}",
            f"  held up itself: {self.held_up} times",
            *[f"  {one.promise}: {one.detail}" for one in self.broken],
        ]
        if self.broken:
            lines.append(f"  logs: {self.folder}")
        return "\n".join(lines)


def size_of(random_source: random.Random) -> SoakSize:
    """Return a usual size: a few dozen processes and stand-ins."""
    return SoakSize(
        entries=random_source.randint(2, 6),
        engines=random_source.randint(4, 12),
        plain=random_source.randint(2, 4),
        callers=random_source.randint(8, 24),
    )


async def run_soak(
    seed: int,
    seconds: float,
    size: SoakSize | None,
    tell: Callable[[str], object],
    kinds: Sequence[str] = (),
    gap_s: float = GAP_S,
) -> SoakReport:
    """Run a soak.

    Parameters
    ----------
    seed
        Decides size, troubles and requests. What a trouble harms, and how requests follow on each
        other, still varies with their times on the machine.
    seconds
        How long troubles are brought.
    size
        The size, if the seed isn't to decide it.
    tell
        Called with lines about the progress.
    kinds
        Names of the troubles that are brought; none stands for all.
    gap_s
        Mean time between two troubles.
    """
    random_source = random.Random(seed)
    size = size or size_of(random_source)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with trio.open_nursery() as nursery:
        fleet = SoakFleet(random_source, folder, nursery)
        # Half of the seeds with these troubles, so that both kinds of deployments are run.
        fleet.has_priorities = seed % 2 == 0 and ONE_CUSTOMER in (kinds or TROUBLES.names())
        try:
            await fleet.start(size.entries, size.engines, size.plain)
            judge = Judge(fleet)
            planned = plan_troubles(seed, seconds, kinds or TROUBLES.names(), gap_s)
            await _press(fleet, judge, size, seconds, planned, tell)
            await check_recovered(fleet)
            judge.judge_ended()
            judge.judge_all()
        finally:
            fleet.end()
            nursery.cancel_scope.cancel()
    names = Counter(span.name for span in fleet.record.spans)
    held_up = names.pop(HELD_UP, 0)
    return SoakReport(
        seed, size, seconds, dict(judge.counts), names, held_up, fleet.record.broken, str(folder)
    )


async def _press(
    fleet: SoakFleet,
    judge: Judge,
    size: SoakSize,
    seconds: float,
    planned: Sequence[PlannedTrouble],
    tell: Callable[[str], object],
) -> None:
    """Let callers press while troubles come, and a while longer."""
    async with trio.open_nursery() as nursery:
        for _ in range(size.callers):
            nursery.start_soon(Caller(fleet).press)
        nursery.start_soon(judge.watch)
        nursery.start_soon(watch_versions, fleet)
        nursery.start_soon(watch_store_calls, fleet)
        nursery.start_soon(_watch_lag, fleet)
        nursery.start_soon(fleet.scheduling.watch, fleet.entries)
        nursery.start_soon(_tell, fleet, tell)
        async with trio.open_nursery() as troubles:
            begin_s = trio.current_time()
            await _bring_troubles(fleet, troubles, planned, begin_s)
            await trio.sleep_until(begin_s + seconds)
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()


async def _bring_troubles(
    fleet: SoakFleet, troubles: trio.Nursery, planned: Sequence[PlannedTrouble], begin_s: float
) -> None:
    for one in planned:
        await trio.sleep_until(begin_s + one.at_s)
        troubles.start_soon(_bring, fleet, TROUBLES.get(one.name))


async def _bring(fleet: SoakFleet, chosen: Trouble) -> None:
    try:
        await chosen.bring(fleet)
    except NoServerFree:
        return


async def _watch_lag(fleet: SoakFleet) -> None:
    """Note when this process itself was late; as a trouble of all entries if it was held up."""
    while True:
        before_s = trio.current_time()
        await trio.sleep(LAG_LOOK_S)
        now_s = trio.current_time()
        if now_s - before_s > LAG_LOOK_S + LAG_NOTED_S:
            fleet.record.lags.append(HarmedSpan("", before_s + LAG_LOOK_S, now_s))
        if now_s - before_s > LAG_LIMIT_S:
            with fleet.record.trouble(HELD_UP) as span:
                span.begin_s = before_s


async def _tell(fleet: SoakFleet, tell: Callable[[str], object]) -> None:
    while True:
        await trio.sleep(10.0)
        record = fleet.record
        elapsed_s = trio.current_time() - record.begin_s
        tell(
            f"{elapsed_s:.0f} s: {len(record.attempts)} attempts, {len(record.spans)} troubles, "
            f"{len(record.broken)} broken promises"
        )


HELD_UP = "the soak itself was held up"
