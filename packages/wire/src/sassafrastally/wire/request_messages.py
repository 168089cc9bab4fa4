"""Messages of the request path, between entries and sidecars."""

from __future__ import annotations

from typing import NamedTuple


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
