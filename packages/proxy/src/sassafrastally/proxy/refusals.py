"""Error responses that the proxy generates itself, each with a code, a status and a meaning."""

from __future__ import annotations

import json
from typing import NamedTuple

from sassafrastally.proxy.evacuation import Unavailability


class Refusal(NamedTuple):
    """A kind of error response that the proxy sends in place of a backend server's response."""

    code: str
    status: int
    meaning: str


MALFORMED = Refusal("malformed", 400, "The request is not proper HTTP, or a field is invalid.")
UNKNOWN_KEY = Refusal("unknown-key", 401, "The request bears no key that is in force.")
NO_ROUTE = Refusal("no-route", 404, "No route in force fits host and path.")
TOO_SLOW = Refusal("too-slow", 408, "The request did not arrive in time. It has not run.")
BODY_TOO_LARGE = Refusal("body-too-large", 413, "The body is larger than the limit in force.")
HEADER_TOO_LARGE = Refusal("header-too-large", 431, "The header is larger than the limit in force.")
NO_CONFIGURATION = Refusal(
    "no-configuration", 503, "No configuration is known yet. The request has not run."
)
INTERNAL_ERROR = Refusal(
    "internal-error", 503, "An unexpected error ended the request at this entry. It has not run."
)
NO_SERVER = Refusal(
    "no-server", 503, "No backend server of the service takes work. The request has not run."
)
NO_ROOM = Refusal(
    "no-room", 503, "All backend servers of the service are busy. The request has not run."
)
SERVERS_LIMITED = Refusal(
    "servers-limited",
    503,
    "All backend servers of the service take fewer requests for now. The request has not run.",
)
EVACUATED = Refusal(
    "evacuated",
    503,
    "All backend servers of the service are in evacuated data centres. The request has not run.",
)
NO_HOME = Refusal(
    "no-home",
    503,
    "No backend server of the service is in a home region of the request. It has not run.",
)
TURNED_AWAY = Refusal(
    "turned-away", 503, "The backend servers turned the request away. It has not run."
)
STOPPING = Refusal(
    "stopping",
    503,
    "This entry is stopping and has no time for the request, others take it. It has not run.",
)
ENTRY_BUSY = Refusal(
    "entry-busy", 503, "This entry is overloaded, others take the request. It has not run."
)
CONNECTIONS_FULL = Refusal(
    "connections-full",
    503,
    "This entry has too many connections open, others take the request. It has not run.",
)
BODIES_FULL = Refusal(
    "bodies-full",
    503,
    "This entry holds too many bytes of requests, others take the request. It has not run.",
)
QUARANTINED = Refusal(
    "quarantined",
    503,
    "Backend servers crashed while they ran this request, or requests with the same part in their "
    "prompts: for now it is run no more.",
)
TOO_LONG = Refusal(
    "prompt-too-long", 413, "The prompt is larger than the memory of all engines that can share it."
)
NOT_SENT_IN_TIME = Refusal(
    "not-sent-in-time", 503, "Time ran out before the request was sent. It has not run."
)
MAY_HAVE_RUN = Refusal("may-have-run", 502, "A backend server broke off. The request may have run.")
NO_ANSWER_IN_TIME = Refusal(
    "no-answer-in-time", 504, "Time ran out before the answer came. The request may have run."
)

CATALOGUE = (
    MALFORMED,
    UNKNOWN_KEY,
    NO_ROUTE,
    TOO_SLOW,
    BODY_TOO_LARGE,
    HEADER_TOO_LARGE,
    NO_CONFIGURATION,
    INTERNAL_ERROR,
    NO_SERVER,
    NO_ROOM,
    SERVERS_LIMITED,
    EVACUATED,
    NO_HOME,
    TURNED_AWAY,
    STOPPING,
    ENTRY_BUSY,
    CONNECTIONS_FULL,
    BODIES_FULL,
    QUARANTINED,
    TOO_LONG,
    NOT_SENT_IN_TIME,
    MAY_HAVE_RUN,
    NO_ANSWER_IN_TIME,
)
"""All refusals, for the reference page."""

UNAVAILABILITY_REFUSALS = {
    Unavailability.EVACUATED: EVACUATED,
    Unavailability.NO_HOME: NO_HOME,
}
"""Refusal by the reason for which no server of the service may get the request."""


def refusal_body(refusal: Refusal, request_id: str, detail: str) -> bytes:
    """Return the problem details (RFC 9457) that are sent to the caller."""
    return json.dumps(
        {
            "type": f"urn:sassafrastally:refusal:{refusal.code}",
            "title": refusal.meaning,
            "status": refusal.status,
            "detail": detail,
            "request_id": request_id,
        }
    ).encode()
