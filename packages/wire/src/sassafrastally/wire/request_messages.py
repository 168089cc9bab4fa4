"""Messages of the request path between entries and sidecars."""

from __future__ import annotations

from typing import NamedTuple


class Reserve(NamedTuple):
    """Asks a sidecar to reserve capacity for one attempt of a request."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    model: str = ""
    """Name of a model; empty for a plain service."""
    service: str = ""
    """Name of a plain service; empty for a model."""
    customer: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    time_limit_s: float = 0.0
    """Seconds remaining until the time limit of the whole request."""
    idempotent: bool = False
    priority: int = 0
    body_size_bytes: int = 0
    generation: int = 0
    """Generation of the sender's active bundle."""
    commit_now: bool = False
    """Whether the reservation is committed by the same message; only for idempotent requests."""
    shown_tokens: int = 0
    """Tokens of an earlier attempt that were sent to the caller; generation resumes after them."""
    operation: str = ""
    """Method and path of the caller's request, such as ``POST /v1/completions``."""
    segment_tokens: int = 0
    """Prompt tokens that this engine computes as its segment of a span; 0 for the whole prompt.
    `prompt_tokens` then ends with the segment; only the last segment generates output."""
    starts_in_s: float = 0.0
    """Expected seconds until the preceding segments are done."""
    import_handles: tuple[str, ...] = ()
    """KV exports of the preceding segments in prompt order, in this and the next two fields."""
    import_sources: tuple[str, ...] = ()
    """Addresses of the exporting engines."""
    import_tokens: tuple[int, ...] = ()
    max_wait_s: float = 0.0
    """Maximum delay of the first token by other work; refused as ``busy`` above it. 0: no limit."""


class Reserved(NamedTuple):
    """Capacity is reserved until the reservation expires by the sidecar's clock."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    predicted_first_token_s: float = 0.0
    predicted_total_s: float = 0.0
    lapse_s: float = 0.0
    """Seconds until the reservation expires."""
    cached_tokens: int = 0
    engine_address: str = ""
    """Address where other engines fetch KV exports of the sidecar's engine; only for spans."""


class Refused(NamedTuple):
    """The sidecar refuses the attempt, which was not executed."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    code: str = ""
    """Code of the refusal or failure; empty if there is none."""
    limit: float = 0.0
    measured: float = 0.0
    retry_after_s: float = 0.0
    detail: str = ""


class Commit(NamedTuple):
    """Commits a reservation; the request body follows as chunks."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    time_limit_s: float = 0.0
    """Seconds remaining until the time limit of the whole request."""


class Chunk(NamedTuple):
    """Part of a request body or a response."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    sequence: int = 0
    """Sequence number of the chunk, starting at 0."""
    tokens: int = 0
    """Number of tokens in the chunk; 0 for plain bytes."""
    data: bytes = b""


class End(NamedTuple):
    """End of a response."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    outcome: str = ""
    """One of `Outcome`."""
    chunks: int = 0
    """Number of chunks in the response; the reader checks that it received all of them."""
    status: int = 0
    """HTTP status."""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""
    code: str = ""
    """Code of the refusal or failure; empty if there is none."""
    detail: str = ""
    retry_after_s: float = 0.0
    content_type: str = ""


class Cancel(NamedTuple):
    """Cancels an attempt: releases its reservation, or aborts its run and frees the resources."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    reason: str = ""


class Query(NamedTuple):
    """Queries an incarnation for the state of an attempt, and optionally voids the attempt."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    void_if_uncommitted: bool = False


class QueryReply(NamedTuple):
    """Response to `Query`."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    state: str = ""
    """One of `AttemptState`."""


class Attach(NamedTuple):
    """Requests the chunks of a committed attempt, starting at a sequence number."""

    request_id: str = ""
    """Id of the request, 32 hexadecimal digits."""
    attempt: int = 0
    """Attempt number, assigned by the entry and starting at 1."""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    from_sequence: int = 0
    time_limit_s: float = 0.0
    """Seconds remaining until the time limit of the whole request."""
