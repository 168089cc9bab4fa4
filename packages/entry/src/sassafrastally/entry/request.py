"""Parsing and validation of callers' requests, before they reach any engine."""

from __future__ import annotations

import json
import math
import re
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn, Protocol

from sassafrastally.core import RequestId
from sassafrastally.serving.prompt import (
    BYTES_PER_TOKEN,
    MAX_TOKEN_ID,
    PromptShape,
    shape_of_text,
    shape_of_tokens,
)
from sassafrastally.serving.refusals import Figures, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sassafrastally.control.bundle import Bundle, Customer, Limits, Model, PlainService

IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENT = "Sassafrastally-Idempotent"
TIME_LIMIT = "Sassafrastally-Time-Limit-S"

COMPLETIONS = "POST /v1/completions"
CHAT_COMPLETIONS = "POST /v1/chat/completions"

MAX_BYTES_PER_TOKEN = 128
"""Most UTF-8 bytes in one token: the longest entry of the vocabularies in use. Gives a lower bound
on the number of tokens in a text."""

_KEY_FORM = re.compile(r"[\x21-\x7e]{1,128}")
_MAX_DEPTH_DETAIL = "The body is nested too deeply."


class CallOptions(NamedTuple):
    """Options that a caller sets by headers."""

    time_limit_s: float
    is_idempotent: bool
    key: str
    """Idempotency key; empty when there is none."""


class CallerRequest(NamedTuple):
    """A validated request of a caller."""

    customer: Customer
    arrived_s: float
    """Arrival time, on the entry's monotonic clock."""
    time_limit_s: float
    """Seconds from arrival within which the complete answer must be delivered."""
    operation: str
    """Method and path with query."""
    body: bytes
    model: str = ""
    """Name of a model; empty for a plain service."""
    service: str = ""
    """Name of a plain service; empty for a model."""
    is_idempotent: bool = True
    is_streamed: bool = False
    key: str = ""
    """Idempotency key; empty when there is none."""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    request_id: RequestId = RequestId("")
    """ID of the request; the request path generates one if it is empty."""

    @property
    def target(self) -> str:
        """Name of the model or plain service."""
        return self.model or self.service

    @property
    def deadline_s(self) -> float:
        """When the time limit ends, on the entry's monotonic clock."""
        return self.arrived_s + self.time_limit_s


def bad_request(detail: str) -> NoReturn:
    """Raise the refusal of a malformed request."""
    raise Refusal("bad-request", Figures(detail=detail))


class HeaderSource(Protocol):
    """Headers of a call, with case-insensitive names."""

    def get(self, name: str, /) -> str | None:
        """Return the value of a header."""
        ...


def read_options(headers: HeaderSource, default_s: float, max_s: float) -> CallOptions:
    """Read the headers that are common to all calls.

    Parameters
    ----------
    headers
        Headers of the call, with case-insensitive names.
    default_s
        Time limit if the caller sets none.
    max_s
        Longest time limit that is accepted.

    Raises
    ------
    Refusal
        If a header is malformed.
    """
    time_limit_s = _read_time_limit(headers.get(TIME_LIMIT), default_s, max_s)
    idempotent_text = (headers.get(IDEMPOTENT) or "true").strip().lower()
    if idempotent_text not in ("true", "false"):
        bad_request(f"{IDEMPOTENT} must be true or false.")
    key = headers.get(IDEMPOTENCY_KEY)
    if key is not None and not _KEY_FORM.fullmatch(key):
        bad_request(f"{IDEMPOTENCY_KEY} must be 1 to 128 visible ASCII characters.")
    return CallOptions(time_limit_s, idempotent_text == "true", key or "")


def read_completion(
    body: bytes,
    operation: str,
    options: CallOptions,
    customer: Customer,
    bundle: Bundle,
    arrived_s: float,
) -> CallerRequest:
    """Parse and validate a call of the completions interface.

    Raises
    ------
    Refusal
        If the body is malformed, the model is unknown or not allowed, or the prompt is too long.
    """
    fields = _read_object(body)
    if "\\ud" in body.decode().lower():
        _check_surrogates(fields)
    model = _allowed_model(_read_string(fields, "model"), customer, bundle)
    is_streamed = _read_bool(fields, "stream")
    _check_numbers(fields)
    max_output_tokens = _read_max_output(fields, bundle.limits)
    shape = _SHAPES[operation](fields)
    _check_length(shape, max_output_tokens or 1, model)
    remaining_tokens = max(1, model.max_context_tokens - shape.tokens)
    return CallerRequest(
        customer=customer,
        arrived_s=arrived_s,
        time_limit_s=options.time_limit_s,
        operation=operation,
        body=body,
        model=model.name,
        is_idempotent=options.is_idempotent,
        is_streamed=is_streamed,
        key=options.key,
        prompt_tokens=shape.tokens,
        max_output_tokens=max_output_tokens
        or min(remaining_tokens, bundle.limits.max_output_tokens),
        prefix_hashes=shape.prefix_hashes,
    )


def read_service_call(
    body: bytes,
    method: str,
    path: str,
    options: CallOptions,
    customer: Customer,
    service: PlainService,
    arrived_s: float,
) -> CallerRequest:
    """Build the request of a call to a plain service.

    The bundle defines which methods are idempotent; a caller can only restrict this further.
    """
    is_idempotent = options.is_idempotent and method in service.idempotent_methods
    return CallerRequest(
        customer=customer,
        arrived_s=arrived_s,
        time_limit_s=options.time_limit_s,
        operation=f"{method} {path}",
        body=body,
        service=service.name,
        is_idempotent=is_idempotent,
        key=options.key,
    )


