"""Decides when a stopping entry stops accepting, waiting and reading, before it is killed.

Its load is a planned stop of an entry of which all requests wait for servers: each of them is
answered at the end, and the entry may not run for a while right then.
"""

from __future__ import annotations

from typing import NamedTuple

ACCEPT_AFTER_SIGNAL_S = 2.6
"""New connections are accepted until this long after the stop signal. The load balancer checks
readiness every second and removes a VM after two failed checks, so new connections keep arriving
for a little over two seconds."""

LAST_REQUEST_AFTER_SIGNAL_S = 2.9
"""Requests on keep-alive connections are accepted until this long after the stop signal. Then idle
connections are closed: a request sent just before the process exits would be cut off."""

FIRST_REQUEST_S = LAST_REQUEST_AFTER_SIGNAL_S - ACCEPT_AFTER_SIGNAL_S
"""Time for the request on a connection that is accepted last. Where the process is killed soon, new
connections are accepted for so much less."""

LONGEST_LAG_S = 0.5
"""How long an entry may not run at the end of its drain without losing answers."""

EXIT_S = 0.1
"""Time reserved for the end of the process."""

KILL_MARGIN_S = LONGEST_LAG_S + EXIT_S
"""Time between the end of the drain and the moment the process is killed, without that for its
answers."""

ANSWER_S = 0.003
"""Time in which one request is answered at the end, beside other busy processes."""

ANSWER_PROCESSOR_S = 0.001
"""Processor time in which one request is answered at the end: a hundred took 0.07 s with the turns
of their tasks, also where no answer could be written before these."""

LAST_SHARE = 1 / 6
"""Largest share of the stop time that is taken from servers for answering. The operator doesn't
expect answers of servers that are still at work in this last part of it."""

LAST_ANSWERS_S = 0.3
"""Least time for answers of an entry that is late at the end of its drain."""

LAST_WRITES_S = 0.25
"""Time before the process is killed at which it gives up callers who don't read their answers:
what is being written goes on for some tenths of a second."""

LAST_REQUESTS_S = 0.15
"""Time for the requests of connections that are accepted only at the end of the drain."""

REPLAN_S = 0.02
"""Time by which the end of the drain must come sooner for the open requests to be told again."""


class StopPlan(NamedTuple):
    """Times of a stop."""

    reads_s: float
    """When connections without a request are closed."""
    ends_s: float
    """End of the drain: what is still open is answered then."""
    reads_end_s: float
    """When an entry that is late reads nothing more of what has arrived meanwhile."""
    killed_s: float
    """When the process is killed."""

    def answered_until_s(self, now_s: float) -> float:
        """Return until when requests are answered, at the end of the drain."""
        planned_s = max(self.killed_s - LAST_WRITES_S, now_s + LAST_REQUESTS_S)
        return min(planned_s, self.killed_s - EXIT_S)


def answer_s(slowdown: float) -> float:
    """Return the time of one answer for the pace of the process.

    Parameters
    ----------
    slowdown
        How much longer its work takes than the work's processor time.
    """
    return max(ANSWER_S, ANSWER_PROCESSOR_S * slowdown)


def plan_stop(
    begin_s: float, stop_time_s: float, open_requests: int, slowdown: float = 1.0
) -> StopPlan:
    """Return the times of a stop.

    Parameters
    ----------
    begin_s
        When the stop begins.
    stop_time_s
        Time from then until the process is killed.
    open_requests
        Requests that may have to be answered at the end.
    slowdown
        Pace of the process, as for `answer_s`.
    """
    killed_s = begin_s + stop_time_s
    answering_s = answer_s(slowdown) * open_requests
    most_s = max(KILL_MARGIN_S, stop_time_s * LAST_SHARE)
    ends_s = max(begin_s, killed_s - min(KILL_MARGIN_S + answering_s, most_s))
    reads_end_s = max(ends_s, killed_s - max(LAST_ANSWERS_S, EXIT_S + answering_s))
    reads_s = min(begin_s + LAST_REQUEST_AFTER_SIGNAL_S, ends_s)
    return StopPlan(reads_s, ends_s, reads_end_s, killed_s)
