"""Settings of an entry."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.core.settings import section


@section("http", "entry")
class HttpSettings(NamedTuple):
    """The callers' HTTP interface."""

    listen_address: Address
    """Address to listen on for callers and the load balancer."""
    keep_alive_s: float = 75.0
    """Idle time after which a connection is closed; must exceed the load balancer's own limit."""
    backlog: int = 1024
    """Length of the queue of connections waiting to be accepted."""
    unsent_limit_s: float = 60.0
    """Time without any byte acknowledged by the peer after which the kernel aborts a connection."""


@section("entry", "entry")
class EntrySettings(NamedTuple):
    """The request path."""

    routing_policy: str = "prefix-affinity"
    """Name of a registered routing policy."""
    max_open_requests: int = 4_000
    """Maximum requests in progress; further requests are refused as ``overloaded``."""
    max_held_body_bytes: int = 48_000_000
    """Maximum total size of the bodies of requests, in progress or being received; beyond it, the
    request with the largest incomplete body is refused as ``overloaded``."""
    max_answer_bytes: int = 8_000_000
    """Maximum size of a non-streamed answer, which is buffered until its end is verified."""
    max_held_answer_bytes: int = 48_000_000
    """Maximum total size of such answers, incomplete or being sent; beyond it, the largest
    incomplete one fails."""
    max_buffered_bytes: int = 262_144
    """Streamed data buffered for a slow caller before backpressure is applied to the sidecar."""
    max_all_buffered_bytes: int = 48_000_000
    """Total size of such data above which the buffer of each slow caller is reduced to 16 KB."""
    max_candidates: int = 8
    """Maximum sidecars asked for a reservation in one round."""
    commit_now_tokens: int = 4_000
    """Idempotent requests up to this many tokens reserve and commit in one message."""
    base_backoff_s: float = 0.05
    """Upper bound of the first backoff between attempts; it doubles with each attempt."""
    max_backoff_s: float = 2.0
    """Upper bound of a backoff, unless a server requests a longer one."""
    retry_burst: float = 20.0
    """Maximum retries that the retry budget accumulates from first attempts."""
    max_spent_ratio: float = 2.0
    """Maximum engine tokens spent by all attempts of a request, as a multiple of one run."""
    contact_patience_s: float = 1.0
    """How long an idempotent request tries to reach a lost sidecar before failing over; if that
    fails, it tries again until its time limit."""
    reserve_timeout_s: float = 2.0
    """Time after which other sidecars are asked too if one hasn't answered a reservation; one that
    hasn't answered for a segment counts as unreachable."""
    drain_s: float = 3.0
    """How long new requests are still served after the stop signal, so that the load balancer can
    notice that the entry isn't ready."""
    stop_limit_s: float = 10.0
    """Time after a second stop signal at which requests still in progress are cancelled."""
