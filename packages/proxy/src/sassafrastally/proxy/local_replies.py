"""What callers and the log get for a reply that the proxy makes itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.log_events import RequestFailed, RequestRefused
from sassafrastally.proxy.refusals import MAY_HAVE_RUN, NO_ANSWER_IN_TIME, refusal_body

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import Request
    from sassafrastally.proxy.dialect import Dialect, Headers
    from sassafrastally.proxy.task import LocalReply


class Handled(NamedTuple):
    """What was done for a request before its local reply, for the log."""

    route_name: str = "-"
    attempts: int = 0
    fingerprint: str = ""
    waited_s: float = 0.0
    late_s: float = 0.0


UNHANDLED = Handled()


def local_reply_event(
    request: Request, local_reply: LocalReply, handled: Handled, now_s: float
) -> RequestFailed | RequestRefused:
    """Return the log event of a refusal, or of a failure of a request that may have run."""
    held_s = round(now_s - request.arrived_s, 4)
    request_id, refusal = request.facts.request_id, local_reply.refusal
    if refusal in (MAY_HAVE_RUN, NO_ANSWER_IN_TIME):
        detail = f"{refusal.code}: {local_reply.detail}"
        route_name, attempts = handled.route_name, handled.attempts
        return RequestFailed(
            request_id, route_name, refusal.status, attempts, held_s, detail, handled.late_s
        )
    return RequestRefused(
        request_id,
        handled.route_name,
        refusal.code,
        refusal.status,
        round(local_reply.retry_after_s or 0.0, 3),
        handled.attempts,
        held_s,
        local_reply.detail,
        handled.fingerprint,
        round(handled.waited_s, 4),
    )


def encode_local_reply(
    dialect: Dialect, request: Request, local_reply: LocalReply
) -> tuple[int, Headers, bytes]:
    """Return status, header and body of a local reply."""
    headers: Headers = [(b"content-type", b"application/problem+json")]
    if local_reply.retry_after_s is not None:
        headers.append(dialect.retry_after_header(local_reply.retry_after_s))
    body = refusal_body(local_reply.refusal, request.facts.request_id, local_reply.detail)
    return local_reply.refusal.status, headers, body
