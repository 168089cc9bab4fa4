"""Earlier attempts of a request and what is known of their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.serving.outcome import Outcome

if TYPE_CHECKING:
    from sassafrastally.entry.attempt import Attempt


class AttemptHistory:
    """Earlier attempts of a request and the worst outcome that they can have had."""

    def __init__(self) -> None:
        self.started = 0
        """Attempts started, including those that were refused."""
        self.committed = 0
        """Unsuccessful attempts that may have run."""
        self.spent_tokens = 0
        self.outcome = Outcome.NOT_RUN

    def next_number(self) -> int:
        """Count a new attempt and return its number."""
        self.started += 1
        return self.started

    def add(self, attempt: Attempt) -> None:
        """Record an attempt that ended without a complete answer or a proof of not running."""
        if not attempt.is_committed:
            return
        self.committed += 1
        self.spent_tokens += attempt.plan.request.prompt_tokens
        if attempt.has_data:
            self.outcome = Outcome.FAILED
        elif self.outcome == Outcome.NOT_RUN:
            self.outcome = Outcome.UNKNOWN
