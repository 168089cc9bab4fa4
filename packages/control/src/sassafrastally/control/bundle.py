"""The bundle: what operators publish, sign and roll.

Every part is a `NamedTuple`; `sassafrastally.control.compile` makes one from TOML.
"""

from __future__ import annotations

from typing import NamedTuple


class Model(NamedTuple):
    """A model and how it is to be served."""

    name: str
    version: str
    max_context_tokens: int
    """Longest prompt with its answer."""
    min_replicas: int = 1
    """Ready replicas that a change of version must leave."""
    adapters: tuple[str, ...] = ()


class Customer(NamedTuple):
    """A customer with its keys, share and limits."""

    name: str
    key_digests: tuple[str, ...]
    """SHA-256 of each bearer key, 64 hexadecimal digits."""
    share: float = 1.0
    """Weight in the fair sharing under contention."""
    rate_tokens_per_s: float = 0.0
    """Most prompt and output tokens a second, averaged; 0 is no limit."""
    burst_tokens: int = 0
    """Tokens that may be used at once beyond the rate."""
    max_concurrent: int = 0
    """Most requests at a time over all entries; 0 is no limit."""
    priority: int = 0
    """Lower goes first."""
    models: tuple[str, ...] = ()
    """Models allowed; none listed means all."""


class PlainService(NamedTuple):
    """A service beside the engines that is routed to as well."""

    name: str
    max_concurrent: int = 0
    """Most calls at a time on one backend server; 0 is no limit."""
    time_limit_s: float = 30.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    """Methods whose calls may be repeated."""


class Weights(NamedTuple):
    """What the deployment weighs."""

    short_slowdown: float = 1.0
    """Weight of how much short requests slow down beside long ones."""
    long_first_token: float = 1.0
    """Weight of the time to first token of long prompts."""
    short_tokens: int = 4_000
    """Prompts up to this count as short."""
    long_tokens: int = 100_000
    """Prompts from this on count as long."""


class Limits(NamedTuple):
    """Bounds that hold for every customer."""

    default_time_limit_s: float = 120.0
    max_time_limit_s: float = 900.0
    max_body_bytes: int = 16_000_000
    max_output_tokens: int = 8_192
    max_attempts: int = 3
    retry_ratio: float = 0.1
    """Most retries for each first attempt, over a window."""


class Drain(NamedTuple):
    """Which backend servers are to leave."""

    vms: tuple[str, ...] = ()
    """VMs whose sidecars take no new work from the moment this bundle is in force there; a sidecar
    that has begun to leave takes none until it is started anew."""


class Bundle(NamedTuple):
    """Everything that operators decide, as one value."""

    name: str
    models: tuple[Model, ...]
    customers: tuple[Customer, ...]
    services: tuple[PlainService, ...] = ()
    weights: Weights = Weights()
    limits: Limits = Limits()
    drain: Drain = Drain()


class BundleInForce(NamedTuple):
    """The bundle that a process acts by."""

    generation: int
    """Grows with each roll; a process never goes to a lower one."""
    digest: str
    """SHA-256 of the canonical bytes."""
    bundle: Bundle
