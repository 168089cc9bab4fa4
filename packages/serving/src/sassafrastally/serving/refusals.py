"""The closed catalogue of refusals: the reasons why a request is rejected or aborted."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import CodedError, error
from sassafrastally.serving.outcome import Outcome


class RefusalKind(NamedTuple):
    """Item of the refusal catalogue."""

    code: str
    status: int
    """HTTP status."""
    outcome: Outcome
    title: str
    """The reason in one sentence, as sent to the caller."""
    limit_unit: str
    """Unit of the limit and the measured value; empty when the code has neither."""


REFUSALS: dict[str, RefusalKind] = {}
"""The complete catalogue by code; the errors page of the documentation is generated from it."""


class Figures(NamedTuple):
    """Values behind a refusal at the time it was made."""

    limit: float = 0.0
    measured: float = 0.0
    retry_after_s: float = 0.0
    """Retry delay; 0 means that a retry does not help."""
    detail: str = ""


@error(5001)
class Refusal(CodedError):
    """A request is rejected or aborted, with a code of the catalogue and its figures."""

    def __init__(
        self, code: str, figures: Figures | None = None, outcome: Outcome | None = None
    ) -> None:
        self.kind = REFUSALS[code]
        self.figures = figures or Figures()
        self.outcome = outcome or self.kind.outcome
        super().__init__(f"{code}: {self.kind.title} {self.figures.detail}".strip())


def _define(code: str, status: int, outcome: Outcome, title: str, limit_unit: str = "") -> None:
    if code in REFUSALS:
        raise ValueError(f"duplicate refusal code: {code!r}")
    REFUSALS[code] = RefusalKind(code, status, outcome, title, limit_unit)


_define("bad-request", 400, Outcome.NOT_RUN, "The request is not well formed.")
_define("unknown-customer", 401, Outcome.NOT_RUN, "The key belongs to no customer.")
_define("model-not-allowed", 403, Outcome.NOT_RUN, "The customer may not use this model.")
_define("unknown-model", 404, Outcome.NOT_RUN, "No model of this name is in the bundle.")
_define("unknown-service", 404, Outcome.NOT_RUN, "No service of this name is in the bundle.")
_define("body-too-large", 413, Outcome.NOT_RUN, "The body is over the limit.", "bytes")
_define("prompt-too-long", 422, Outcome.NOT_RUN, "The prompt is over the model's limit.", "tokens")
_define(
    "no-span", 422, Outcome.NOT_RUN, "No set of engines can hold a prompt of this length.", "tokens"
)
_define("key-reused", 422, Outcome.NOT_RUN, "The idempotency key was used with another body.")
_define("rate-limit", 429, Outcome.NOT_RUN, "The customer's token rate is used up.", "tokens/s")
_define(
    "concurrency-limit",
    429,
    Outcome.NOT_RUN,
    "The customer has too many requests open.",
    "requests",
)
_define(
    "time-limit-unreachable",
    503,
    Outcome.NOT_RUN,
    "The answer is not expected within the time limit.",
    "s",
)
_define("no-replica", 503, Outcome.NOT_RUN, "No replica that serves this target can be reached.")
_define("memory-full", 503, Outcome.NOT_RUN, "The engines' memory is taken.", "blocks")
_define("leaving", 503, Outcome.NOT_RUN, "The backend server is leaving.")
_define(
    "busy", 503, Outcome.NOT_RUN, "Other work would delay the first token here for too long.", "s"
)
_define("stopping", 503, Outcome.NOT_RUN, "The entry is stopping.")
_define("no-bundle", 503, Outcome.NOT_RUN, "No bundle is in force here yet.")
_define(
    "overloaded", 503, Outcome.NOT_RUN, "A bound of the entry's own memory is reached.", "items"
)
_define(
    "claims-unavailable", 503, Outcome.NOT_RUN, "Idempotency keys can't be claimed at the moment."
)
_define("time-limit-passed", 504, Outcome.FAILED, "The time limit passed before the end.", "s")
_define("backend-failed", 502, Outcome.FAILED, "The backend server broke the answer off.")
_define("outcome-unknown", 502, Outcome.UNKNOWN, "Contact was lost; whether it ran is not known.")
_define("key-failed", 409, Outcome.FAILED, "The first request of this idempotency key failed.")
_define(
    "answer-not-kept",
    409,
    Outcome.COMPLETED,
    "The first request of this key is done, but its answer is no longer kept.",
)
