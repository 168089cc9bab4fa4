"""Quart application of the callers' interface."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import trio
from quart import Response, request
from quart_trio import QuartTrio

from sassafrastally.entry.bodies import read_body
from sassafrastally.entry.callers import Callers
from sassafrastally.entry.claiming import covering_unread_key
from sassafrastally.entry.connection import EntryConnection, EntryRequest
from sassafrastally.entry.hooks import RefusedCall, seal_receipt
from sassafrastally.entry.problems import (
    OUTCOME,
    REQUEST_ID,
    Problem,
    make_problem,
    problem_body,
    problem_event,
    problem_headers,
)
from sassafrastally.entry.relay import EVENT_STREAM, JSON, STREAM_DONE
from sassafrastally.entry.request import (
    CHAT_COMPLETIONS,
    COMPLETIONS,
    IDEMPOTENCY_KEY,
    CallerRequest,
    read_completion,
    read_options,
    read_service_call,
)
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Figures, Refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.control.bundle import BundleInForce, Customer, PlainService
    from sassafrastally.entry.path import RequestPath
    from sassafrastally.entry.relay import Answer

ANY_METHOD = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

_UNAVAILABLE = 503


class Call(NamedTuple):
    """An authenticated HTTP call."""

    arrived_s: float
    """Arrival time, on the entry's monotonic clock."""
    in_force: BundleInForce
    customer: Customer


