"""Decides whether a part of prompts is the cause of server crashes.

Requests of which no two are alike crash servers in turn. They have a part of their prompts in
common, but often more: the first part of all prompts of a route, for example. Blaming too much
takes sound requests with it, which then can't be answered to clear it. So the narrowest explanation
is chosen: a single request before a part, of several parts the one with fewer crashes, and a part
together with those that always came along, so that only requests with all of them are blamed.
Crashes that parts with a verdict explain don't count against others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sassafrastally.proxy.fingerprint import Subjects
    from sassafrastally.proxy.verdicts import Verdict

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
    verdict: Verdict | None
    """Verdict on it, if there is one that was reached from certain crashes."""
    carried_with: frozenset[int] | None
    """Parts that each request of this entry that crashed a server with it had, too; ``None`` if
    there was no such request."""
    all_servers: frozenset[int]
    """All servers that crashed with it, whether this counts against it or not."""


def is_cause(
    part: int,
    evidence: Mapping[int, PartEvidence],
    is_covered_by_request: Callable[[frozenset[int]], bool],
) -> bool:
    """Return whether a part is the narrowest explanation of its crashes.

    Parameters
    ----------
    part
        The part.
    evidence
        What speaks against each part with crashes.
    is_covered_by_request
        Returns whether one and the same request ran on all of some servers.
    """
    own = evidence[part]
    if own.crashes < CRASHES_FOR_VERDICT or is_covered_by_request(own.servers):
        return False
    others = [one for key, one in evidence.items() if key != part]
    explanations = [
        one.servers & own.servers
        for one in others
        if one.verdict is not None
        and part not in one.verdict.companions
        and one.servers != own.servers
        and not one.servers.isdisjoint(own.servers)
    ]
    is_explained = 0 < len(explanations) <= MAX_EXPLANATIONS
    if is_explained and len(own.servers.difference(*explanations)) < CRASHES_FOR_VERDICT:
        return False
    has_narrower = any(
        one.verdict is None
        and one.crashes >= MIN_RIVAL_CRASHES
        and one.servers < own.servers
        and one.was_answered <= own.was_answered
        and not is_covered_by_request(one.servers)
        for one in others
    )
    return not has_narrower or own.crashes >= CRASHES_DESPITE_RIVALS


def count_rivals(part: int, evidence: Mapping[int, PartEvidence]) -> int:
    """Return how many other parts explain the crashes of a part as well.

    On a few servers, each crash breaks off requests with most of the parts that prompts share.
    Blaming all of these parts would take more sound ones than harmful ones. Parts that only came
    along with the part, in the same requests, don't count. Parts that have been answered since
    count only beside a part that had been answered, too.

    Parameters
    ----------
    part
        The part.
    evidence
        What speaks against each part with crashes.
    """
    own, companions = evidence[part], companions_of(part, evidence)
    return sum(
        key != part
        and key not in companions
        and one.verdict is None
        and (own.was_answered or one.crashes >= MIN_RIVAL_CRASHES)
        and len((one.all_servers if own.was_answered else one.servers) & own.servers)
        >= MIN_RIVAL_CRASHES
        and part not in (one.carried_with or ())
        for key, one in evidence.items()
    )


def companions_of(part: int, evidence: Mapping[int, PartEvidence]) -> tuple[int, ...]:
    """Return the parts that came along with a part in all of its crashes and may be the cause.

    Parameters
    ----------
    part
        The part.
    evidence
        What speaks against each part with crashes. If this entry had no request with the part,
        only parts with the same crashes are returned.
    """
    own = evidence[part]
    carried_with = own.carried_with
    found = (
        key
        for key, one in evidence.items()
        if key != part
        and own.was_answered >= one.was_answered
        and (one.servers == own.servers or (carried_with is not None and one.servers > own.servers))
        and (carried_with is None or key in carried_with)
    )
    return tuple(sorted(found)[:MAX_COMPANIONS])


class CarriedParts:
    """Which parts came along with a part, or with a repeated request, on each crashed server."""

    def __init__(self) -> None:
        self._with: dict[int, frozenset[int]] = {}

    def get(self, subject: int) -> frozenset[int] | None:
        """Return the parts that always came along; ``None`` if there was no such request."""
        return self._with.get(subject)

    def record(self, subjects: Subjects) -> None:
        """Record a request that was on a crashed server, unless no part of it may be the cause."""
        if not subjects.parts:
            return
        present = frozenset(subjects.parts)
        for subject in (subjects.fingerprint, *subjects.parts):
            known = self._with.pop(subject, present)
            self._with[subject] = known & present
        while len(self._with) > MAX_CARRIED:
            del self._with[next(iter(self._with))]
