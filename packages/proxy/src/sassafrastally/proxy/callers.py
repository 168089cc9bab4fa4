"""Callers' connections: requests are read, checked and handed to the request path."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING, ClassVar, NamedTuple

import h11
import trio

from sassafrastally.core import Service
from sassafrastally.proxy.attempt import Request
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.early_listener import BACKLOG
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, watch_silence
from sassafrastally.proxy.log_events import ConnectionCrashed, ProcessDraining, RequestMalformed
from sassafrastally.proxy.model import RequestLimits
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.refusals import (
    BODY_TOO_LARGE,
    HEADER_TOO_LARGE,
    MALFORMED,
    TOO_SLOW,
    Refusal,
    refusal_body,
)
from sassafrastally.proxy.reply import Reply

if TYPE_CHECKING:
    import socket

    from sassafrastally.proxy.dialect import Dialect, Headers
    from sassafrastally.proxy.settings import ProxySettings

FIRST_LIMITS = RequestLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_time_s=3.0, idle_time_s=15.0
)
"""Limits until a configuration is known; the usual ones of operators."""

ACCEPT_AFTER_SIGNAL_S = 2.6
"""The balancer asks for readiness each second and takes a VM out after two misses, so new
connections come for a little over two seconds after the signal to stop."""

LAST_REQUEST_S = 2.9
"""Requests on kept connections are taken until this long after the signal to stop; after that the
idle ones are closed. A request that is sent just before the end would be cut with the process."""

TRACE_FRAMES = 12
"""Frames of a fault's trace in the log; the innermost ones name its place."""

STOP_MARGIN_S = 0.5
"""Time left between the last answer and the kill."""


class BadRequest(NamedTuple):
    """Why a request is turned away before it is understood."""

    refusal: Refusal
    problem: str


