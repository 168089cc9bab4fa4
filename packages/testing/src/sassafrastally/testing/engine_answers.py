"""HTTP answers of the model engine's server: one run, streamed or whole."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from quart import Response, request

from sassafrastally.sidecar.engine import EngineFailed, EngineRefused
from sassafrastally.testing.engine_chunks import (
    CHAT_PATH,
    COMPLETION_PATH,
    AnswerForm,
    compact_json,
)
from sassafrastally.testing.engine_prompt import parse_prompt
from sassafrastally.testing.engine_run import RunRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from quart_trio import QuartTrio

    from sassafrastally.testing.engine_model import EngineModel
    from sassafrastally.testing.engine_run import Run

MAX_JOINED_EVENTS = 64
"""Most events that are ready together and leave in one write."""

END_MARK = b"data: [DONE]\n\n"

_SCOPE_KEY = "sassafrastally.run"


class StreamOptions(NamedTuple):
    """The published ``stream_options``."""

    include_usage: bool
    """Whether a last event has the usage."""
    continuous_usage_stats: bool
    """Whether each event counts the tokens so far."""


def add_completions(app: QuartTrio, model: EngineModel) -> None:
    """Add the two completion paths to an application."""
    numbers = itertools.count(1)

    @app.post(COMPLETION_PATH)
    @app.post(CHAT_PATH)
    async def complete() -> Response:
        body = cast("bytes", await request.get_data(as_text=False))
        document = await request.get_json(force=True)
        stream_id = request.headers.get("X-Request-Id") or f"cmpl-{next(numbers)}"
        try:
            run = model.submit(_run_request(stream_id, body, document))
        except (AttributeError, TypeError, ValueError) as cause:
            raise EngineRefused(f"bad body: {cause}") from cause
        cast("dict[str, Any]", request.scope)[_SCOPE_KEY] = run
        is_chat = request.path == CHAT_PATH
        form = AnswerForm(stream_id, run.request.model, run.request.prompt.seed, is_chat)
        if not run.request.prompt.is_streamed:
            return await _answer_whole(run, form)
        options = document.get("stream_options") or {}
        events = _events(run, form, _stream_options(options))
        return Response(events, content_type="text/event-stream")

    app.asgi_app = _cancelling(app.asgi_app, model)  # type: ignore[method-assign]


def _cancelling(
    inner: Callable[..., Coroutine[Any, Any, None]], model: EngineModel
) -> Callable[..., Coroutine[Any, Any, None]]:
    # A caller may go between the start of its run and the first look at the answer's generator;
    # the generator's own `finally` never runs then, and the run would go on to its end for nobody.
    async def asgi_app(scope: Any, receive: Any, send: Any) -> None:
        try:
            await inner(scope, receive, send)
        finally:
            run: Run | None = scope.get(_SCOPE_KEY)
            if run is not None and not run.is_held:
                model.cancel_run(run)

    return asgi_app


def _run_request(stream_id: str, body: bytes, document: dict[str, Any]) -> RunRequest:
    prefill = document.get("prefill_tokens")
    return RunRequest(
        stream_id=stream_id,
        model=str(document.get("model", "")),
        prompt=parse_prompt(body),
        priority=int(document.get("priority", 0)),
        resume_from_tokens=int(document.get("resume_from_tokens", 0)),
        import_handles=tuple(map(str, document.get("import_handles", ()))),
        prefill_tokens=None if prefill is None else int(prefill),
    )


def _stream_options(document: dict[str, Any]) -> StreamOptions:
    return StreamOptions(
        bool(document.get("include_usage")), bool(document.get("continuous_usage_stats"))
    )


async def _answer_whole(run: Run, form: AnswerForm) -> Response:
    try:
        tokens = await run.receive_whole()
    except EngineFailed as cause:
        return _json(form.error(cause.detail), 500)
    if run.usage is None:
        return _json(form.error("the run ended without its end mark"), 500)
    return _json(form.whole(tokens, run.usage), 200)


def _json(document: dict[str, Any], status: int) -> Response:
    return Response(compact_json(document), status, content_type="application/json")


async def _events(run: Run, form: AnswerForm, options: StreamOptions) -> AsyncIterator[bytes]:
    try:
        while tokens := await run.receive():
            events = []
            while tokens:
                document = form.chunk(tokens, run.usage_after(tokens))
                if options.continuous_usage_stats:
                    shown = tokens.first + tokens.tokens - run.request.resume_from_tokens
                    document["usage"] = {"completion_tokens": shown}
                events.append(_event(document))
                tokens = run.receive_ready() if len(events) < MAX_JOINED_EVENTS else None
            yield b"".join(events)
    except EngineFailed as cause:
        yield _event(form.error(cause.detail))
        return
    if run.usage is None:
        return
    if options.include_usage:
        yield _event(form.usage_chunk(run.usage)) + END_MARK
    else:
        yield END_MARK


def _event(document: dict[str, Any]) -> bytes:
    return b"data: " + compact_json(document) + b"\n\n"
