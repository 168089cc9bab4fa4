"""Messages of control: load, bundles, operators' calls, claims, limits and placement."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """What a sidecar tells its peers about itself; lags by nature."""

    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    queued_tokens: int = 0
    running: int = 0
    free_blocks: int = 0
    total_blocks: int = 0
    first_token_s: tuple[float, ...] = ()
    """Predicted first token for a new request of each lane, in seconds."""
    prefill_tokens_per_s: float = 0.0
    leaving: bool = False
    generation: int = 0
    """Generation of the bundle in force at the sender."""
    digest: str = ""
    block_tokens: int = 0


class HeadNotice(NamedTuple):
    """The signed head of the bundle in force at the sender."""

    generation: int = 0
    """Generation of the bundle in force at the sender."""
    digest: str = ""
    head: bytes = b""
    """Canonical bytes of the head with its signature."""


class PartsRequest(NamedTuple):
    """Asks a peer for parts of a bundle."""

    digests: tuple[str, ...] = ()


class PartsReply(NamedTuple):
    """Parts in the order asked for; an empty one is not held."""

    parts: tuple[bytes, ...] = ()


class AdminCall(NamedTuple):
    """An operator command for this process."""

    method: str = ""
    body: bytes = b""


class AdminReturn(NamedTuple):
    """Answers `AdminCall`; the body is JSON."""

    status: int = 0
    """HTTP status."""
    body: bytes = b""


class ClaimRequest(NamedTuple):
    """Asks the home of an idempotency key's shard to claim, replace or look up."""

    operation: str = ""
    """One of `sassafrastally.serving.claim_shard.ClaimOperation`."""
    key_hash: bytes = b""
    """Keyed hash of customer and idempotency key, 16 bytes."""
    body_digest: bytes = b""
    """Digest of the request's body, 16 bytes."""
    vm: str = ""
    """Placement that is to hold the key, in this and the next three fields."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    old_vm: str = ""
    """Placement that is to be replaced, in this and the next three fields."""
    old_incarnation: str = ""
    old_request_id: str = ""
    old_attempt: int = 0
    time_limit_s: float = 0.0
    """Seconds that the sender waits for the answer."""


class ClaimReply(NamedTuple):
    """Answers `ClaimRequest`: who holds the key."""

    state: str = ""
    """One of `sassafrastally.serving.claim_shard.ClaimState`."""
    vm: str = ""
    """Placement that holds the key, in this and the next three fields."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    retry_after_s: float = 0.0


class SliceRequest(NamedTuple):
    """Reports an entry's use of customers' limits to their home and asks for more.

    The lists run side by side, one place for each customer.
    """

    customers: tuple[str, ...] = ()
    open_requests: tuple[int, ...] = ()
    """Requests that are open at the sender."""
    want_requests: tuple[int, ...] = ()
    """Most requests that the sender would like to have open."""
    want_tokens: tuple[int, ...] = ()
    """Tokens that the sender would like to use beyond what it has."""
    returned_tokens: tuple[int, ...] = ()
    """Granted tokens that were not used."""


class SliceReply(NamedTuple):
    """Answers `SliceRequest`; the lists run side by side with the request's."""

    customers: tuple[str, ...] = ()
    requests: tuple[int, ...] = ()
    """Requests that the asker may have open until the slice lapses."""
    tokens: tuple[int, ...] = ()
    """Tokens that the asker may use in addition until the slice lapses."""
    held_requests: tuple[int, ...] = ()
    """Requests granted to all entries together."""
    retry_after_s: tuple[float, ...] = ()
    """After how many seconds the tokens asked for would be there; 0 when they were granted."""
    lapse_s: float = 0.0
    """For how many seconds the slices hold."""


class PlacementOrder(NamedTuple):
    """Orders a sidecar to change what its engine serves, or only asks what that is."""

    fence: int = 0
    """Fencing number of the placement holder; a sidecar that has seen a higher one refuses."""
    action: str = ""
    """One of `sassafrastally.control.placement_orders.PlacementAction`."""
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    needed: str = ""
    """For an unload: engine's name of a model that must be ready, or nothing is unloaded."""


class PlacementReply(NamedTuple):
    """Answers `PlacementOrder`."""

    state: str = ""
    """One of `sassafrastally.control.placement_orders.PlacementState`."""
    fence: int = 0
    """Highest fencing number that the sidecar knows."""
    models: tuple[str, ...] = ()
    """What the engine serves, as ``name`` or ``name@version``; adapters by their names."""
    role: str = ""
    is_pinned: bool = False
    """Whether the sidecar's settings fix what may be served there."""
    detail: str = ""
