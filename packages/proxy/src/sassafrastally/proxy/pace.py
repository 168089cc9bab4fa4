"""How many times slower than their figures engines work, as their own reports say.

The load that it answers: a sixth to a half of the engines turn two to five times slower for some
seconds. They answer, so nothing fails; but a prompt that is read in parts waits for its slowest
part, whoever answers it. Streams alone don't show an engine that only helps to read, and slow
events don't tell slowness from reading that nobody has told of yet. The engine's report tells both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

USUAL_PACE = 1.0
"""An engine that works by its figures."""

SLOW_PACE = 1.3
"""From this on an engine counts as slow: predictions are off by up to a third at usual engines, so
that less can't be told from their error."""

REPORT_INTERVAL_S = 1.0
"""Time between two reports of an engine, to all entries together. A report costs as much as two
connections; at one a second they cost a thousandth of what the requests are worth."""

SLOW_INTERVAL_S = 0.5
"""Time between two reports of a slow engine, so that one that has recovered is used again soon."""

DOUBTED_INTERVAL_S = 0.3
"""Time between two reports of an engine on which a late first event waits: what a report says is
some hundred milliseconds old, so that asking more often brings nothing new."""

BELIEVED_S = 2.5
"""How long a report is believed: two may be lost."""

OVERDUE_FACTOR = 1.5
OVERDUE_S = 0.1
"""A first event that isn't there after this many times its predicted time and this much more casts
doubt on the engines that read for it. Usual predictions are short by up to a third."""

MOVE_GAIN = 2.0
"""How many times sooner a first event must be expected elsewhere for a prompt to move there: its
reading begins anew, and what the first engines have read is lost."""


class _Seen(NamedTuple):
    pace: float
    at_s: float


class Paces:
    """The latest pace of each engine that this process has asked."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def note(self, life_id: str, pace: float, now_s: float) -> None:
        """Note the pace that a report says."""
        self._seen[life_id] = _Seen(pace, now_s)

    def asked_s(self, life_id: str) -> float:
        """Return when the latest report of an engine came."""
        seen = self._seen.get(life_id)
        return seen.at_s if seen else float("-inf")

    def slow(self, now_s: float) -> dict[str, float]:
        """Return the engines that are slow, with their pace."""
        return {
            life_id: seen.pace
            for life_id, seen in self._seen.items()
            if seen.pace >= SLOW_PACE and now_s - seen.at_s < BELIEVED_S
        }

    def forget_gone(self, known: set[str]) -> None:
        """Forget engines that no longer exist."""
        for life_id in self._seen.keys() - known:
            del self._seen[life_id]


def has_report_duty(life_id: str, own_host: str, hosts: Iterable[str]) -> bool:
    """Return whether this entry asks an engine for its reports.

    Each engine is asked by one entry, which all choose alike; the others hear of slow engines from
    it. When an entry leaves, only its own engines change hands.
    """
    own_rank = _rank(life_id, own_host)
    return all(_rank(life_id, host) < own_rank for host in hosts if host != own_host)


def _rank(life_id: str, host: str) -> int:
    return server_hash(f"{host} {life_id}")


def report_interval_s(pace: float, *, is_doubted: bool) -> float:
    """Return the time between two reports of an engine."""
    if is_doubted:
        return DOUBTED_INTERVAL_S
    return SLOW_INTERVAL_S if pace >= SLOW_PACE else REPORT_INTERVAL_S


def is_overdue(elapsed_s: float, predicted_s: float) -> bool:
    """Return whether a first event is so late that its engines should be asked."""
    return elapsed_s > OVERDUE_FACTOR * predicted_s + OVERDUE_S


def remaining_s(elapsed_s: float, predicted_s: float, pace: float) -> float:
    """Return how long a first event may still take when the slowest of its engines has a pace.

    Parameters
    ----------
    elapsed_s
        Time since the prompt was sent.
    predicted_s
        Time that was predicted then.
    pace
        Pace of the slowest engine that reads a part of it.
    """
    # When it turned slow isn't known: at the latest now, at the earliest before the prompt came.
    since_now_s = (predicted_s - elapsed_s) * pace
    since_then_s = predicted_s * pace - elapsed_s
    return max(0.0, since_now_s, since_then_s)


def is_worth_moving(remaining: float, predicted_elsewhere_s: float, goal_left_s: float) -> bool:
    """Return whether a prompt that waits for its first event should be read elsewhere.

    Parameters
    ----------
    remaining
        Time that its first event may still take here.
    predicted_elsewhere_s
        Time that it would take elsewhere.
    goal_left_s
        Time until its goal. What is timely here stays here.
    """
    return remaining > goal_left_s and remaining > MOVE_GAIN * predicted_elsewhere_s


def slowest(paces: Mapping[str, float], life_ids: Sequence[str]) -> float:
    """Return the pace of the slowest of some engines."""
    return max((paces.get(life_id, USUAL_PACE) for life_id in life_ids), default=USUAL_PACE)
