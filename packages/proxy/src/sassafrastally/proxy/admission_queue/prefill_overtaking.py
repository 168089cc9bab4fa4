"""Whether a long prompt starts now or waits for others that engines prefill.

Guards against long prompts that arrive within one or two seconds, each of which takes several
engines seconds to prefill. Engines prefill the newest part first: each prompt overtakes the earlier
ones, which then have their first events many times later than predicted. A prompt that waits until
the engines of its plan are almost free is served no later than predicted and delays nobody.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.admission_queue.waiting_time import WAIT_MARGIN_S
from sassafrastally.proxy.load import Lane

if TYPE_CHECKING:
    from sassafrastally.proxy.admission import Goals
    from sassafrastally.proxy.plan import Placement

MAX_OVERTAKEN_S = 0.1
"""Work ahead of a prompt on its engines that it needn't wait for: one or two passes, within which
the predictions of the overtaken prompts vary anyway."""


class StartTimes(NamedTuple):
    """Times that decide how long a prompt may wait for others."""

    now_s: float
    goal_s: float
    """Time at which its first event is due."""
    latest_start_s: float
    """Time until which it may wait and still be served whole."""


def can_yield(lane: Lane, goals: Goals) -> bool:
    """Return whether prompts of a route wait for others in prefill.

    These are long prompts with the longest goal. Prompts with shorter goals have small parts, and
    no time to wait for large ones.
    """
    return lane is Lane.LONG and goals.own_s >= goals.longest_s


def yields_until_s(plan: Placement, times: StartTimes) -> float | None:
    """Return until when a prompt waits for others in prefill; ``None`` if it starts now.

    A prompt that can still meet its goal waits as long as it can meet it after the wait. One that
    can't meet it any more waits as long as it can be served whole.

    Parameters
    ----------
    plan
        Where it would start now. Its prediction counts the work ahead of it as done first.
    times
        Times of the prompt.
    """
    if plan.predicted_s - plan.alone_s <= MAX_OVERTAKEN_S:
        return None
    if times.now_s + plan.alone_s > times.goal_s:
        until_s = times.latest_start_s
    else:
        until_s = min(times.goal_s - plan.alone_s - WAIT_MARGIN_S, times.latest_start_s)
    return until_s if times.now_s < until_s else None


def yield_reason(plan: Placement, times: StartTimes) -> str:
    """Return why a prompt waits for others in prefill, for the log; empty if it starts now.

    Parameters
    ----------
    plan, times
        As for `yields_until_s`.
    """
    until_s = yields_until_s(plan, times)
    if until_s is None:
        return ""
    ahead_s = plan.predicted_s - plan.alone_s
    return f"{ahead_s:.2f} s of others' work first, for at most {until_s - times.now_s:.2f} s"
