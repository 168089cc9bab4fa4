"""Decides whether a part of prompts is the cause of server crashes.

Requests of which no two are alike crash servers in turn. They have a part of their prompts in
common, but often more: the first part of all prompts of a route, for example. Blaming too much
takes sound requests with it, which then can't be answered to clear it. So the narrowest explanation
is chosen: a single request before a part, of several parts the one with fewer crashes, and a part
together with those that always came along, so that only requests with all of them are blamed.
Crashes that parts with a verdict explain don't count against others.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sassafrastally.proxy.fingerprint import Subjects

CRASHES_FOR_VERDICT = 3
"""Crashes after which a request or a part is quarantined. Two are common for requests that run
beside a harmful one and fail over together with it; each further one costs a server and all
requests there."""

CRASHES_DESPITE_RIVALS = 5
"""Crashes after which a part is quarantined although another one may be the cause."""

MAX_EXPLANATIONS = 2
"""Maximum number of verdicts that explain the crashes of a part. If more would be needed, it is
more likely that the part is the cause and the verdicts are wrong."""

MIN_RIVAL_CRASHES = 2
"""Crashes from which another part may be the cause."""

MAX_RIVALS = 1
"""Maximum number of other parts that explain the same crashes as a part that is quarantined early;
with more, most of them must be sound."""

MAX_COMPANIONS = 3
"""Maximum number of other parts that a request must have to be blamed. A quarantine datagram holds
the companions of all verdicts."""

MAX_ALIKE_VERDICTS = 16
"""Maximum number of verdicts on parts against which the same speaks. They refuse the requests that
have all of these parts. One with only some of the others crashes another server at most: then more
speaks against these."""

MAX_CARRIED = 1024
"""Maximum number of parts for which it is known what comes along with them."""


class PartEvidence(NamedTuple):
    """What speaks against a part."""

    servers: frozenset[int]
    """Servers whose crashes count against it."""
    crashes: int
    """Their number, those that happened together counted once."""
    was_answered: bool
    """Whether an answer to a request with it had begun and gone on, before or after them."""
    carried_with: frozenset[int] | None
    """Parts that each request of this entry that crashed a server with it had, too; ``None`` if
    there was no such request."""
    all_servers: frozenset[int]
    """All servers that crashed with it, whether this counts against it or not."""


class PartGroup(NamedTuple):
    """Parts against which the same speaks."""

    evidence: PartEvidence
    parts: set[int]
    open_parts: set[int]
    """Those without a certain verdict."""

    @property
    def is_represented(self) -> bool:
        """Whether enough of its parts have a verdict already."""
        return len(self.parts) - len(self.open_parts) >= MAX_ALIKE_VERDICTS

    @property
    def candidates(self) -> set[int]:
        """Those that may be the cause without being blamed."""
        return set() if self.is_represented else self.open_parts


class EvidenceGroups:
    """What speaks against parts, those alike together.

    A prompt may have hundreds of parts, all of which meet the same crashes. Each is compared with
    groups, not with each other part.

    Parameters
    ----------
    evidence
        What speaks against each part with crashes.
    companions
        Companions of the certain verdicts on some of these parts.
    is_covered_by_request
        Returns whether one and the same request ran on all of some servers.
    """

    def __init__(
        self,
        evidence: Mapping[int, PartEvidence],
        companions: Mapping[int, tuple[int, ...]],
        is_covered_by_request: Callable[[frozenset[int]], bool],
    ) -> None:
        self._evidence = evidence
        self._is_covered = is_covered_by_request
        self._groups: dict[PartEvidence, PartGroup] = {}
        self._companions: dict[int, tuple[int, ...]] = {}
        """Companions of the certain verdicts, by part."""
        self._found: dict[PartEvidence, list[int]] = {}
        for part, one in evidence.items():
            group = self._groups.get(one)
            if group is None:
                group = self._groups[one] = PartGroup(one, set(), set())
            group.parts.add(part)
            group.open_parts.add(part)
        for part, required in companions.items():
            self.set_verdict(part, required)

    def __len__(self) -> int:
        return len(self._evidence)

    def __contains__(self, part: int) -> bool:
        return part in self._evidence

    @property
    def comparisons(self) -> int:
        """Number of groups and verdicts with which a part is compared."""
        return len(self._groups) + len(self._companions)

    def get(self, part: int) -> PartEvidence:
        """Return what speaks against a part."""
        return self._evidence[part]

    def set_verdict(self, part: int, companions: tuple[int, ...] | None) -> None:
        """Set the companions of the certain verdict on a part; ``None`` if there is no verdict."""
        if part not in self._evidence:
            return
        group = self._groups[self._evidence[part]]
        if companions is None:
            self._companions.pop(part, None)
            group.open_parts.add(part)
        else:
            self._companions[part] = companions
            group.open_parts.discard(part)

    def is_cause(self, part: int) -> bool:
        """Return whether a part is the narrowest explanation of its crashes."""
        own = self._evidence[part]
        if own.crashes < CRASHES_FOR_VERDICT or self._is_covered(own.servers):
            return False
        explanations = self._explanations(part, own)
        is_explained = 0 < len(explanations) <= MAX_EXPLANATIONS
        if is_explained and len(own.servers.difference(*explanations)) < CRASHES_FOR_VERDICT:
            return False
        return own.crashes >= CRASHES_DESPITE_RIVALS or not self._has_narrower(own)

    def is_represented(self, part: int) -> bool:
        """Return whether enough parts against which the same speaks have a verdict already.

        It answers for prompts of hundreds of parts: with a verdict on each, entries would write and
        drop as many records as the store takes.
        """
        return self._groups[self._evidence[part]].is_represented

    def has_more_rivals(self, part: int, most: int) -> bool:
        """Return whether more than some number of other parts explain a part's crashes as well.

        On a few servers, each crash breaks off requests with most of the parts that prompts share.
        Blaming all of these parts would take more sound ones than harmful ones. Parts that only
        came along with the part, in the same requests, don't count. Parts that have been answered
        since count only beside a part that had been answered, too.
        """
        own = self._evidence[part]
        excluded = {part, *self.companions_of(part)}
        rivals = 0
        for one, group in self._groups.items():
            common = (one.all_servers if own.was_answered else one.servers) & own.servers
            if len(common) < MIN_RIVAL_CRASHES or part in (one.carried_with or ()):
                continue
            if own.was_answered or one.crashes >= MIN_RIVAL_CRASHES:
                candidates = group.candidates
                rivals += len(candidates) - len(excluded & candidates)
            if rivals > most:
                return True
        return False

    def companions_of(self, part: int) -> tuple[int, ...]:
        """Return the parts that came along with a part in all of its crashes and may be the cause.

        If this entry had no request with the part, only parts with the same crashes are returned.
        """
        own = self._evidence[part]
        if own not in self._found:
            found = (
                key
                for one, parts, _ in self._groups.values()
                if own.was_answered >= one.was_answered
                and (
                    one.servers == own.servers
                    or (own.carried_with is not None and one.servers > own.servers)
                )
                for key in (parts if own.carried_with is None else parts & own.carried_with)
            )
            self._found[own] = heapq.nsmallest(MAX_COMPANIONS + 1, found)
        return tuple([key for key in self._found[own] if key != part][:MAX_COMPANIONS])

    def _explanations(self, part: int, own: PartEvidence) -> list[frozenset[int]]:
        """Return which servers verdicts on other parts explain; no more than make a difference."""
        found = []
        for key, companions in self._companions.items():
            servers = self._evidence[key].servers
            if servers == own.servers or servers.isdisjoint(own.servers):
                continue
            if key != part and part not in companions:
                found.append(servers & own.servers)
                if len(found) > MAX_EXPLANATIONS:
                    break
        return found

    def _has_narrower(self, own: PartEvidence) -> bool:
        return any(
            one.crashes >= MIN_RIVAL_CRASHES
            and one.servers < own.servers
            and one.was_answered <= own.was_answered
            and len(group.candidates) > 0
            and not self._is_covered(one.servers)
            for one, group in self._groups.items()
        )


class CarriedParts:
    """Which parts came along with a part, or with a repeated request, on each crashed server."""

    def __init__(self) -> None:
        self.changes = 0
        """Incremented with each record."""
        self._with: dict[int, frozenset[int]] = {}

    def get(self, subject: int) -> frozenset[int] | None:
        """Return the parts that always came along; ``None`` if there was no such request."""
        return self._with.get(subject)

    def record(self, subjects: Subjects) -> None:
        """Record a request that was on a crashed server, unless no part of it may be the cause.

        Subjects with the same parts share one set, so that time and memory don't grow with the
        square of the number of parts.
        """
        if not subjects.parts:
            return
        self.changes += 1
        present = frozenset(subjects.parts)
        common: dict[int, tuple[frozenset[int], frozenset[int]]] = {}
        """What each known set and the present parts have in common, by the identity of the set."""
        for subject in (subjects.fingerprint, *subjects.parts):
            known = self._with.pop(subject, present)
            if id(known) not in common:
                common[id(known)] = (known, known if known <= present else known & present)
            self._with[subject] = common[id(known)][1]
        for subject in list(itertools.islice(self._with, max(0, len(self._with) - MAX_CARRIED))):
            del self._with[subject]
