"""What callers and the log get for a request that no backend server has answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.log_events import (
    AcceptedRequestCut,
    CallerLeft,
    RequestCut,
    RequestFailed,
    RequestRefused,
)
from sassafrastally.proxy.refusals import MAY_HAVE_RUN, NO_ANSWER_IN_TIME, refusal_body

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import Request
    from sassafrastally.proxy.dialect import Dialect, Headers
    from sassafrastally.proxy.task import LocalReply, Progress


def local_reply_event(
    request: Request,
    local_reply: LocalReply,
    progress: Progress,
    fingerprint: str,
    now_s: float,
    late_s: float,
) -> RequestFailed | RequestRefused:
    """Return the log event of a refusal, or of a failure of a request that may have run."""
    held_s = round(now_s - request.arrived_s, 4)
    request_id, refusal = request.facts.request_id, local_reply.refusal
    route_name, attempts = progress.route_name, progress.attempts
    if refusal in (MAY_HAVE_RUN, NO_ANSWER_IN_TIME):
        detail = f"{refusal.code}: {local_reply.detail}"
        return RequestFailed(
            request_id, route_name, refusal.status, attempts, held_s, detail, late_s
        )
    return RequestRefused(
        request_id,
        route_name,
        refusal.code,
        refusal.status,
        round(local_reply.retry_after_s or 0.0, 3),
        attempts,
        held_s,
        local_reply.detail,
        fingerprint,
        round(progress.waited_s, 4),
    )


def missed_estimate_event(
    request: Request, progress: Progress, now_s: float
) -> AcceptedRequestCut | None:
    """Return the log event of a response that takes longer than a stopping entry had estimated."""
    estimate = progress.drain_estimate
    if estimate is None or not progress.pending:
        return None
    took_s = round(now_s - estimate.made_s, 3)
    needed_s, left_s = round(estimate.needed_s, 3), round(estimate.left_s, 3)
    request_id, route_name = request.facts.request_id, progress.route_name
    return AcceptedRequestCut(request_id, route_name, needed_s, left_s, took_s)


def unanswered_event(
    request: Request,
    progress: Progress,
    sent_bytes: int,
    now_s: float,
    *,
    has_caller_left: bool,
) -> CallerLeft | RequestCut:
    """Return the log event of a request that has ended without a complete answer."""
    held_s = round(now_s - request.arrived_s, 4)
    request_id, route_name = request.facts.request_id, progress.route_name
    if has_caller_left:
        return CallerLeft(request_id, route_name, held_s)
    return RequestCut(request_id, route_name, progress.attempts, held_s, sent_bytes)


def encode_local_reply(
    dialect: Dialect, request: Request, local_reply: LocalReply
) -> tuple[int, Headers, bytes]:
    """Return status, header and body of a local reply."""
    headers: Headers = [(b"content-type", b"application/problem+json")]
    if local_reply.retry_after_s is not None:
        headers.append(dialect.retry_after_header(local_reply.retry_after_s))
    body = refusal_body(local_reply.refusal, request.facts.request_id, local_reply.detail)
    return local_reply.refusal.status, headers, body
