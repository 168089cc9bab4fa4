"""Settings of an entry."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address
from sassafrastally.core.settings import section


@section("http", "entry")
class HttpSettings(NamedTuple):
    """The callers' HTTP interface."""

    listen_address: Address
    """Where callers and the balancer connect."""
    keep_alive_s: float = 75.0
    """An idle connection is closed after this; longer than the balancer's own limit."""
    backlog: int = 1024
    """Connections that wait to be accepted."""
    unsent_limit_s: float = 60.0
    """A connection whose peer takes no bytes for so long is cut by the kernel."""


@section("entry", "entry")
class EntrySettings(NamedTuple):
    """The request path."""

    routing_policy: str = "prefix-affinity"
    """Name of a registered routing policy."""
    max_open_requests: int = 4_000
    """Requests in progress; beyond it new ones are refused as ``overloaded``."""
    max_held_body_bytes: int = 48_000_000
    """Bodies of all requests in progress together; beyond it new ones are refused."""
    max_answer_bytes: int = 8_000_000
    """Longest whole answer that is held until its end is proved."""
    max_buffered_bytes: int = 262_144
    """Streamed data that waits for a slow caller before the sidecar is held back."""
    max_candidates: int = 8
    """Sidecars asked for a reservation in one round."""
    commit_now_tokens: int = 4_000
    """Idempotent requests up to this many tokens reserve and commit in one message."""
    base_backoff_s: float = 0.05
    """Upper bound of the first pause between attempts; it doubles with each."""
    max_backoff_s: float = 2.0
    """Upper bound of a pause that no server asked for."""
    retry_burst: float = 20.0
    """Retries that may be saved up by first attempts."""
    max_spent_ratio: float = 2.0
    """Most engine tokens that all attempts together may cost, in costs of one run."""
    contact_patience_s: float = 1.0
    """How long an idempotent request tries to reach the sidecar that it lost before it goes on
    elsewhere."""
    reserve_timeout_s: float = 2.0
    """A sidecar that answers no reservation within this counts as not reached."""
    drain_s: float = 3.0
    """How long new requests are still served after the signal to stop: the balancer needs to see
    that the entry isn't ready."""
    stop_limit_s: float = 10.0
    """Requests still in progress are given up so long after a second signal to stop."""
