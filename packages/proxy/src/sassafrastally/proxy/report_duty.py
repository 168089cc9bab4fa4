"""Assignment of engines to the entries that poll them for reports, and the polling interval.

With many entries and many engines, polling every engine from every entry would cost more than the
reports are worth. Each engine is polled by one entry, which tells the others if it is slow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.pace import SLOW_PACE
from sassafrastally.proxy.rate_limits import MIN_LIMIT_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

REPORT_INTERVAL_S = 1.0
"""Time between two reports of an engine, over all entries. A report costs as much as two
connections; one per second costs a thousandth of the value of the requests."""

SLOW_INTERVAL_S = 0.5
"""Time between two reports of a slow engine, so that it is used again soon after it recovers."""

DOUBTED_INTERVAL_S = 0.3
"""Time between two reports of an engine with an overdue first event. A report's data is a few
hundred milliseconds old, so shorter intervals give no new information."""


REPORT_SHARE_OF_LIMIT = 0.1
"""Share of a rate-limited engine's requests that is used for its reports."""


def polls_engine(incarnation_id: str, own_host: str, hosts: Iterable[str] | None) -> bool:
    """Return whether this entry polls an engine for its reports.

    Uses rendezvous hashing, so that all entries compute the same assignment and only the engines of
    an entry that leaves are reassigned.

    Parameters
    ----------
    incarnation_id
        The engine.
    own_host
        This entry.
    hosts
        The candidate entries; ``None`` if they are entries of another data centre that aren't known
        individually.
    """
    if hosts is None:
        return False
    return own_host == max(hosts, key=lambda host: _rank(incarnation_id, host), default=None)


def report_interval_s(pace: float, limit_per_s: float | None, *, is_doubted: bool) -> float:
    """Return the time between two reports of an engine.

    Parameters
    ----------
    pace
        Slowdown of the engine relative to its nominal figures.
    limit_per_s
        Requests per second that it accepts, reports included; ``None`` without a limit.
    is_doubted
        Whether an attempt at it has an overdue first event.
    """
    if limit_per_s is not None:
        return max(
            REPORT_INTERVAL_S, 1 / (REPORT_SHARE_OF_LIMIT * max(MIN_LIMIT_PER_S, limit_per_s))
        )
    if is_doubted:
        return DOUBTED_INTERVAL_S
    return SLOW_INTERVAL_S if pace >= SLOW_PACE else REPORT_INTERVAL_S


def _rank(incarnation_id: str, host: str) -> int:
    return server_hash(f"{host} {incarnation_id}")
