"""Problem details: the HTTP representation of a refusal.

Notes
-----
RFC 9457, "Problem Details for HTTP APIs".
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, NotRequired, TypedDict

if TYPE_CHECKING:
    from sassafrastally.serving.refusals import Refusal

MEDIA_TYPE = "application/problem+json"

REQUEST_ID = "Sassafrastally-Request-Id"
OUTCOME = "Sassafrastally-Outcome"
RECEIPT = "Sassafrastally-Receipt"

_TYPE_PREFIX = "urn:sassafrastally:refusal:"


class Problem(TypedDict):
    """Body of a response that reports a refusal."""

    type: str
    title: str
    status: int
    detail: NotRequired[str]
    code: str
    outcome: str
    """One of `Outcome`."""
    limit: NotRequired[float]
    measured: NotRequired[float]
    unit: NotRequired[str]
    retry_after_s: NotRequired[float]
    request_id: NotRequired[str]
    receipt: NotRequired[str]


def make_problem(refusal: Refusal, request_id: str, receipt: str) -> Problem:
    """Return the problem details of a refusal, without empty texts."""
    kind, figures = refusal.kind, refusal.figures
    problem = Problem(
        type=f"{_TYPE_PREFIX}{kind.code}",
        title=kind.title,
        status=kind.status,
        code=kind.code,
        outcome=str(refusal.outcome),
    )
    if figures.detail:
        problem["detail"] = figures.detail
    if kind.limit_unit:
        problem["limit"] = figures.limit
        problem["measured"] = figures.measured
        problem["unit"] = kind.limit_unit
    if figures.retry_after_s > 0:
        problem["retry_after_s"] = figures.retry_after_s
    if request_id:
        problem["request_id"] = request_id
    if receipt:
        problem["receipt"] = receipt
    return problem


def problem_headers(problem: Problem) -> dict[str, str]:
    """Return the response headers for problem details."""
    headers = {"Content-Type": MEDIA_TYPE, OUTCOME: problem["outcome"]}
    if "retry_after_s" in problem:
        headers["Retry-After"] = str(math.ceil(problem["retry_after_s"]))
    if "request_id" in problem:
        headers[REQUEST_ID] = problem["request_id"]
    if "receipt" in problem:
        headers[RECEIPT] = problem["receipt"]
    return headers


def problem_body(problem: Problem) -> bytes:
    """Return problem details encoded as JSON."""
    return json.dumps(problem, separators=(",", ":")).encode()


def problem_event(problem: Problem) -> bytes:
    """Return the final server-sent event of a stream that failed after it started."""
    return b"event: error\ndata: " + problem_body(problem) + b"\n\n"
