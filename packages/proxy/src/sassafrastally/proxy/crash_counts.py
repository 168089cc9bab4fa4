"""Crashes that count against requests and parts, apart from those that verdicts explain.

Called for each attempt, with prompts of hundreds of parts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.part_causes import CRASHES_FOR_VERDICT

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.crash_records import CrashRecords
    from sassafrastally.proxy.verdicts import Verdicts


class CrashCounts:
    """Crash counts of subjects.

    Parameters
    ----------
    cases
        Crashes and answers.
    verdicts
        Verdicts, which may explain crashes.
    """

    def __init__(self, cases: CrashRecords, verdicts: Verdicts) -> None:
        self._cases = cases
        self._verdicts = verdicts

    def count(self, subject: int, now_s: float, *, is_certain: bool) -> int:
        """Return how many crashes count against a subject.

        Parameters
        ----------
        subject
            The request or the part.
        now_s
            Present time.
        is_certain
            Whether to count only certain crashes.
        """
        if subject not in self._cases:
            return 0
        return self._cases.count(
            subject,
            now_s,
            lambda server: self._verdicts.explain(server, subject, now_s),
            is_certain=is_certain,
        )

    def most(self, subject: int, now_s: float, parts: Collection[int] = ()) -> int:
        """Return how many crashes count against a request or a part of its prompt.

        Parts that have been answered before don't count: most requests on a crashed server share
        them.
        """
        if not len(self._cases):
            return 0
        suspects = [part for part in parts if not self._cases.answered.was_answered(part)]
        return max(self.count(one, now_s, is_certain=False) for one in (subject, *suspects))

    def most_beside(
        self, subject: int, now_s: float, parts: Collection[int] = ()
    ) -> dict[int, int]:
        """Return crash counts of a request and of those that ran on the same crashed servers."""
        counts = {one: self.most(one, now_s) for one in (subject, *parts)}
        beside: dict[int, None] = {}
        seen: set[frozenset[int]] = set()
        for one, count in counts.items():
            servers = frozenset(self._cases.servers(one)) if count or one == subject else None
            if servers and servers not in seen:
                seen.add(servers)
                beside.update(dict.fromkeys(self._cases.requests_beside(one)))
        crashes = {
            other: self.most(other, now_s)
            for other in beside
            if other != subject and other not in self._verdicts
        }
        suspects = {other: count for other, count in crashes.items() if count}
        was_answered = self._cases.answered.was_answered
        own = max(counts[one] for one in counts if one == subject or not was_answered(one))
        return {subject: own, **suspects}

    def is_refuted(self, subject: int, crashes: int, now_s: float) -> bool:
        """Return whether the crashes of a verdict are known here and too few to justify it.

        An entry that has no answer to the request counts each crashed server of a rack. An entry
        that has one counts them once.
        """
        if not self._cases.answered.was_answered(subject):
            return False
        is_all_known = self._cases.server_count(subject) >= crashes
        return is_all_known and self.most(subject, now_s) < CRASHES_FOR_VERDICT
