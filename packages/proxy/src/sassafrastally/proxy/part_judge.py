"""Judges from the crash records whether a part of prompts is quarantined."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.crash_records import RECORDS_EXCHANGED_S
from sassafrastally.proxy.fingerprint import is_part
from sassafrastally.proxy.part_causes import (
    CRASHES_DESPITE_RIVALS,
    CRASHES_FOR_VERDICT,
    MAX_RIVALS,
    MIN_RIVAL_CRASHES,
    EvidenceGroups,
    PartEvidence,
)
from sassafrastally.proxy.verdicts import NEVER_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from sassafrastally.proxy.crash_records import CrashRecords
    from sassafrastally.proxy.part_causes import CarriedParts
    from sassafrastally.proxy.verdicts import Verdicts

ANSWERS_SEEN_AFTER_S = 10.0
"""Time after its start from which an entry has seen answers to requests with the parts that are
commonly used, also if servers crash meanwhile."""

MAX_STEP_WORK = 256
"""Evidence collected in one step of the event loop, which takes some milliseconds; a step that has
done more ends."""

COMPARISONS_FOR_WORK = 32
"""Comparisons of a part with groups of others that take as long as its evidence."""

MAX_JUDGED_AT_ONCE = 128
"""Number of parts with several crashes up to which all of them are judged at once."""

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
        self._work = 0
        """Evidence collected in this step."""
        self._groups: dict[tuple[bool, tuple[int, ...]], EvidenceGroups] = {}
        """Evidence, by whether it is on certain crashes only and which requests may explain it."""
        self._requests: dict[frozenset[int], list[int]] = {}
        """Quarantined requests by crashed servers."""
        self._state = (-1, -1, -NEVER_S)
        """What both were collected from."""
        self._beside: tuple[int, frozenset[int], list[int]] = (-1, frozenset(), [])
        """Parts that ran on some crashed servers."""
        verdicts.on_change = self._apply_change

    @property
    def due_s(self) -> float:
        """When the next part is to be judged; infinity if there is none."""
        return min(self._due_s.values()) if self._due_s else NEVER_S

    def last_due_s(self, parts: Collection[int], now_s: float) -> float:
        """Return when the last of some parts is judged; the present time if none is to be."""
        return max((self._due_s.get(part, now_s) for part in parts), default=now_s)

    def judge_later(self, part: int, now_s: float) -> None:
        """Judge a part in one of the next steps."""
        self._due_s[part] = min(now_s, self._due_s.get(part, NEVER_S))

    def may_judge_at_once(self) -> bool:
        """Return whether all parts are judged within one step."""
        return len(self._cases.parts_with(MIN_RIVAL_CRASHES)) <= MAX_JUDGED_AT_ONCE

    def pop_due(self, now_s: float) -> Iterator[tuple[float, int]]:
        """Yield the parts that are to be judged now, and since when, as many as fit in a step."""
        due = sorted((due_s, part) for part, due_s in self._due_s.items() if due_s <= now_s)
        self._work = 0
        for due_s, part in due:
            if self._work >= MAX_STEP_WORK:
                return
            del self._due_s[part]
            yield due_s, part

    def find(self, part: int, now_s: float) -> PartFinding | None:
        """Return a finding if a part is the cause of its crashes.

        Only a finding from certain crashes is returned for a part with a presumed verdict. While
        other entries may not have told all about the crashes, the part is to be judged later.
        """
        servers = self._cases.servers(part)
        if len(servers) < CRASHES_FOR_VERDICT:
            return None
        self._refresh(now_s)
        requests = self._requests_on(frozenset(servers))
        is_certain_only = part in self._verdicts or not self._cases.has_presumed()
        for is_presumed in (False,) if is_certain_only else (False, True):
            if not self._has_settled(part, requests, now_s, is_certain=not is_presumed):
                continue
            groups = self._group(requests, now_s, is_certain=not is_presumed)
            if groups.is_represented(part) or not groups.is_cause(part):
                continue
            own = groups.get(part)
            crashes = len(own.servers) if own.was_answered else own.crashes
            is_enough = not is_presumed and crashes >= CRASHES_DESPITE_RIVALS
            most_rivals = 0 if self._is_new_here(part, now_s) else MAX_RIVALS
            if is_enough or not groups.has_more_rivals(part, most_rivals):
                return PartFinding(own.crashes, is_presumed, groups.companions_of(part))
        return None

    def basis(self, part: int, now_s: float) -> PartBasis:
        """Return what is known about the crashes of a part."""
        servers = frozenset(self._cases.servers(part))
        if self._beside[:2] != (self._cases.crash_changes, servers):
            found = sorted(self._cases.parts_on(servers, MIN_RIVAL_CRASHES))
            self._beside = (self._cases.crash_changes, servers, found)
        beside = (one for one in self._beside[2] if one != part and one not in self._verdicts)
        return PartBasis(
            tuple(itertools.islice(beside, MAX_BESIDE)),
            self._cases.latest_record_age_s(part, now_s),
        )

    def drop_companions(self, now_s: float) -> None:
        """Drop companions without which a server crashed, unless other parts explain the crash."""
        for verdict in list(self._verdicts):
            part = verdict.subject
            if not verdict.companions or self._verdicts.is_explained_by_parts(part):
                continue
            if self._cases.settled_servers(part, now_s) != self._cases.servers(part):
                continue
            self._refresh(now_s)
            requests = self._requests_on(frozenset(self._cases.servers(part)))
            evidence = {
                one: self._evidence(one, requests, now_s, is_certain=True)
                for one in (part, *verdict.companions)
            }
            groups = EvidenceGroups(evidence, {}, self._cases.is_covered_by_request)
            self._verdicts.keep_companions(part, groups.companions_of(part), now_s)

    def _apply_change(self, subject: int) -> None:
        """Apply the change of a verdict to the evidence."""
        if not is_part(subject):
            self._state = (-1, -1, -NEVER_S)
            return
        verdict = self._verdicts.certain(subject)
        for groups in self._groups.values():
            groups.set_verdict(subject, None if verdict is None else verdict.companions)

    def _refresh(self, now_s: float) -> None:
        """Drop the evidence if it isn't of the present time and records."""
        state = (self._cases.changes, self._carried.changes, now_s)
        if state != self._state:
            self._state = state
            self._groups, self._requests = {}, {}

    def _group(self, requests: list[int], now_s: float, *, is_certain: bool) -> EvidenceGroups:
        """Return the evidence on all parts with several crashes."""
        key = (is_certain, tuple(requests))
        if key not in self._groups:
            parts = self._cases.parts_with(MIN_RIVAL_CRASHES)
            evidence = {
                one: self._evidence(one, requests, now_s, is_certain=is_certain) for one in parts
            }
            companions = {
                one: verdict.companions
                for one in parts
                if (verdict := self._verdicts.certain(one)) is not None
            }
            self._work += len(parts) * (1 + len(requests) // COMPARISONS_FOR_WORK)
            self._groups[key] = EvidenceGroups(
                evidence, companions, self._cases.is_covered_by_request
            )
        self._work += 1 + self._groups[key].comparisons // COMPARISONS_FOR_WORK
        return self._groups[key]

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

    def _requests_on(self, servers: frozenset[int]) -> list[int]:
        """Return the quarantined requests that ran on any of some crashed servers."""
        if servers not in self._requests:
            self._requests[servers] = [
                verdict.subject
                for verdict in self._verdicts
                if not is_part(verdict.subject)
                and not verdict.is_presumed
                and any(self._cases.has_crashed(server, verdict.subject) for server in servers)
            ]
        return self._requests[servers]

    def _explained(self, part: int, requests: list[int], now_s: float) -> set[int]:
        """Return the servers crashed by those of some requests that are harmful without a part."""
        if not requests:
            return set()
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
        self, part: int, requests: list[int], now_s: float, *, is_certain: bool
    ) -> PartEvidence:
        """Return what speaks against a part; some quarantined requests may explain crashes."""
        is_explained = self._explained(part, requests, now_s).__contains__
        counted = self._cases.counted(part, now_s, is_explained, is_certain=is_certain)
        servers = frozenset(counted)
        is_each_counted = len(counted) == self._cases.server_count(part)
        return PartEvidence(
            servers,
            self._cases.count_times(part, counted.values()),
            self._cases.answered.was_answered(part),
            self._carried.get(part),
            servers if is_each_counted else frozenset(self._cases.servers(part)),
        )