class Routes:
    """Handlers of the callers' interface.

    Parameters
    ----------
    path
        The request path that executes the calls.
    """

    def __init__(self, path: RequestPath) -> None:
        self._path = path
        self._callers = Callers()

    def make_app(self) -> QuartTrio:
        """Return the application."""
        app = QuartTrio("sassafrastally.entry", static_folder=None)
        app.asgi_http_class = EntryConnection
        app.request_class = EntryRequest
        # The request path limits body sizes and times as the bundle sets them. Quart's default
        # limits would abort long responses after a minute.
        app.config.update(MAX_CONTENT_LENGTH=None, BODY_TIMEOUT=None, RESPONSE_TIMEOUT=None)
        add = app.add_url_rule
        add("/v1/completions", "completions", self.completions, methods=["POST"])
        add("/v1/chat/completions", "chat", self.chat_completions, methods=["POST"])
        add("/v1/models", "models", self.models, methods=["GET"])
        add("/healthz", "healthz", self.healthz, methods=["GET"])
        add("/readyz", "readyz", self.readyz, methods=["GET"])
        options: dict[str, Any] = {"methods": ANY_METHOD, "provide_automatic_options": False}
        add("/services/<name>", "service", self.call_service, **options)
        add("/services/<name>/<path:rest>", "service_path", self.call_service, **options)
        return app

    async def healthz(self) -> Response:
        """Report that the process is running."""
        return Response(b"ok\n", content_type="text/plain")

    async def readyz(self) -> Response:
        """Report to the load balancer whether the entry is ready for requests."""
        if self._path.is_ready:
            return Response(b"ready\n", content_type="text/plain")
        return Response(b"not ready\n", _UNAVAILABLE, content_type="text/plain")

    async def models(self) -> Response:
        """List the models that the customer may use."""
        try:
            call = self._identify(trio.current_time())
        except Refusal as refusal:
            return self._problem_response(refusal, RefusedCall())
        allowed = call.customer.models
        listed = [
            {"id": model.name, "object": "model", "owned_by": call.in_force.bundle.name}
            for model in call.in_force.bundle.models
            if not allowed or model.name in allowed
        ]
        return Response(json.dumps({"object": "list", "data": listed}), content_type=JSON)

    async def completions(self) -> Response:
        """Serve a completion."""
        return await self._complete(COMPLETIONS)

    async def chat_completions(self) -> Response:
        """Serve a chat completion."""
        return await self._complete(CHAT_COMPLETIONS)

    async def call_service(self, name: str, rest: str = "") -> Response:
        """Forward a call to a plain service."""
        arrived_s = trio.current_time()
        call: Call | None = None
        try:
            call = self._identify(arrived_s)
            service = _find_service(name, call.in_force)
            limits = call.in_force.bundle.limits
            options = read_options(
                request.headers,
                service.time_limit_s,
                min(service.time_limit_s, limits.max_time_limit_s),
            )
            body = await self._read_body(limits.max_body_bytes, arrived_s + options.time_limit_s)
            path = "/" + rest
            if query := request.query_string.decode("latin-1"):
                path += "?" + query
            caller_request = read_service_call(
                body, request.method, path, options, call.customer, service, arrived_s
            )
            return await self._answer(caller_request)
        except Refusal as refusal:
            return self._problem_response(refusal, _refused_call(call))

    async def _complete(self, operation: str) -> Response:
        arrived_s = trio.current_time()
        call: Call | None = None
        try:
            call = self._identify(arrived_s)
            limits = call.in_force.bundle.limits
            options = read_options(
                request.headers, limits.default_time_limit_s, limits.max_time_limit_s
            )
            body = await self._read_body(limits.max_body_bytes, arrived_s + options.time_limit_s)
            caller_request = read_completion(
                body, operation, options, call.customer, call.in_force.bundle, arrived_s
            )
            return await self._answer(caller_request)
        except Refusal as refusal:
            return self._problem_response(refusal, _refused_call(call))

    def _identify(self, arrived_s: float) -> Call:
        with covering_unread_key(request.headers.get(IDEMPOTENCY_KEY)):
            in_force = self._path.bundle()
        customer = self._callers.customer(in_force, request.headers.get("Authorization"))
        return Call(arrived_s, in_force, customer)

    async def _read_body(self, max_bytes: int, deadline_s: float) -> bytes:
        declared_bytes = request.content_length
        if declared_bytes is not None and declared_bytes > max_bytes:
            raise Refusal("body-too-large", Figures(max_bytes, declared_bytes))
        with covering_unread_key(request.headers.get(IDEMPOTENCY_KEY)):
            return await read_body(request.body, self._path.bodies, max_bytes, deadline_s)

    async def _answer(self, caller_request: CallerRequest) -> Response:
        """Execute the request and respond; the request ends once the response is sent."""
        caller_request = caller_request._replace(request_id=self._path.new_id())
        stack = cast("EntryRequest", request._get_current_object()).stack  # type: ignore[attr-defined]
        try:
            answer = await stack.enter_async_context(self._path.open(caller_request))
            if caller_request.is_streamed:
                return self._stream_response(answer, caller_request)
            body = b"".join([data async for data in answer])
        except Refusal as refusal:
            refused = RefusedCall(caller_request.request_id, caller_request.customer.name)
            return self._problem_response(refusal, refused)
        response = Response(body, answer.head.status, content_type=answer.head.content_type)
        response.headers[REQUEST_ID] = answer.request_id
        response.headers[OUTCOME] = str(Outcome.COMPLETED)
        return response

    def _stream_response(self, answer: Answer, caller_request: CallerRequest) -> Response:
        head = answer.head
        events = self._events(answer, caller_request)
        response = Response(events, head.status, content_type=head.content_type)
        response.headers["Cache-Control"] = "no-store"
        response.headers[REQUEST_ID] = answer.request_id
        return response

    async def _events(self, answer: Answer, caller_request: CallerRequest) -> AsyncIterator[bytes]:
        try:
            async for data in answer:
                yield data
        except Refusal as refusal:
            refused = RefusedCall(answer.request_id, caller_request.customer.name)
            yield problem_event(self._problem(refusal, refused))
            return
        if answer.head.content_type.startswith(EVENT_STREAM):
            yield STREAM_DONE

    def _problem_response(self, refusal: Refusal, refused: RefusedCall) -> Response:
        return _respond(self._problem(refusal, refused))

    def _problem(self, refusal: Refusal, refused: RefusedCall) -> Problem:
        kernel, bundle = self._path.kernel, self._path.bundle_source
        receipt = seal_receipt(kernel, bundle, refusal, refused)
        return make_problem(refusal, refused.request_id, receipt)


def _refused_call(call: Call | None) -> RefusedCall:
    return RefusedCall(customer=call.customer.name if call else "")


def _respond(problem: Problem) -> Response:
    headers = problem_headers(problem)
    return Response(problem_body(problem), problem["status"], headers)


def _find_service(name: str, in_force: BundleInForce) -> PlainService:
    service = next((item for item in in_force.bundle.services if item.name == name), None)
    if service is None:
        raise Refusal("unknown-service", Figures(detail=f"Asked for: {name[:100]}."))
    return service
