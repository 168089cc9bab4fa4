"""Replays of crashes beside which sound parts of prompts were quarantined."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from sassafrastally.proxy.crash_records import RECORDS_EXCHANGED_S
from sassafrastally.proxy.fingerprint import Subjects, part_key
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.part_causes import CRASHES_DESPITE_RIVALS, CRASHES_FOR_VERDICT
from sassafrastally.proxy.quarantine import Quarantine

NEWS_DELAY_S = 0.006
"""Time from a record until the other entries have it."""

STEP_S = 0.002
REPEATED_EACH_S = 2.0
PART_IDS = ("5a0", "5a1", "5a2", "5a3")


class CrashedRun(NamedTuple):
    """A request of an entry was on a server when it crashed."""

    at_s: float
    entry: int
    server: str
    request: str
    part: str
    is_presumed: bool = False


# Requests whose answers had gone on are left out: the crashes don't count against their parts.

HARMFUL_REQUEST_ON_THREE_SERVERS = """
42.030 3 engines-2 harmful 5a0
42.031 1 engines-2 be11b4ea 5a1
42.031 2 engines-2 48e78273 5a1
42.360 3 engines-1 harmful 5a0
42.363 2 engines-1 d858b4cc 5a1
42.367 1 engines-1 62f4b769 5a2
42.698 3 engines-1 38a26110 5a1
42.855 1 engines-4 harmful 5a3
42.855 1 engines-4 62f4b769 5a2
42.856 1 engines-4 d68fe949 5a1
42.856 2 engines-4 48e78273 5a1
42.861 2 engines-4 d858b4cc 5a1
"""

SEVERAL_CAUSES_ON_ALL_SERVERS = """
57.249 3 engines-3 0d6d0597 5a2
57.249 3 engines-3 9820e898 5a2
57.250 3 engines-3 bb0fc61f 5a3
57.586 2 engines-1 821a3181 5a3
57.586 2 engines-1 eeecee9d 5a3
57.624 3 engines-1 9820e898 5a2
57.624 3 engines-1 8340762b 5a2
57.624 3 engines-1 765d8788 5a0
57.624 3 engines-1 7e214236 5a2
57.627 3 engines-1 0d6d0597 5a2
61.355 3 engines-16 d2e4fa5c 5a3
61.356 1 engines-16 1e2c8993 5a0
61.358 1 engines-16 34fbee4a 5a1
61.358 3 engines-16 092c584a 5a2
61.358 2 engines-16 77593d81 5a2
61.358 2 engines-16 63fb0f1c 5a3
62.334 1 engines-13 1e2c8993 5a0
62.335 1 engines-13 a4a8582b 5a0
62.335 3 engines-13 092c584a 5a2
62.338 1 engines-13 34fbee4a 5a1
62.340 2 engines-13 77593d81 5a2
62.340 2 engines-13 92f4896f 5a1
"""

PRESUMED_AND_CERTAIN_CRASHES = """
45.834 2 engines-12 da2af49b 5a2
45.836 1 engines-12 fd8ea0dd 5a3
46.053 1 engines-8 fd8ea0dd 5a3
46.057 2 engines-8 25f94854 5a1
46.057 2 engines-8 60aeba87 5a0
46.057 2 engines-8 0daee027 5a0
46.412 2 engines-4 08d7a58b 5a1 presumed
46.412 2 engines-4 5363827a 5a0 presumed
46.413 2 engines-4 26841264 5a2 presumed
46.413 2 engines-4 b2042aa7 5a2 presumed
46.413 2 engines-4 0b566f17 5a0 presumed
46.583 2 engines-4 59c56bae 5a1 presumed
46.724 1 engines-11 1bfe66e2 5a3
46.728 2 engines-11 b2042aa7 5a2
46.728 2 engines-11 5363827a 5a0
46.729 2 engines-11 0daee027 5a0
46.729 2 engines-11 60aeba87 5a0
46.729 2 engines-11 08d7a58b 5a1
46.729 2 engines-11 2b765155 5a2
46.781 2 engines-4 2b765155 5a2 presumed
46.885 2 engines-4 2ea6b249 5a3 presumed
48.855 2 engines-11 25f94854 5a1
48.855 2 engines-11 59c56bae 5a1
49.007 1 engines-14 dc242a1b 5a2
49.008 3 engines-14 784b6ee4 5a3
49.009 3 engines-14 bf5de071 5a1
49.009 3 engines-14 0467f6ae 5a0
50.703 3 engines-12 bf5de071 5a1
50.704 3 engines-8 64c7e9e9 5a0
50.704 3 engines-8 0467f6ae 5a0
"""


def crashed_runs(text: str) -> list[CrashedRun]:
    """Return the rows of a table of crashed runs."""
    rows = (line.split() for line in text.split("\n") if line)
    return [
        CrashedRun(float(row[0]), int(row[1]), row[2], row[3], row[4], "presumed" in row)
        for row in rows
    ]


class Replay:
    """Three entries without knowledge, which exchange their records after a delay."""

    def __init__(self, runs: list[CrashedRun]) -> None:
        self.runs = runs
        self.entries = {number: Quarantine() for number in (1, 2, 3)}
        self.blamed: set[tuple[float, str]] = set()
        """Times at which parts were quarantined, and their ids."""

    def play(self, until_s: float) -> None:
        """Replay the crashes up to a time."""
        due = sorted(self.runs)
        now_s = due[0].at_s
        while now_s < until_s:
            while due and due[0].at_s <= now_s:
                self._record(due.pop(0))
            self._exchange(now_s)
            self._look(now_s)
            now_s += STEP_S

    def _record(self, run: CrashedRun) -> None:
        subjects = Subjects(server_hash(run.request) >> 1, (part_key(run.part),))
        self.entries[run.entry].record_crashed_run(
            subjects, server_hash(run.server), run.at_s, is_presumed=run.is_presumed
        )
        self._look(run.at_s)

    def _exchange(self, now_s: float) -> None:
        is_full = now_s % REPEATED_EACH_S < STEP_S
        reports = {
            number: one.report(now_s - NEWS_DELAY_S, is_full=is_full)
            for number, one in self.entries.items()
        }
        for sender, report in reports.items():
            for receiver, one in self.entries.items():
                if receiver != sender:
                    one.apply(report, now_s)

    def _look(self, now_s: float) -> None:
        for part in PART_IDS:
            if any(one.verdict_on(part_key(part), now_s) for one in self.entries.values()):
                self.blamed.add((now_s, part))


class TestPartsOfAllPrompts:
    """Parts that all prompts share, when the entries have just started and servers crash."""

    @pytest.mark.parametrize(
        "table",
        [
            HARMFUL_REQUEST_ON_THREE_SERVERS,
            SEVERAL_CAUSES_ON_ALL_SERVERS,
            PRESUMED_AND_CERTAIN_CRASHES,
        ],
        ids=["harmful-request", "several-causes", "presumed"],
    )
    def test_sound_parts_are_not_blamed(self, table):
        """Guards against quarantining a part that was on the crashed servers as others were."""
        runs = crashed_runs(table)
        replay = Replay(runs)
        replay.play(max(run.at_s for run in runs) + 1.0)
        assert not replay.blamed, sorted(replay.blamed)[0]


class TestCandidates:
    """Parts with the same crashes, of which one at most is the cause."""

    SOUND = tuple(part_key(part_id) for part_id in PART_IDS)

    def crash(self, quarantine: Quarantine, number: int, now_s: float, *parts: int) -> None:
        """Let a server crash on which a request with each of some parts ran."""
        for position, part in enumerate(parts):
            subjects = Subjects(100 * number + position, (part,))
            quarantine.record_crashed_run(subjects, number, now_s)

    def is_refused(self, quarantine: Quarantine, now_s: float, part: int) -> bool:
        """Return whether a new request with a part is refused."""
        return quarantine.verdict(99_999, now_s, (part,)) is not None

    def test_harmful_part_beside_as_many_others_is_refused_after_five_crashes(self):
        """Guards against a harmful part that crashes servers without end as others ran beside."""
        quarantine, harmful = Quarantine(), part_key("bad")
        for number in range(CRASHES_DESPITE_RIVALS):
            assert not self.is_refused(quarantine, 10.2 + number, harmful)
            self.crash(quarantine, number, 10.3 + number, harmful, *self.SOUND[:3])
        assert self.is_refused(quarantine, 14.4, harmful)

    def test_harmful_part_is_refused_after_three_crashes_if_the_others_are_answered(self):
        """Guards against losing two more servers where it is known which parts are sound."""
        quarantine, harmful = Quarantine(), part_key("bad")
        for number in range(CRASHES_FOR_VERDICT):
            for part in self.SOUND:
                quarantine.record_answered(part, 10.0 + number)
            self.crash(quarantine, number, 10.3 + number, harmful, *self.SOUND)
        assert self.is_refused(quarantine, 12.4, harmful)
        assert not any(self.is_refused(quarantine, 12.4, part) for part in self.SOUND)

    @pytest.mark.parametrize(("started_s", "is_refused"), [(9.0, False), (-60.0, True)])
    def test_entry_that_has_just_started_blames_neither_of_two_parts(self, started_s, is_refused):
        """Guards against blaming a sound part that was answered before all entries started."""
        quarantine, parts = Quarantine(), self.SOUND[:2]
        quarantine.parts.started_s = started_s
        for number in range(CRASHES_FOR_VERDICT):
            self.crash(quarantine, number, 10.0 + number, *parts)
        assert [self.is_refused(quarantine, 12.1, part) for part in parts] == 2 * [is_refused]

    def test_part_that_was_answered_before_is_refused_after_five_crashes_beside_others(self):
        """Guards against blaming a known part that by chance wasn't answered between three crashes,
        as the others were, and against a known part that turns harmful and is never refused."""
        quarantine = Quarantine()
        part, *others = self.SOUND
        quarantine.record_answered(part, 9.0)
        for number in range(CRASHES_DESPITE_RIVALS):
            assert not self.is_refused(quarantine, 10.0 + number, part)
            for other in others:
                quarantine.record_answered(other, 10.0 + number)
            self.crash(quarantine, number, 10.1 + number, *self.SOUND)
        assert self.is_refused(quarantine, 14.2, part)
        assert not any(self.is_refused(quarantine, 14.2, other) for other in others)

    @pytest.mark.parametrize("always_had_it", [True, False])
    def test_crashes_of_a_quarantined_request_count_against_parts_that_it_always_had(
        self, always_had_it
    ):
        """Guards against blaming a part that ran beside a harmful request, and against clearing the
        part for which a request is harmful."""
        quarantine, part = Quarantine(), part_key("5a0")
        body = Subjects(7, (part,) if always_had_it else (part_key("5a1"),))
        for number in range(CRASHES_FOR_VERDICT):
            quarantine.record_crashed_run(body, number, 10.0 + number)
            if number < 2:
                self.crash(quarantine, number, 10.0 + number, part)
        self.crash(quarantine, 3, 14.0, part)
        assert self.is_refused(quarantine, 14.1, part) is always_had_it

    def test_explained_crashes_do_not_hasten_the_judgement(self):
        """Guards against blaming a part before the other entries have told about its third crash,
        because it had run beside a harmful request earlier."""
        quarantine, part = Quarantine(), self.SOUND[0]
        body = Subjects(7, self.SOUND[1:2])
        for number in range(CRASHES_FOR_VERDICT):
            quarantine.record_crashed_run(body, number, 10.0 + number)
            self.crash(quarantine, number, 10.0 + number, part)
        for number in range(3, 6):
            self.crash(quarantine, number, 10.0 + number, part)
        assert not self.is_refused(quarantine, 15.0, part)
        assert self.is_refused(quarantine, 15.0 + RECORDS_EXCHANGED_S, part)

    def test_request_waits_until_its_part_is_judged(self):
        """Guards against a server lost to a request that is sent on before its part is judged."""
        quarantine, part = Quarantine(), part_key("bad")
        for number in range(CRASHES_FOR_VERDICT):
            self.crash(quarantine, number, 10.0 + number, part)
        due_s = quarantine.parts.last_due_s((part,), 12.0)
        assert due_s == pytest.approx(12.0 + RECORDS_EXCHANGED_S)
        assert self.is_refused(quarantine, due_s, part)
        assert [late.verdict.subject for late in quarantine.judge_settled(due_s)] == [part]
        assert quarantine.parts.last_due_s((part,), due_s) == due_s
