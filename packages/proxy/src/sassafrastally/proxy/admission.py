"""Admission control: which requests are rejected at once because the engines are overloaded.

Guards against loads of two to three times the capacity of the engines for ten seconds and longer.
Engines that accept all of such a load finish nearly every request late. With admission control
they finish the accepted requests in time, and rejected callers can retry. A request is rejected
only if other work makes it late: if the engines are slow, or a prompt would be late even on idle
engines, it is still served.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import Lane

if TYPE_CHECKING:
    from sassafrastally.proxy.plan import Placement

MAX_SHORT_WAIT_SHARE = 0.5
"""Largest share of its goal that a short prompt predicted to be late may wait for other work."""

ALWAYS_ACCEPTED_BACKLOG_SHARE = 0.1
"""Prefill backlog below which every long prompt is accepted, per engine of the long lane and as a
share of the longest goal."""

MAX_BACKLOG_SHARE = 0.4
"""Prefill backlog above which no long prompt is accepted, as a share of the longest goal. Engines
prefill the newest part first, so a prompt accepted beyond this limit delays others, not itself."""

MAX_BACKLOG_SHARE_WITH_QUEUE = 0.25
"""The same for prompts with the longest goal that wait at the entry if they are refused: three
quarters of the goal are left for the wait and their own prefill. What waits at the entry delays no
more urgent request, and prompts with shorter goals find the room that it leaves."""

OWN_PREFILL_WEIGHT = 3.0
"""Weight of a long prompt's own prefill time relative to the backlog. The larger a prompt, the more
other requests it makes late in order to be in time itself."""


class Goals(NamedTuple):
    """Goals for the time to the first event."""

    own_s: float
    """Goal of the request's route."""
    longest_s: float
    """Longest goal of all routes to the same engines."""


def backlog_bound(goals: Goals, *, has_queue: bool) -> float:
    """Return the bound of the prefill backlog for a request, as a share of the longest goal.

    Parameters
    ----------
    goals
        Goals for the time to its first event.
    has_queue
        Whether it waits at the entry if it is rejected.
    """
    can_wait = has_queue and goals.own_s >= goals.longest_s
    return MAX_BACKLOG_SHARE_WITH_QUEUE if can_wait else MAX_BACKLOG_SHARE


def overload_reason(
    plan: Placement, goals: Goals, max_backlog_share: float = MAX_BACKLOG_SHARE
) -> str:
    """Return why a new request is rejected, or an empty string if it is accepted.

    Parameters
    ----------
    plan
        Planned placement of the request.
    goals
        Goals for the time to its first event.
    max_backlog_share
        Prefill backlog above which no long prompt is accepted, as a share of the longest goal.
    """
    if plan.lane is Lane.SHORT:
        return _short_reason(plan, goals.own_s)
    return _long_reason(plan, goals.longest_s, max_backlog_share)


def _short_reason(plan: Placement, goal_s: float) -> str:
    wait_s = plan.predicted_s - plan.alone_s
    if plan.predicted_s <= goal_s or wait_s <= MAX_SHORT_WAIT_SHARE * goal_s:
        return ""
    return f"first event in {plan.predicted_s:.2f} s, {wait_s:.2f} s of it behind other work"


def _long_reason(plan: Placement, longest_goal_s: float, max_backlog_share: float) -> str:
    if plan.backlog_s <= ALWAYS_ACCEPTED_BACKLOG_SHARE * longest_goal_s:
        return ""
    if plan.backlog_s + OWN_PREFILL_WEIGHT * plan.own_s <= max_backlog_share * longest_goal_s:
        return ""
    return f"{plan.backlog_s:.2f} s of reading under way for each engine, {plan.own_s:.2f} s more"
