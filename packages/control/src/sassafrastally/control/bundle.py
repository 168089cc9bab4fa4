"""The bundle: the configuration that operators publish, sign and roll.

Every part is a `NamedTuple`; `sassafrastally.control.compile` builds a bundle from TOML.
"""

from __future__ import annotations

from typing import NamedTuple


class Model(NamedTuple):
    """A model and its serving configuration."""

    name: str
    version: str
    max_context_tokens: int
    """Maximum length of a prompt plus its output."""
    min_replicas: int = 1
    """Minimum number of ready replicas that a version change must leave."""
    adapters: tuple[str, ...] = ()


class Customer(NamedTuple):
    """A customer with its API keys, share and limits."""

    name: str
    key_digests: tuple[str, ...]
    """SHA-256 of each bearer key, 64 hexadecimal digits."""
    share: float = 1.0
    """Weight in fair sharing under contention."""
    rate_tokens_per_s: float = 0.0
    """Maximum average rate of prompt and output tokens; 0 means no limit."""
    burst_tokens: int = 0
    """Burst size: tokens that may be used at once beyond the rate."""
    max_concurrent: int = 0
    """Maximum number of concurrent requests over all entries; 0 means no limit."""
    priority: int = 0
    """Lower values are served first."""
    models: tuple[str, ...] = ()
    """Allowed models; empty means all."""


class PlainService(NamedTuple):
    """A service other than a model engine to which calls are routed."""

    name: str
    max_concurrent: int = 0
    """Maximum number of concurrent calls per backend server; 0 means no limit."""
    time_limit_s: float = 30.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    """HTTP methods whose calls may be retried."""


class Weights(NamedTuple):
    """Weights for trading off short requests against long ones."""

    short_slowdown: float = 1.0
    """Weight of the slowdown of short requests that run beside long ones."""
    long_first_token: float = 1.0
    """Weight of the time to first token of long prompts."""
    short_tokens: int = 4_000
    """Prompts up to this length count as short."""
    long_tokens: int = 100_000
    """Prompts of at least this length count as long."""


class Limits(NamedTuple):
    """Limits that apply to every customer."""

    default_time_limit_s: float = 120.0
    max_time_limit_s: float = 900.0
    max_body_bytes: int = 16_000_000
    max_output_tokens: int = 8_192
    max_attempts: int = 3
    retry_ratio: float = 0.1
    """Maximum ratio of retries to first attempts over a window."""


class Drain(NamedTuple):
    """Backend servers to drain."""

    vms: tuple[str, ...] = ()
    """VMs whose sidecars accept no new work once this bundle is active there; a sidecar that has
    started to drain accepts none until it is restarted."""


class Bundle(NamedTuple):
    """The whole configuration set by operators, as one value."""

    name: str
    models: tuple[Model, ...]
    customers: tuple[Customer, ...]
    services: tuple[PlainService, ...] = ()
    weights: Weights = Weights()
    limits: Limits = Limits()
    drain: Drain = Drain()


class BundleInForce(NamedTuple):
    """The bundle that is active in a process."""

    generation: int
    """Increases with each roll; a process never activates a lower one."""
    digest: str
    """SHA-256 of the canonical bytes."""
    bundle: Bundle
