"""Interface of the routing policies, which order the sidecars for a reservation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random


class RouteRequest(NamedTuple):
    """Properties of a request that routing uses."""

    request_id: str
    customer: str
    target: str
    """Name of a model or plain service."""
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    """Rolling hashes of the leading blocks of the prompt, shortest prefix first."""
    time_limit_s: float


class Candidate(NamedTuple):
    """A sidecar that serves the target, as known to the entry from delayed reports."""

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
    """Learned rate; 0 when unknown."""
    first_token_s: float
    """Predicted time to first token for a request of this length, from the last report."""
    report_age_s: float
    in_flight: int
    """In-flight attempts of this entry on the sidecar that its last report cannot include yet."""
    in_flight_tokens: int
    max_wait_s: float = 0.0
    """Maximum delay of the first token by other work, set by the policy; 0 for no limit."""


class RoutingPolicy(Protocol):
    """Selects and orders candidates."""

    def choose(self, request: RouteRequest, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the few best candidates to try, best first."""
        ...


ROUTING_POLICIES: Registry[Callable[[Random], RoutingPolicy]] = Registry("routing policy")
"""Factories of routing policies by name: ``round-robin``, ``least-loaded``, ``prefix-affinity``."""
