"""One attempt at a backend server: sends the request and reads the response."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.answer import (
    INCOMPLETE_HEADER_DETAIL,
    TIMEOUT_DETAIL,
    Answer,
    AttemptNotRun,
    AttemptUnknown,
    timeout_error,
)
from sassafrastally.proxy.answer_reader import (
    MAX_STALE_ANSWERS,
    NON_SUCCESS_STATUS,
    AnswerReader,
    discard,
)
from sassafrastally.proxy.cpu_overload import due_after_delay_s, last_read_s
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.input_limits import InputBudget, InputExcess
from sassafrastally.proxy.request import Request
from sassafrastally.proxy.request_writer import open_writer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from sassafrastally.proxy.connection_pool import ConnectionPool
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.http_stream import HttpStream
    from sassafrastally.proxy.model import (
        AttemptParameters,
        BackendServer,
        BackpressureSignals,
        IgnoredField,
        ResponseMetadata,
    )
    from sassafrastally.proxy.request_writer import RequestWriter

__all__ = [
    "MAX_STALE_ANSWERS",
    "NON_SUCCESS_STATUS",
    "TIMEOUT_DETAIL",
    "Answer",
    "AttemptNotRun",
    "AttemptSender",
    "AttemptUnknown",
    "Request",
]


class AttemptSender:
    """Sends requests to backend servers.

    Parameters
    ----------
    dialect
        Translates headers.
    pool
        Pool of idle connections that attempts reuse.
    input_budget
        Budget of the process for responses that aren't complete; without a bound by default.
    """

    def __init__(
        self, dialect: Dialect, pool: ConnectionPool, input_budget: InputBudget | None = None
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self.input_budget = input_budget or InputBudget()
        """Budget of the process for responses that aren't complete."""
        self.on_answer: Callable[[BackendServer, BackpressureSignals], None] = lambda *_: None
        """Called for each response header, before the body is read."""
        self.on_ignored_fields: Callable[[BackendServer, Sequence[IgnoredField]], None] = (
            lambda *_: None
        )
        """Called for each response header with fields that are ignored."""
        self.on_excess: Callable[[BackendServer, InputExcess], None] = lambda *_: None
        """Called for each response that exceeds a bound."""

    @property
    def pool(self) -> ConnectionPool:
        """Pool of idle connections that attempts reuse."""
        return self._pool

    @asynccontextmanager
    async def send(
        self,
        request: Request,
        terms: AttemptParameters,
        *,
        may_reuse: bool,
        waiting: trio.CancelScope | None = None,
        connect_until_s: float = math.inf,
        before_sending: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint_if_cancelled,
        on_sending: Callable[[HttpStream], None] = lambda _: None,
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its response; close or pool the connection on exit.

        Leaving the block early closes the connection, which makes the backend server cancel the
        request.

        Parameters
        ----------
        request
            The caller's request.
        terms
            Parameters of this attempt.
        may_reuse
            Whether a pooled connection may be used. If it fails, a connection that the server had
            already closed can't be told from one that broke after the request had begun to run, so
            requests that must not run twice use a new connection.
        waiting
            Cancel scope around the wait for the response header; the wait ends at its deadline or
            when it is cancelled. Its deadline is moved if the request is sent late.
        connect_until_s
            Time by which the connection must be open.
        before_sending
            Called once the connection is open; waits for a cancellation if nothing may be sent.
        on_sending
            Called with the connection right before the request is sent; until then, it certainly
            hasn't run.

        Raises
        ------
        AttemptNotRun
            If the request certainly hasn't run.
        AttemptUnknown
            If the request may have run.
        """
        begin_s = trio.current_time()
        waiting = waiting or trio.CancelScope()
        connection = None
        with trio.move_on_at(connect_until_s):
            connection = await self._connection(terms.server, may_reuse)
        if connection is None:
            raise _not_sent_error()
        if terms.server.data_centre in self._pool.evacuated:
            await connection.close()
            raise _evacuated_error()
        is_kept = False
        waiting.deadline = due_after_delay_s(waiting.deadline, begin_s, trio.current_time())
        try:
            await before_sending()
            with self.input_budget.account() as account:
                connection.charge(account)
                async with open_writer(connection, len(request.body)) as writer:
                    yield await self._answer(
                        connection, writer, request, terms, waiting, on_sending
                    )
                is_kept = _is_reusable(connection)
        except (AttemptNotRun, AttemptUnknown) as cause:
            if cause.excess is not None:
                self.on_excess(terms.server, cause.excess)
            raise
        finally:
            if is_kept:
                await self._pool.release(terms.server, connection)
            else:
                await connection.close()

    async def _answer(
        self,
        connection: HttpStream,
        writer: RequestWriter,
        request: Request,
        terms: AttemptParameters,
        waiting: trio.CancelScope,
        on_sending: Callable[[HttpStream], None],
    ) -> Answer:
        """Send a request and return its response."""
        record_header = partial(self._record_header, terms.server)
        reader = AnswerReader(connection, request, self._head(request, terms), record_header)
        is_sent = False
        with waiting:
            await trio.lowlevel.checkpoint_if_cancelled()
            is_sent = True
            on_sending(connection)
            return await self._exchange(connection, writer, reader)
        if not is_sent:
            raise _not_sent_error()
        return await _read_late(connection, reader, waiting)

    async def _connection(self, server: BackendServer, may_reuse: bool) -> HttpStream:
        if may_reuse and (kept := await self._pool.acquire(server)):
            return kept
        try:
            return await self._pool.open(server)
        except ConnectionLost as cause:
            unreachable = AttemptNotRun(cause.detail)
            unreachable.is_unreachable = True
            unreachable.counts_against_server = not cause.is_own_shortage
            raise unreachable from cause

    def _head(self, request: Request, terms: AttemptParameters) -> h11.Request:
        headers = [
            (name, value)
            for name, value in self._dialect.attempt_headers(request.headers, terms)
            if name != b"content-length"
        ]
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        return h11.Request(method=request.method, target=request.target, headers=headers)

    async def _exchange(
        self, connection: HttpStream, writer: RequestWriter, reader: AnswerReader
    ) -> Answer:
        try:
            # The encoded copy isn't kept here: it is as long as the body.
            await writer.send(connection.encode(*reader.request_events()))
        except ConnectionLost:
            # A server may respond and close the connection before it has read a long body. Its
            # response is more informative than the write error, so it is read first.
            if connection.http.their_state is not h11.SEND_RESPONSE:
                raise AttemptUnknown("connection reset while sending the request") from None
        return await _read_answer(reader)

    def _record_header(self, server: BackendServer, response: h11.Response) -> ResponseMetadata:
        """Decode the header of a response and record its signals."""
        facts = self._dialect.decode_response(response.status_code, list(response.headers))
        self.on_answer(server, facts.backpressure)
        if facts.ignored_fields:
            self.on_ignored_fields(server, facts.ignored_fields)
        return facts


async def _read_late(
    connection: HttpStream, reader: AnswerReader, waiting: trio.CancelScope
) -> Answer:
    """Read once more if the wait ended while this entry didn't run."""
    extra_s = last_read_s(waiting.deadline, trio.current_time())
    if reader.is_awaited and extra_s:
        with trio.move_on_after(extra_s):
            return await _read_answer(reader)
    is_incomplete = connection.http.their_state is h11.SEND_RESPONSE
    if is_incomplete and connection.http.trailing_data[0]:
        raise AttemptUnknown(INCOMPLETE_HEADER_DETAIL)
    raise timeout_error()


async def _read_answer(reader: AnswerReader) -> Answer:
    answer = await reader.read()
    if answer.facts.is_proved_not_run:
        raise await _not_run_error(answer)
    if answer.status < NON_SUCCESS_STATUS and not answer.facts.is_sealed:
        raise AttemptUnknown("received a success without the server's mark")
    return answer


def _not_sent_error() -> AttemptNotRun:
    """Return the error for an attempt whose time was over before the request could be sent."""
    error = AttemptNotRun("the wait ended before the request was sent")
    error.is_unreachable = error.is_out_of_time = True
    error.counts_against_server = False
    return error


def _evacuated_error() -> AttemptNotRun:
    """Return the error for a server whose data centre became evacuated after the placement."""
    error = AttemptNotRun("its data centre was evacuated before the request was sent")
    error.is_unreachable = True
    error.counts_against_server = False
    return error


async def _not_run_error(answer: Answer) -> AttemptNotRun:
    """Read the body of a response that proves that nothing ran, and return its error."""
    refusal = AttemptNotRun(f"rejected by the server with status {answer.status}")
    try:
        with trio.CancelScope(shield=True):
            await discard(answer)
    except AttemptUnknown as cause:
        # Neither the end of the wait nor a broken body takes back what the header proves.
        refusal.excess = cause.excess
    refusal.failed_server_address = answer.facts.failed_server_address
    # Asking for a cool-down is no more a sign of a fault than being at capacity.
    refusal.counts_against_server = not answer.facts.backpressure.cool_down_s
    return refusal


def _is_reusable(connection: HttpStream) -> bool:
    is_done = connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE
    return is_done and not connection.is_write_incomplete