def _read_time_limit(text: str | None, default_s: float, max_s: float) -> float:
    if text is None:
        return min(default_s, max_s)
    try:
        value = float(text)
    except ValueError:
        bad_request(f"{TIME_LIMIT} must be a number of seconds.")
    if not math.isfinite(value) or value <= 0:
        bad_request(f"{TIME_LIMIT} must be a finite number above 0.")
    if value > max_s:
        bad_request(f"{TIME_LIMIT} must be at most {max_s:g}.")
    return value


def _reject_constant(name: str) -> NoReturn:
    bad_request(f"The body holds {name}, which is no JSON number.")


def _read_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body.decode(), parse_constant=_reject_constant)
    except RecursionError:
        bad_request(_MAX_DEPTH_DETAIL)
    except ValueError as cause:
        bad_request(f"The body is no JSON: {cause}.")
    if not isinstance(value, dict):
        bad_request("The body must be a JSON object.")
    return value


def _read_string(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        bad_request(f"{name} must be a string and not empty.")
    return value


def _read_bool(fields: Mapping[str, Any], name: str) -> bool:
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        bad_request(f"{name} must be true or false.")
    return bool(value)


def _check_surrogates(fields: Mapping[str, Any]) -> None:
    """Refuse escaped lone surrogates: they are valid JSON but can't be encoded as UTF-8."""
    try:
        json.dumps(fields, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        bad_request("The body holds half a surrogate pair.")


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _check_numbers(fields: Mapping[str, Any]) -> None:
    """Check the sampling fields that all engines support; the engine checks any others."""
    for name, low, high in (("temperature", 0.0, 2.0), ("top_p", 0.0, 1.0)):
        value = fields.get(name)
        if value is None:
            continue
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            bad_request(f"{name} must be a number from {low:g} to {high:g}.")
    for name in ("n", "best_of"):
        value = fields.get(name)
        if value is not None and (not _is_integer(value) or value != 1):
            bad_request(f"{name} must be 1: a request has one answer.")


def _read_max_output(fields: Mapping[str, Any], limits: Limits) -> int:
    """Return the output token limit set by the caller; 0 if it sets none."""
    for name in ("max_completion_tokens", "max_tokens"):
        value = fields.get(name)
        if value is None:
            continue
        if not _is_integer(value) or value < 1:
            bad_request(f"{name} must be a whole number above 0.")
        if value > limits.max_output_tokens:
            bad_request(f"{name} must be at most {limits.max_output_tokens}.")
        return int(value)
    return 0


def _allowed_model(name: str, customer: Customer, bundle: Bundle) -> Model:
    model = next((model for model in bundle.models if model.name == name), None)
    if model is None:
        raise Refusal("unknown-model", Figures(detail=f"Asked for: {name[:100]}."))
    if customer.models and name not in customer.models:
        raise Refusal("model-not-allowed", Figures(detail=f"Asked for: {name}."))
    return model


def _check_length(shape: PromptShape, output_tokens: int, model: Model) -> None:
    """Refuse a prompt that can't fit the context, however it is tokenized.

    Checking an estimate would refuse texts that fit. The engine refuses prompts that turn out too
    long only by its own token count.
    """
    min_tokens = shape.tokens if shape.is_exact else _min_tokens(shape.tokens)
    if min_tokens + output_tokens <= model.max_context_tokens:
        return
    counted = "" if shape.is_exact else f" No token has over {MAX_BYTES_PER_TOKEN} bytes."
    figures = Figures(
        limit=model.max_context_tokens,
        measured=min_tokens + output_tokens,
        detail=f"Least of prompt and answer asked for, together.{counted}",
    )
    raise Refusal("prompt-too-long", figures)


def _min_tokens(estimated_tokens: int) -> int:
    """Return a lower bound on the tokens of a text, computed from its estimated tokens."""
    min_bytes = (estimated_tokens - 1) * BYTES_PER_TOKEN + 1
    return -(-min_bytes // MAX_BYTES_PER_TOKEN)


def _completion_shape(fields: Mapping[str, Any]) -> PromptShape:
    prompt = fields.get("prompt")
    if isinstance(prompt, str) and prompt:
        return shape_of_text(prompt)
    if isinstance(prompt, list) and prompt and all(_is_integer(token) for token in prompt):
        if not all(0 <= token <= MAX_TOKEN_ID for token in prompt):
            bad_request(f"prompt's token numbers must be from 0 to {MAX_TOKEN_ID}.")
        return shape_of_tokens(prompt)
    return bad_request("prompt must be one string or one list of token numbers, not empty.")


def _chat_shape(fields: Mapping[str, Any]) -> PromptShape:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        bad_request("messages must be a list and not empty.")
    return shape_of_text("\n".join(_message_text(*item) for item in enumerate(messages)))


def _message_text(index: int, message: object) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        bad_request(f"messages[{index}] must be an object with a role.")
    content = message.get("content")
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        bad_request(f"messages[{index}].content must be a string or a list of parts.")
    texts = [part.get("text") for part in content if isinstance(part, dict)]
    if len(texts) != len(content) or not all(isinstance(text, str) for text in texts):
        bad_request(f"messages[{index}].content may hold parts of type text only.")
    return "".join(str(text) for text in texts)


_SHAPES: dict[str, Callable[[Mapping[str, Any]], PromptShape]] = {
    COMPLETIONS: _completion_shape,
    CHAT_COMPLETIONS: _chat_shape,
}
