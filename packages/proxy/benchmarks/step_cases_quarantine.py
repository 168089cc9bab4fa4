"""Cases of `step_times`: crashes on prompts of many parts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from step_cases import case

from sassafrastally.proxy.fingerprint import Subjects, part_key
from sassafrastally.proxy.quarantine import Quarantine
from sassafrastally.proxy.quarantine_exchange import CrashReport, QuarantineReport
from sassafrastally.proxy.verdicts import MAX_VERDICTS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_PARTS = 2700
"""Parts of a prompt, with ids of three digits, in a header of 16,384 bytes."""

MANY_PARTS = 901
"""Parts of a prompt, with ids of eight digits, in a header of 12 KB. All of them are judged, while
of more most are forgotten again."""


def _parts(count: int, name: str = "shared") -> tuple[int, ...]:
    return tuple(part_key(f"{name} {number}") for number in range(count))


def _crashes(
    quarantine: Quarantine, crashes: int, parts: Callable[[int], tuple[int, ...]]
) -> Iterator[Callable[[], object]]:
    """Yield steps in which servers crash on prompts, one each 0.3 s, and the parts are judged."""
    for number in range(crashes):
        now_s = 10.0 + 0.3 * number
        subjects = Subjects(number, parts(number))
        yield lambda subjects=subjects, number=number, now_s=now_s: (  # type: ignore[misc]
            quarantine.record_crashed_run(subjects, number, now_s)
        )
        yield from _judgement(quarantine, now_s + 0.1)


def _judgement(quarantine: Quarantine, now_s: float) -> Iterator[Callable[[], object]]:
    for _ in range(10_000):
        yield lambda: quarantine.judge_settled(now_s)
        if not quarantine.parts.due_s <= now_s:
            return


@case("crashes on one long prompt", f"Prompt-Prefix with {MANY_PARTS} parts, the same each time")
def crashes_on_one_long_prompt() -> Iterator[Callable[[], object]]:
    """Crashes that no part explains better than another."""
    quarantine, parts = Quarantine(), _parts(MANY_PARTS)
    yield from _crashes(quarantine, 4, lambda _: parts)
    yield lambda: quarantine.verdict(77, 12.0, parts)
    yield lambda: quarantine.crash_count(77, 12.0, parts)
    yield lambda: quarantine.crash_counts_with(77, 12.0, parts)
    for subject in parts[:3]:
        yield lambda subject=subject: quarantine.parts.basis(subject, 12.0)  # type: ignore[misc]
    yield lambda: quarantine.forget_old(13.0)  # The review of the verdicts.
    yield lambda: quarantine.crash_count(77, 13.0, parts)
    yield lambda: quarantine.crash_counts_with(77, 13.0, parts)
    yield lambda: quarantine.report(13.0, is_full=True)


@case("crashes on drawn long prompts", "Prompt-Prefix with 600 of 1,020 parts, others each time")
def crashes_on_drawn_long_prompts() -> Iterator[Callable[[], object]]:
    """Crashes of which the parts have no two alike."""
    quarantine, draw = Quarantine(), random.Random(5)
    drawn = [tuple(draw.sample(_parts(1020), 600)) for _ in range(8)]
    yield from _crashes(quarantine, 8, lambda number: drawn[number])
    parts = _parts(MANY_PARTS)
    yield lambda: quarantine.verdict(77, 13.0, parts)
    yield lambda: quarantine.crash_count(77, 13.0, parts)
    yield lambda: quarantine.crash_counts_with(77, 13.0, parts)
    yield lambda: quarantine.forget_old(14.0)
    yield lambda: quarantine.crash_counts_with(77, 14.0, parts)


@case("crashes on new long prompts", f"Prompt-Prefix with {MAX_PARTS} parts, new ones each time")
def crashes_on_new_long_prompts() -> Iterator[Callable[[], object]]:
    """Crashes whose parts exceed the number of subjects that are kept."""
    quarantine, old = Quarantine(), _parts(1020, "old")
    for server in (1001, 1002):
        quarantine.record_crashed_run(Subjects(server, old), server, 9.0)
    yield from _crashes(quarantine, 3, lambda number: _parts(MAX_PARTS, f"{number}"))


@case("most parts", f"Prompt-Prefix with {MAX_PARTS} parts, the same each time")
def most_parts() -> Iterator[Callable[[], object]]:
    """Crashes and answers with more parts than are kept."""
    quarantine, parts = Quarantine(), _parts(MAX_PARTS)
    yield from _crashes(quarantine, 4, lambda _: parts)
    yield lambda: quarantine.verdict(77, 12.0, parts)
    yield lambda: quarantine.crash_count(77, 12.0, parts)
    yield lambda: quarantine.crash_counts_with(77, 12.0, parts)
    yield lambda: [quarantine.record_answered(part, 12.6) for part in parts]
    yield lambda: _parts(MAX_PARTS, "new")


@case("answers to long prompts", f"Prompt-Prefix with {MANY_PARTS} parts, {MAX_VERDICTS} verdicts")
def answers_to_long_prompts() -> Iterator[Callable[[], object]]:
    """Answers that clear parts with crashes."""
    quarantine, parts = Quarantine(), _parts(MANY_PARTS)
    for step in _crashes(quarantine, 4, lambda _: parts):
        step()
    quarantine.forget_old(12.5)
    yield lambda: quarantine.record_short_answer(parts, 99, 12.5)
    yield lambda: [quarantine.record_answered(part, 12.6) for part in parts]


@case("crash reports of peers", "datagrams of 16 crashes each, at 1,024 subjects")
def crash_reports() -> Iterator[Callable[[], object]]:
    """Crashes on long prompts as peers report them, 16 in a datagram."""
    receiver, parts = Quarantine(), _parts(1020)
    now_s = 10.0
    for server in range(5):
        for first in range(0, len(parts), 16):
            now_s += 0.005
            news = [CrashReport(part, server, 0.01) for part in parts[first : first + 16]]
            report = QuarantineReport(tuple(news))
            yield lambda report=report, now_s=now_s: receiver.apply(  # type: ignore[misc]
                report, now_s
            )
            yield lambda now_s=now_s: receiver.judge_settled(now_s)  # type: ignore[misc]
            yield lambda now_s=now_s: receiver.report(now_s, is_full=True)  # type: ignore[misc]
