"""Routing in the entry: in which order sidecars are asked for a reservation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random


class RouteRequest(NamedTuple):
    """What routing looks at in a request."""

    request_id: str
    customer: str
    target: str
    """Model or plain service."""
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    """Rolling hashes of the prompt's leading blocks, shortest prefix first."""
    time_limit_s: float


class Candidate(NamedTuple):
    """A sidecar that serves the target, as the entry sees it through lagging reports."""

    vm: str
    data_centre: str
    is_near: bool
    """Whether it is in the entry's own data centre."""
    queued_tokens: int
    running: int
    free_blocks: int
    total_blocks: int
    block_tokens: int
    prefill_tokens_per_s: float
    """Learned rate; 0 when not known yet."""
    first_token_s: float
    """Predicted first token for a request of this length, by the last report."""
    report_age_s: float
    in_flight: int
    """Attempts of this entry itself on the sidecar that the report can't know yet."""
    in_flight_tokens: int
    max_wait_s: float = 0.0
    """Set by the policy: how long other work there may delay the first token; 0 is any time."""


class RoutingPolicy(Protocol):
    """Orders candidates."""

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates to ask, best first; few, not all."""
        ...


ROUTING_POLICIES: Registry[Callable[[Random], RoutingPolicy]] = Registry("routing policy")
"""Makers of routing policies by name: ``round-robin``, ``least-loaded``, ``prefix-affinity``."""
