"""Prompts of hundreds of parts, none of which can be told from the harmful one."""

from __future__ import annotations

from sassafrastally.proxy.fingerprint import Subjects, part_key
from sassafrastally.proxy.part_causes import MAX_ALIKE_VERDICTS
from sassafrastally.proxy.quarantine import Quarantine

PARTS = tuple(part_key(f"{number:08x}") for number in range(900))

LATER_S = 5.0


def crash(quarantine, subject, server, parts, now_s):
    """Record that a server crashed while it ran a request with some parts."""
    quarantine.record_crashed_run(Subjects(subject, parts), server, now_s)


def settle(quarantine, now_s):
    """Judge in as many steps as it takes."""
    while quarantine.parts.due_s <= now_s:
        quarantine.judge_settled(now_s)


def crashed_three_times():
    """Return a quarantine after three crashes on requests with all parts."""
    quarantine = Quarantine()
    for number in range(3):
        crash(quarantine, number, 100 + number, PARTS, float(number))
    settle(quarantine, LATER_S)
    return quarantine


class TestAlikeParts:
    """Each of 900 parts got a verdict of its own, and a record that each entry wrote."""

    def test_number_of_verdicts_is_bounded(self):
        assert 0 < len(crashed_three_times()) <= MAX_ALIKE_VERDICTS

    def test_requests_with_all_parts_are_refused(self):
        quarantine = crashed_three_times()
        assert quarantine.verdict(7, LATER_S, PARTS) is not None

    def test_part_without_a_verdict_gets_one_after_one_more_crash(self):
        quarantine = crashed_three_times()
        known = {verdict.subject for verdict in quarantine.verdicts(LATER_S)}
        harmful = next(part for part in PARTS if part not in known)
        others = tuple(part_key(f"f{number:07x}") for number in range(5))
        parts = (harmful, *others)
        assert quarantine.verdict(8, LATER_S, parts) is None
        crash(quarantine, 8, 200, parts, LATER_S)
        settle(quarantine, 2 * LATER_S)
        assert quarantine.verdict(9, 2 * LATER_S, (harmful,)) is not None
