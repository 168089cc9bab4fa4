"""One attempt at a backend server: the request sent, the answer read."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sassafrastally.core import CodedError, error
from sassafrastally.proxy.http_stream import ConnectionLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from sassafrastally.core import Address
    from sassafrastally.proxy.dialect import Dialect, Headers
    from sassafrastally.proxy.http_stream import HttpStream
    from sassafrastally.proxy.model import (
        AnswerFacts,
        AttemptTerms,
        BackendServer,
        RequestFacts,
        ServerAsks,
    )
    from sassafrastally.proxy.pool import ConnectionPool

SILENT = "nothing came in time"

FOREIGN_ANSWERS = 2
"""Answers to earlier requests that are passed over on one connection before it is given up."""


@error(10005)
class AttemptNotRun(CodedError):
    """The backend server has not run the request and never will."""

    server_at_fault: Address | None = None
    """Another backend server because of which it didn't."""
    is_unreachable = False
    """Whether no connection came about, so that nothing was sent."""
    is_servers_fault = True
    """Whether the failure says something about the server that was asked."""


@error(10006)
class AttemptUnknown(CodedError):
    """The attempt brought no whole answer; the request may have run."""

    is_silence = False
    """Whether nothing came in time, and nothing else went wrong."""


class Request(NamedTuple):
    """A caller's request with its whole body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    facts: RequestFacts
    arrived_s: float


class Answer:
    """An answer whose header has arrived.

    Attributes
    ----------
    status
        Its status.
    headers
        The backend server's header.
    facts
        What the header says.
    """

    def __init__(self, connection: HttpStream, response: h11.Response, facts: AnswerFacts) -> None:
        self.status = response.status_code
        self.headers: Headers = list(response.headers)
        self.facts = facts
        self._connection = connection

    async def chunk(self, silence_limit_s: float = math.inf) -> bytes | None:
        """Return the next piece of the body, ``None`` after the last.

        Parameters
        ----------
        silence_limit_s
            How long to wait for it.

        Raises
        ------
        AttemptUnknown
            When the body ends early or nothing comes in time.
        """
        with trio.move_on_after(silence_limit_s):
            while True:
                event = await _receive(self._connection)
                if isinstance(event, h11.Data):
                    return bytes(event.data)
                if isinstance(event, h11.EndOfMessage):
                    return None
        raise _silent()

    async def read(self) -> bytes:
        """Return the whole body; raises `AttemptUnknown` when it ends early."""
        body = b""
        while (chunk := await self.chunk()) is not None:
            body += chunk
        return body


class Attempts:
    """Sends requests to backend servers."""

    def __init__(self, dialect: Dialect, pool: ConnectionPool) -> None:
        self._dialect = dialect
        self._pool = pool
        self.on_answer: Callable[[BackendServer, ServerAsks], None] = lambda *_: None
        """Called with the header of each answer, before it is read further."""

    @property
    def pool(self) -> ConnectionPool:
        """Connections kept between attempts."""
        return self._pool

    @asynccontextmanager
    async def send(
        self,
        request: Request,
        terms: AttemptTerms,
        *,
        may_reuse: bool,
        waiting: trio.CancelScope | None = None,
    ) -> AsyncIterator[Answer]:
        """Send a request and give its answer; the connection is closed or kept at the end.

        Leaving the block early closes the connection, which makes the backend server stop.

        Parameters
        ----------
        request
            The caller's request.
        terms
            What is set for this attempt.
        may_reuse
            Whether a kept connection may be used. One that the server has dropped meanwhile looks
            the same as one on which the request was lost after it had begun to run, so requests
            that must not run twice take a new one.
        waiting
            Covers the wait for the answer's header; its deadline ends it, or its cancellation.

        Raises
        ------
        AttemptNotRun
            When it certainly hasn't run.
        AttemptUnknown
            When it may have run.
        """
        connection = await self._connection(terms.server, may_reuse)
        is_kept = False
        try:
            head = self._head(request, terms)
            answer = None
            with waiting or trio.CancelScope():
                answer = await self._exchange(connection, request, terms.server, head)
            if answer is None:
                raise _silent()
            yield answer
            is_kept = _is_reusable(connection)
        finally:
            if is_kept:
                await self._pool.put_back(terms.server, connection)
            else:
                await connection.close()

    async def _connection(self, server: BackendServer, may_reuse: bool) -> HttpStream:
        if may_reuse and (kept := await self._pool.take(server)):
            return kept
        try:
            return await self._pool.open(server)
        except ConnectionLost as cause:
            unreachable = AttemptNotRun(cause.detail)
            unreachable.is_unreachable = True
            raise unreachable from cause

    def _head(self, request: Request, terms: AttemptTerms) -> h11.Request:
        headers = [
            (name, value)
            for name, value in self._dialect.attempt_headers(request.headers, terms)
            if name != b"content-length"
        ]
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        return h11.Request(method=request.method, target=request.target, headers=headers)

    async def _exchange(
        self, connection: HttpStream, request: Request, server: BackendServer, head: h11.Request
    ) -> Answer:
        try:
            await connection.send(head, h11.Data(data=request.body), h11.EndOfMessage())
        except ConnectionLost:
            # A server may answer and close before it has read a long body; its answer then says
            # more than the failed write does, so it is read first.
            if connection.http.their_state is not h11.SEND_RESPONSE:
                raise AttemptUnknown("reset while the request was sent") from None
        answer = await self._read_head(connection, server, request.facts.request_id)
        for _ in range(FOREIGN_ANSWERS):
            if self._is_own(answer, request):
                break
            # A server may send a second answer to an earlier request of the connection. Its
            # request id tells; the request's own answer follows behind it.
            await answer.read()
            connection.http = _next_answer(connection.http, head, request.body)
            answer = await self._read_head(connection, server, request.facts.request_id)
        else:
            raise AttemptUnknown("only answers to other requests came")
        if answer.facts.is_proved_not_run:
            raise await _not_run(answer)
        return answer

    def _is_own(self, answer: Answer, request: Request) -> bool:
        request_id = answer.facts.request_id
        return request_id is None or request_id == request.facts.request_id

    async def _read_head(
        self, connection: HttpStream, server: BackendServer, request_id: str
    ) -> Answer:
        while True:
            event = await _receive(connection)
            if isinstance(event, h11.Response):
                facts = self._dialect.read_answer(event.status_code, list(event.headers))
                self.on_answer(server, facts.asks)
                return Answer(connection, event, facts)
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise AttemptUnknown(f"closed without an answer to {request_id}")


def _silent() -> AttemptUnknown:
    """Return the error of an attempt on which nothing came in time."""
    error = AttemptUnknown(SILENT)
    error.is_silence = True
    return error


async def _receive(connection: HttpStream) -> h11.Event | type[h11.PAUSED]:
    try:
        event = await connection.receive()
    except (ConnectionLost, h11.RemoteProtocolError) as cause:
        raise AttemptUnknown(f"the answer broke off: {cause}") from cause
    if isinstance(event, h11.ConnectionClosed):
        raise AttemptUnknown("closed before the end of the answer")
    return event


async def _not_run(answer: Answer) -> AttemptNotRun:
    """Return the error of an answer that proves that nothing ran, its body read."""
    with trio.move_on_after(0.1):
        await answer.read()
    refusal = AttemptNotRun(f"turned away with {answer.status}")
    refusal.server_at_fault = answer.facts.server_at_fault
    # A server that says how long to leave it alone is no more suspect than a full one.
    refusal.is_servers_fault = not answer.facts.asks.cool_down_s
    return refusal


def _next_answer(http: h11.Connection, head: h11.Request, body: bytes) -> h11.Connection:
    """Return the state of a connection on which the answer to a sent request is still due."""
    follower = h11.Connection(h11.CLIENT)
    follower.send(head)
    follower.send(h11.Data(data=body))
    follower.send(h11.EndOfMessage())
    follower.receive_data(http.trailing_data[0])
    return follower


def _is_reusable(connection: HttpStream) -> bool:
    return connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE
