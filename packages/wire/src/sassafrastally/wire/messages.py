"""Typed messages of the peer protocol.

Each message is a `NamedTuple` whose fields mirror a struct of ``peer.capnp`` by name, in snake
case. `sassafrastally.wire.codec` turns them into bytes and back.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

SCHEMA_VERSION = 1
"""Version that both ends of a link must share."""

MAX_FRAME_BYTES = 256 * 1024
"""Longest frame that is sent or accepted."""

MAX_CHUNK_BYTES = 64 * 1024
"""Most data in one chunk."""


class Hello(NamedTuple):
    """Opens a link: who dials."""

    schema_version: int = 0
    vm: str = ""
    role: str = ""
    data_centre: str = ""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    nonce: bytes = b""


class HelloAck(NamedTuple):
    """Answers `Hello`: who was dialled, and proof that it knows the link secret."""

    schema_version: int = 0
    vm: str = ""
    role: str = ""
    data_centre: str = ""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    nonce: bytes = b""
    proof: bytes = b""


class HelloConfirm(NamedTuple):
    """Ends the handshake with the dialler's proof."""

    proof: bytes = b""


class Credit(NamedTuple):
    """Allows the peer to send that many further bytes of chunk data on the stream."""

    size_bytes: int = 0


class StreamClosed(NamedTuple):
    """The sender has closed the stream; a code other than 0 says why."""

    code: int = 0
    """Code of the refusal or failure; empty when there is none."""
    reason: str = ""


class Reserve(NamedTuple):
    """Asks a sidecar for room for one attempt at a request."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    model: str = ""
    """Name of a model; empty for a plain service."""
    service: str = ""
    """Name of a plain service; empty for a model."""
    customer: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    time_limit_s: float = 0.0
    """Seconds left until the time limit of the whole request."""
    idempotent: bool = False
    priority: int = 0
    body_size_bytes: int = 0
    generation: int = 0
    """Generation of the bundle in force at the sender."""
    commit_now: bool = False
    """Whether the reservation is committed by the same message; only for idempotent requests."""
    shown_tokens: int = 0
    """Tokens of an earlier attempt that the caller has seen; the run resumes after them."""
    operation: str = ""
    """Method and path that the caller used, such as ``POST /v1/completions``."""
    segment_tokens: int = 0
    """Tokens of the prompt that this engine computes as its segment of a span; 0 for the whole
    prompt. `prompt_tokens` then ends with the segment; no output is asked of any but the last."""
    starts_in_s: float = 0.0
    """In how many seconds the segments before it are expected to be done."""
    import_handles: tuple[str, ...] = ()
    """KV exports of the segments before it, in prompt order, in this and the next two fields."""
    import_sources: tuple[str, ...] = ()
    """Addresses of their engines."""
    import_tokens: tuple[int, ...] = ()
    max_wait_s: float = 0.0
    """How long other work may delay the first token; refused as ``busy`` beyond. 0: any time."""


class Reserved(NamedTuple):
    """Room is kept until it lapses on the clock of the sidecar."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    predicted_first_token_s: float = 0.0
    predicted_total_s: float = 0.0
    lapse_s: float = 0.0
    """After how many seconds the reservation lapses."""
    cached_tokens: int = 0
    engine_address: str = ""
    """Where other engines fetch KV exports of the sidecar's engine; only for spans."""


class Refused(NamedTuple):
    """The sidecar takes no part of the attempt; it has not run."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    code: str = ""
    """Code of the refusal or failure; empty when there is none."""
    limit: float = 0.0
    measured: float = 0.0
    retry_after_s: float = 0.0
    detail: str = ""


class Commit(NamedTuple):
    """Spends a reservation; the request's body follows as chunks."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    time_limit_s: float = 0.0
    """Seconds left until the time limit of the whole request."""


class Chunk(NamedTuple):
    """A piece of a request body or of an answer."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    sequence: int = 0
    """Number of the chunk, from 0."""
    tokens: int = 0
    """Tokens in the chunk; 0 for plain bytes."""
    data: bytes = b""


class End(NamedTuple):
    """The end mark of an answer."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    outcome: str = ""
    """One of `Outcome`."""
    chunks: int = 0
    """How many chunks the answer has; the reader checks that it got them all."""
    status: int = 0
    """HTTP status."""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""
    code: str = ""
    """Code of the refusal or failure; empty when there is none."""
    detail: str = ""
    retry_after_s: float = 0.0
    content_type: str = ""


class Cancel(NamedTuple):
    """Gives an attempt up: a reservation is released, a run is cancelled and freed."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    reason: str = ""


class Query(NamedTuple):
    """Asks an incarnation what became of an attempt, and may void it there."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    void_if_uncommitted: bool = False


class QueryReply(NamedTuple):
    """Answers `Query`."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    state: str = ""
    """One of `AttemptState`."""


class Attach(NamedTuple):
    """Asks for the chunks of a committed attempt from a sequence number on."""

    request_id: str = ""
    """Name of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Number of the attempt, counted by the entry from 1."""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    from_sequence: int = 0
    time_limit_s: float = 0.0
    """Seconds left until the time limit of the whole request."""


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


class Ping(NamedTuple):
    """Asks for a sign of life."""

    nonce: int = 0


class Pong(NamedTuple):
    """Answers `Ping`."""

    nonce: int = 0


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


Message: TypeAlias = (
    Hello
    | HelloAck
    | HelloConfirm
    | Credit
    | StreamClosed
    | Reserve
    | Reserved
    | Refused
    | Commit
    | Chunk
    | End
    | Cancel
    | Query
    | QueryReply
    | Attach
    | LoadReport
    | HeadNotice
    | PartsRequest
    | PartsReply
    | AdminCall
    | AdminReturn
    | Ping
    | Pong
    | ClaimRequest
    | ClaimReply
    | SliceRequest
    | SliceReply
    | PlacementOrder
    | PlacementReply
)
"""Any message of the peer protocol."""


class Frame(NamedTuple):
    """One message on its stream."""

    stream: int
    """Stream on the link; 0 carries the link's own messages and notices."""
    stamp: int
    """Hybrid logical stamp of the sender."""
    message: Message
