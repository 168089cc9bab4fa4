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
    from collections.abc import Callable, Collection, Mapping

    from sassafrastally.proxy.verdicts import Verdict

CRASHES_FOR_VERDICT = 3
"""Crashes after which a request or a part is quarantined. Two are common for requests that run
beside a harmful one and fail over together with it; each further one costs a server and all
requests there."""

CRASHES_FOR_WIDE_VERDICT = 5
"""Crashes after which a part is quarantined although a narrower one may be the cause."""

MAX_EXPLANATIONS = 2
"""Maximum number of verdicts that explain the crashes of a part. If more would be needed, it is
more likely that the part is the cause and the verdicts are wrong."""

MIN_NARROWER_CRASHES = 2
"""Crashes of several requests from which a narrower part may be the cause."""

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
    has_rival = any(
        one.verdict is None
        and one.crashes >= MIN_NARROWER_CRASHES
        and one.servers < own.servers
        and one.was_answered <= own.was_answered
        and not is_covered_by_request(one.servers)
        for one in others
    )
    return not has_rival or own.crashes >= CRASHES_FOR_WIDE_VERDICT


def companions_of(
    part: int, evidence: Mapping[int, PartEvidence], carried_with: Collection[int] | None
) -> tuple[int, ...]:
    """Return the parts that came along with a part in all of its crashes and may be the cause.

    Parameters
    ----------
    part
        The part.
    evidence
        What speaks against each part with crashes.
    carried_with
        Parts that each request of this entry that crashed a server with the part had, too; ``None``
        if there was no such request. Then only parts with the same crashes are returned.
    """
    own = evidence[part]
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
    """Which parts came along with a part in each request that was on a crashed server."""

    def __init__(self) -> None:
        self._with: dict[int, frozenset[int]] = {}

    def get(self, part: int) -> frozenset[int] | None:
        """Return the parts that always came along; ``None`` if there was no such request."""
        return self._with.get(part)

    def record(self, parts: tuple[int, ...]) -> None:
        """Record the parts of a request that was on a crashed server."""
        present = frozenset(parts)
        for part in parts:
            known = self._with.pop(part, present)
            self._with[part] = known & present
        while len(self._with) > MAX_CARRIED:
            del self._with[next(iter(self._with))]