class Callers(Service):
    """Accepts callers' connections.

    Parameters
    ----------
    settings
        Addresses and bounds of the process.
    dialect
        Translator of headers.
    listener
        The port, if it is open already.
    """

    name: ClassVar[str] = "callers"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "path")

    def __init__(
        self, settings: ProxySettings, dialect: Dialect, listener: socket.socket | None = None
    ) -> None:
        self.open_requests = 0
        """Requests that were read and have no complete answer yet."""
        self._settings = settings
        self._dialect = dialect
        self._open_listener = listener
        self._stopping_since_s: float | None = None
        self._reading: set[trio.CancelScope] = set()
        self._is_closing_idle = False
        self._listener_scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._path = self.kernel.get("path", RequestPath)
        nursery.start_soon(self._listen, [await self._listener()], nursery)

    async def _listener(self) -> trio.SocketListener:
        if self._open_listener is not None:
            return trio.SocketListener(trio.socket.from_stdlib_socket(self._open_listener))
        address = self._settings.callers_address
        listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=BACKLOG)
        return listeners[0]

    async def stop(self) -> None:
        """Finish what runs.

        The balancer still sends callers for a while, and callers go on using open connections.
        Both are served until they had time to move; then idle connections are closed, and the
        process waits for answers under way.
        """
        begin_s = self.kernel.clock.now_s()
        self._stopping_since_s = begin_s
        stop_time_s = self._settings.bounds.stop_time_s
        self.kernel.events.emit(ProcessDraining(self.open_requests, stop_time_s))
        await trio.sleep(ACCEPT_AFTER_SIGNAL_S)
        self._listener_scope.cancel()
        await trio.sleep_until(begin_s + LAST_REQUEST_S)
        self._is_closing_idle = True
        for scope in list(self._reading):
            scope.cancel()
        with trio.move_on_at(begin_s + stop_time_s - STOP_MARGIN_S):
            while self.open_requests:
                await trio.sleep(0.02)

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self._stopping_since_s is not None

    async def _listen(
        self, listeners: list[trio.SocketListener], connections: trio.Nursery
    ) -> None:
        # Connections run in the kernel's nursery, so that they outlive the listener at a stop.
        with self._listener_scope:
            await trio.serve_listeners(self.serve, listeners, handler_nursery=connections)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""
        watch_silence(stream)
        limits = self._limits()
        connection = HttpStream(stream, h11.SERVER, limits.header_bytes)
        try:
            while await self._serve_request(connection):
                connection.http.start_next_cycle()
        except ConnectionLost:
            # The caller has gone; whatever ran for it was logged and cancelled by the path.
            return
        except Exception:
            # A fault of the program met by one request would otherwise end the process and with it
            # the answers of all other callers. This caller's connection is closed without an end.
            self.kernel.events.emit(ConnectionCrashed(traceback.format_exc(limit=TRACE_FRAMES)))
        finally:
            await connection.close()

    def _limits(self) -> RequestLimits:
        configuration = self._beliefs.configuration
        return configuration.limits if configuration else FIRST_LIMITS

    async def _serve_request(self, connection: HttpStream) -> bool:
        """Serve one request; return whether the connection can take another."""
        reply = Reply(connection, lambda: self.is_stopping)
        try:
            request = await self._read_request(connection)
        except h11.RemoteProtocolError as cause:
            too_large = cause.error_status_hint == HEADER_TOO_LARGE.status
            refusal = HEADER_TOO_LARGE if too_large else MALFORMED
            await self._turn_away(reply, BadRequest(refusal, str(cause)))
            return False
        if request is None:
            return False
        if isinstance(request, BadRequest):
            await self._turn_away(reply, request)
            return False
        self.open_requests += 1
        try:
            await self._answer(connection, request, reply)
        finally:
            self.open_requests -= 1
        return reply.has_ended and _can_continue(connection)

    async def _answer(self, connection: HttpStream, request: Request, reply: Reply) -> None:
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_departure, connection, nursery.cancel_scope)
            try:
                await self._path.answer(request, reply)
            except Exception as cause:
                # Carried out of the nursery, which would wrap it in a group.
                failure = cause
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _watch_departure(self, connection: HttpStream, answering: trio.CancelScope) -> None:
        """Stop answering when the caller closes its connection.

        A caller that sends its next request early is left alone: what it sent is kept, and its
        departure then shows when the answer is written.
        """
        try:
            goes_on = await connection.receive_bytes()
        except ConnectionLost:
            goes_on = False
        if not goes_on:
            answering.cancel()

    async def _read_request(self, connection: HttpStream) -> Request | BadRequest | None:
        """Return the next request; ``None`` when the connection ends between requests."""
        limits = self._limits()
        if not await self._wait_for_bytes(connection, limits.idle_time_s):
            return None
        arrived_s = self.kernel.clock.now_s()
        with trio.move_on_after(limits.header_time_s):
            event = await connection.receive()
            if not isinstance(event, h11.Request):
                return None
            return await self._read_body(connection, event, arrived_s, limits)
        return BadRequest(TOO_SLOW, f"not complete after {limits.header_time_s} s")

    async def _wait_for_bytes(self, connection: HttpStream, idle_time_s: float) -> bool:
        """Return whether a request begins; cancelled when idle connections are closed."""
        if connection.http.trailing_data[0]:
            return True
        if self._is_closing_idle:
            return False
        with trio.move_on_after(idle_time_s) as scope:
            self._reading.add(scope)
            try:
                return await connection.receive_bytes()
            except ConnectionLost:
                return False
            finally:
                self._reading.discard(scope)
        return False

    async def _read_body(
        self, connection: HttpStream, head: h11.Request, arrived_s: float, limits: RequestLimits
    ) -> Request | BadRequest:
        headers: Headers = list(head.headers)
        if _header_size(head) > limits.header_bytes:
            # The parser only bounds what it waits for, not a header that arrives at once.
            return BadRequest(HEADER_TOO_LARGE, f"over {limits.header_bytes} bytes")
        problem = _framing_problem(headers)
        if problem:
            return BadRequest(MALFORMED, problem)
        if _declared_length(headers) > limits.body_bytes:
            return BadRequest(BODY_TOO_LARGE, f"over {limits.body_bytes} bytes")
        if connection.http.they_are_waiting_for_100_continue:
            await connection.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while True:
            event = await connection.receive()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    return BadRequest(BODY_TOO_LARGE, f"over {limits.body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise ConnectionLost("closed within a request")
        try:
            facts = self._dialect.read_request(headers)
        except DocumentInvalid as cause:
            return BadRequest(MALFORMED, cause.detail)
        return Request(head.method, head.target, headers, bytes(body), facts, arrived_s)

    async def _turn_away(self, reply: Reply, bad: BadRequest) -> None:
        self.kernel.events.emit(RequestMalformed(bad.refusal.status, bad.problem))
        body = refusal_body(bad.refusal, "", bad.problem)
        await reply.whole(
            bad.refusal.status,
            [(b"content-type", b"application/problem+json"), (b"connection", b"close")],
            body,
        )


def _header_size(head: h11.Request) -> int:
    """Return the bytes of a header as they stood on the wire, about."""
    separators = len(": \r\n")
    fields = sum(len(name) + len(value) + separators for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _framing_problem(headers: Headers) -> str:
    """Return what is wrong with the declared length of a body.

    A request with both a length and chunks is read differently by different servers; what one
    takes for the body, another takes for a further request.
    """
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return "both a length and a transfer encoding"
    if names.count(b"host") != 1:
        return "not exactly one host"
    return ""


def _declared_length(headers: Headers) -> int:
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


def _can_continue(connection: HttpStream) -> bool:
    http = connection.http
    return http.our_state is h11.DONE and http.their_state is h11.DONE
