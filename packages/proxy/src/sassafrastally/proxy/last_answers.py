"""Answers of a stopping entry to all requests that are still open at the end of its drain.

The load is a planned stop with a hundred requests that no server answers, at an entry with a tenth
of a processor: ended one task at a time, no caller has its answer before all tasks have had a dozen
turns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class LastAnswer(NamedTuple):
    """How a request is answered at the end of a drain, if its response hasn't begun."""

    may_have_run: Callable[[], bool]
    """Whether a server may have got the request."""
    send: Callable[[], None]
    """Sends the answer without a wait, unless a response has begun or is kept."""


def send_last_answers(answers: Iterable[LastAnswer]) -> None:
    """Send last answers in a single turn of the event loop.

    What no server has got is refused first: its caller may send it again at once, while a request
    that may have run can only be reported.
    """
    for answer in sorted(answers, key=lambda answer: answer.may_have_run()):
        answer.send()
