"""Judges from the crash records whether a part of prompts is quarantined."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.crash_records import RECORDS_EXCHANGED_S
from sassafrastally.proxy.fingerprint import is_part
from sassafrastally.proxy.part_causes import (
    CRASHES_DESPITE_RIVALS,
    CRASHES_FOR_VERDICT,
    MAX_RIVALS,
    MIN_RIVAL_CRASHES,
    PartEvidence,
    companions_of,
    count_rivals,
    is_cause,
)
from sassafrastally.proxy.verdicts import NEVER_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.crash_records import CrashRecords
    from sassafrastally.proxy.part_causes import CarriedParts
    from sassafrastally.proxy.verdicts import Verdicts

ANSWERS_SEEN_AFTER_S = 10.0
"""Time after its start from which an entry has seen answers to requests with the parts that are
commonly used, also if servers crash meanwhile."""

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
        self.started_s = -NEVER_S
        """When this entry started; by default, it has run for long."""
        self._due_s: dict[int, float] = {}
        """When to judge parts of whose crashes other entries may not have told all yet."""

    @property
    def due_s(self) -> float:
        """When the next part is to be judged; infinity if there is none."""
        return min(self._due_s.values()) if self._due_s else NEVER_S

    def last_due_s(self, parts: Collection[int], now_s: float) -> float:
        """Return when the last of some parts is judged; the present time if none is to be."""
        return max((self._due_s.get(part, now_s) for part in parts), default=now_s)

    def pop_due(self, now_s: float) -> list[tuple[float, int]]:
        """Return the parts that are to be judged now, and since when."""
        due = sorted((due_s, part) for part, due_s in self._due_s.items() if due_s <= now_s)
        for _, part in due:
            del self._due_s[part]
        return due

    def find(self, part: int, now_s: float) -> PartFinding | None:
        """Return a finding if a part is the cause of its crashes.

        Only a finding from certain crashes is returned for a part with a presumed verdict. While
        other entries may not have told all about the crashes, the part is to be judged later.
        """
        servers = self._cases.servers(part)
        if len(servers) < CRASHES_FOR_VERDICT:
            return None
        requests = self._requests_on(servers)
        beside: list[int] | None = None
        for is_presumed in (False,) if part in self._verdicts else (False, True):
            if not self._has_settled(part, requests, now_s, is_certain=not is_presumed):
                continue
            beside = beside or self._cases.parts_on(servers, MIN_RIVAL_CRASHES)
            evidence = self._evidence(beside, requests, now_s, is_certain=not is_presumed)
            if not is_cause(part, evidence, self._cases.is_covered_by_request):
                continue
            own = evidence[part]
            crashes = len(own.servers) if own.was_answered else own.crashes
            is_enough = not is_presumed and crashes >= CRASHES_DESPITE_RIVALS
            most_rivals = 0 if self._is_new_here(part, now_s) else MAX_RIVALS
            if is_enough or count_rivals(part, evidence) <= most_rivals:
                return PartFinding(own.crashes, is_presumed, companions_of(part, evidence))
        return None

    def basis(self, part: int, now_s: float) -> PartBasis:
        """Return what is known about the crashes of a part."""
        servers = self._cases.servers(part)
        beside = [
            one
            for one in self._cases.parts_on(servers, MIN_RIVAL_CRASHES)
            if one != part
            and one not in self._verdicts
            and len(self._cases.servers(one) & servers) >= MIN_RIVAL_CRASHES
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
            requests = self._requests_on(self._cases.servers(part))
            evidence = self._evidence([part, *verdict.companions], requests, now_s, is_certain=True)
            kept = companions_of(part, evidence)
            self._verdicts.keep_companions(part, kept, now_s)

    def _is_new_here(self, part: int, now_s: float) -> bool:
        """Return whether a part may be known to be sound but for this entry's start."""
        is_new = now_s - self.started_s < ANSWERS_SEEN_AFTER_S
        return is_new and not self._cases.answered.was_answered(part)

    def _has_settled(
        self, part: int, requests: list[int], now_s: float, *, is_certain: bool
    ) -> bool:
        """Return whether records of enough crashes have settled; if not, judge the part later."""
        is_explained = self._explained(part, requests, now_s).__contains__
        due_s = RECORDS_EXCHANGED_S + self._cases.learned_s(
            part, now_s, CRASHES_FOR_VERDICT, is_explained, is_certain=is_certain
        )
        if now_s < due_s < NEVER_S:
            self._due_s[part] = due_s
        return now_s >= due_s

    def _requests_on(self, servers: set[int]) -> list[int]:
        """Return the quarantined requests that ran on any of some crashed servers."""
        return [
            verdict.subject
            for verdict in self._verdicts
            if not is_part(verdict.subject)
            and not verdict.is_presumed
            and any(self._cases.has_crashed(server, verdict.subject) for server in servers)
        ]

    def _explained(self, part: int, requests: list[int], now_s: float) -> set[int]:
        """Return the servers crashed by those of some requests that are harmful without a part."""
        return {
            server
            for request in requests
            if self._is_independent(request, part, now_s)
            for server in self._cases.servers(request)
        }

    def _is_independent(self, request: int, part: int, now_s: float) -> bool:
        """Return whether a request has crashed a server without a part."""
        carried_with = self._carried.get(request)
        if carried_with is not None and part not in carried_with:
            return True
        settled = self._cases.settled_servers(request, now_s)
        return not settled <= self._cases.servers(part)

    def _evidence(
        self, parts: Collection[int], requests: list[int], now_s: float, *, is_certain: bool
    ) -> dict[int, PartEvidence]:
        """Return what speaks against parts; some quarantined requests may explain crashes."""
        evidence = {}
        for one in parts:
            is_explained = self._explained(one, requests, now_s).__contains__
            evidence[one] = PartEvidence(
                frozenset(self._cases.counted(one, now_s, is_explained, is_certain=is_certain)),
                self._cases.count(one, now_s, is_explained, is_certain=is_certain),
                self._cases.answered.was_answered(one),
                self._verdicts.certain(one),
                self._carried.get(one),
                frozenset(self._cases.servers(one)),
            )
        return evidence
