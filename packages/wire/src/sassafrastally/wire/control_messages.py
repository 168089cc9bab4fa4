"""Control messages: load, bundles, admin calls, claims, limits and placement."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Periodic load report of a sidecar to its peers; always somewhat out of date."""

    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    queued_tokens: int = 0
    running: int = 0
    free_blocks: int = 0
    total_blocks: int = 0
    first_token_s: tuple[float, ...] = ()
    """Predicted time to first token for a new request in each lane, in seconds."""
    prefill_tokens_per_s: float = 0.0
    leaving: bool = False
    generation: int = 0
    """Generation of the sender's active bundle."""
    digest: str = ""
    block_tokens: int = 0


class HeadNotice(NamedTuple):
    """Signed head of the sender's active bundle."""

    generation: int = 0
    """Generation of the sender's active bundle."""
    digest: str = ""
    head: bytes = b""
    """Canonical encoding of the head with its signature."""


class PartsRequest(NamedTuple):
    """Requests parts of a bundle from a peer."""

    digests: tuple[str, ...] = ()


class PartsReply(NamedTuple):
    """Parts in the requested order; an empty part is not available at the sender."""

    parts: tuple[bytes, ...] = ()


class AdminCall(NamedTuple):
    """Operator command for the receiving process."""

    method: str = ""
    body: bytes = b""


class AdminReturn(NamedTuple):
    """Response to `AdminCall`; the body is JSON."""

    status: int = 0
    """HTTP status."""
    body: bytes = b""


class ClaimRequest(NamedTuple):
    """Asks the owner of an idempotency key's shard to claim, replace or look up the key."""

    operation: str = ""
    """One of `sassafrastally.serving.claim_shard.ClaimOperation`."""
    key_hash: bytes = b""
    """Keyed hash of customer and idempotency key, 16 bytes."""
    body_digest: bytes = b""
    """Digest of the request body, 16 bytes."""
    vm: str = ""
    """Placement that claims the key, in this and the next three fields."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    old_vm: str = ""
    """Placement to replace, in this and the next three fields."""
    old_incarnation: str = ""
    old_request_id: str = ""
    old_attempt: int = 0
    time_limit_s: float = 0.0
    """Seconds that the sender waits for the response."""


class ClaimReply(NamedTuple):
    """Response to `ClaimRequest` with the holder of the key."""

    state: str = ""
    """One of `sassafrastally.serving.claim_shard.ClaimState`."""
    vm: str = ""
    """Placement that holds the key, in this and the next three fields."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    retry_after_s: float = 0.0


class SliceRequest(NamedTuple):
    """Reports an entry's usage of customer limits to the limit owner and requests more.

    The lists are parallel, with one element for each customer.
    """

    customers: tuple[str, ...] = ()
    open_requests: tuple[int, ...] = ()
    """Open requests at the sender."""
    want_requests: tuple[int, ...] = ()
    """Maximum number of open requests that the sender asks for."""
    want_tokens: tuple[int, ...] = ()
    """Additional tokens that the sender asks for."""
    returned_tokens: tuple[int, ...] = ()
    """Granted tokens that the sender returns unused."""


class SliceReply(NamedTuple):
    """Response to `SliceRequest`; the lists are parallel to those of the request."""

    customers: tuple[str, ...] = ()
    requests: tuple[int, ...] = ()
    """Requests that the receiver may have open until the slice expires."""
    tokens: tuple[int, ...] = ()
    """Additional tokens that the receiver may use until the slice expires."""
    held_requests: tuple[int, ...] = ()
    """Total number of requests granted to all entries."""
    retry_after_s: tuple[float, ...] = ()
    """Seconds until the requested tokens are available; 0 if they were granted."""
    lapse_s: float = 0.0
    """Seconds until the slices expire."""


class PlacementOrder(NamedTuple):
    """Orders a sidecar to change what its engine serves, or only queries the current state."""

    fence: int = 0
    """Fencing token of the placement holder; a sidecar that has seen a higher one refuses."""
    action: str = ""
    """One of `sassafrastally.control.placement_orders.PlacementAction`."""
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    needed: str = ""
    """For an unload: engine name of a model that must be ready, otherwise nothing is unloaded."""


class PlacementReply(NamedTuple):
    """Response to `PlacementOrder`."""

    state: str = ""
    """One of `sassafrastally.control.placement_orders.PlacementState`."""
    fence: int = 0
    """Highest fencing token that the sidecar has seen."""
    models: tuple[str, ...] = ()
    """Models that the engine serves as ``name`` or ``name@version``, and adapters by name."""
    role: str = ""
    is_pinned: bool = False
    """Whether the sidecar's settings pin the models it may serve."""
    detail: str = ""
