"""Judges from the crash records whether a part of prompts is quarantined."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.part_causes import (
    CRASHES_FOR_VERDICT,
    MIN_NARROWER_CRASHES,
    PartEvidence,
    companions_of,
    is_cause,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.crash_records import CrashRecords
    from sassafrastally.proxy.part_causes import CarriedParts
    from sassafrastally.proxy.verdicts import Verdicts

MAX_BESIDE = 8
"""Maximum number of parts that a log line names."""


class PartFinding(NamedTuple):
    """A part is the cause of crashes."""

    crashes: int
    """Number of crashes that count against it."""
    is_presumed: bool
    """Whether some of these aren't certain yet."""
    companions: tuple[int, ...]
    """Keys of further parts that a request must have."""


class PartBasis(NamedTuple):
    """What is known about the crashes of a part, for the log."""

    beside: tuple[int, ...]
    """Other parts, without a verdict, with which at least two of the servers crashed."""
    latest_record_age_s: float
    """Time since this entry learned of the last crash; 0 if it knows of none."""


class PartJudge:
    """Judges parts.

    Parameters
    ----------
    cases
        Crashes and answers.
    carried
        Parts that came along with a part in requests of this entry.
    verdicts
        Verdicts in force.
    """

    def __init__(self, cases: CrashRecords, carried: CarriedParts, verdicts: Verdicts) -> None:
        self._cases = cases
        self._carried = carried
        self._verdicts = verdicts

    def find(self, part: int, now_s: float) -> PartFinding | None:
        """Return a finding if a part is the cause of its crashes.

        Only a finding from certain crashes is returned for a part with a presumed verdict.
        """
        if len(self._cases.servers(part)) < CRASHES_FOR_VERDICT:
            return None
        beside = self._cases.parts_on(self._cases.servers(part), MIN_NARROWER_CRASHES)
        for is_presumed in (False,) if part in self._verdicts else (False, True):
            evidence = self._evidence(beside, now_s, is_certain=not is_presumed)
            if is_cause(part, evidence, self._cases.is_covered_by_request):
                companions = companions_of(part, evidence, self._carried.get(part))
                return PartFinding(evidence[part].crashes, is_presumed, companions)
        return None

    def basis(self, part: int, now_s: float) -> PartBasis:
        """Return what is known about the crashes of a part."""
        servers = self._cases.servers(part)
        beside = [
            one
            for one in self._cases.parts_on(servers, MIN_NARROWER_CRASHES)
            if one != part
            and one not in self._verdicts
            and len(self._cases.servers(one) & servers) >= MIN_NARROWER_CRASHES
        ]
        return PartBasis(
            tuple(sorted(beside)[:MAX_BESIDE]), self._cases.latest_record_age_s(part, now_s)
        )

    def drop_companions(self, now_s: float) -> None:
        """Drop companions without which a server crashed, unless other parts explain the crash."""
        for verdict in list(self._verdicts):
            part = verdict.subject
            if not verdict.companions or self._verdicts.is_explained_by_parts(part):
                continue
            if self._cases.settled_servers(part, now_s) != self._cases.servers(part):
                continue
            evidence = self._evidence([part, *verdict.companions], now_s, is_certain=True)
            kept = companions_of(part, evidence, self._carried.get(part))
            self._verdicts.keep_companions(part, kept, now_s)

    def _evidence(
        self, parts: Collection[int], now_s: float, *, is_certain: bool
    ) -> dict[int, PartEvidence]:
        """Return what speaks against parts."""
        return {
            one: PartEvidence(
                frozenset(self._cases.counted(one, now_s, is_certain=is_certain)),
                self._cases.count(one, now_s, is_certain=is_certain),
                self._cases.answered.was_answered(one),
                self._verdicts.certain(one),
            )
            for one in parts
        }
