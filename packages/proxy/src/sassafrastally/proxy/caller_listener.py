"""Caller connections: reads and validates requests and passes them to the request path."""

from __future__ import annotations

import math
import traceback
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, ClassVar

import h11
import trio

from sassafrastally.core import AcceptBetweenSteps, Acceptor, LogRate, Service
from sassafrastally.proxy.attempt import Request
from sassafrastally.proxy.caller_connections import CallerConnections, most_caller_connections
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.connection_end_log import ConnectionEndLog
from sassafrastally.proxy.connection_gate import ConnectionGate
from sassafrastally.proxy.cpu_overload import LoopPace, read_until, sleep_until_read, timed_turns
from sassafrastally.proxy.early_listener import BACKLOG
from sassafrastally.proxy.http_stream import (
    ConnectionLost,
    HttpStream,
    enable_keepalive,
    limit_send_buffer,
)
from sassafrastally.proxy.input_limits import (
    InputAccount,
    InputBudget,
    InputBudgetExceeded,
    most_held_bytes,
)
from sassafrastally.proxy.lingering_close import linger
from sassafrastally.proxy.log_events import (
    AcceptFailed,
    ConnectionCrashed,
    DrainEnded,
    IdleConnectionsClosed,
    ListenerClosed,
    ProcessDraining,
    RequestMalformed,
)
from sassafrastally.proxy.metrics import IDLE_CONNECTIONS_CLOSED
from sassafrastally.proxy.model import RequestLimits
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.port_takeover import open_when_free
from sassafrastally.proxy.refusals import BODIES_FULL, HEADER_TOO_LARGE, MALFORMED, refusal_body
from sassafrastally.proxy.reply import Reply
from sassafrastally.proxy.request_reader import BadRequest, RequestReader
from sassafrastally.proxy.slow_readers import BlockedCallers, most_buffered_bytes
from sassafrastally.proxy.stop_plan import (
    FIRST_REQUEST_S,
    LAST_REQUESTS_S,
    REPLAN_S,
    StopPlan,
    plan_stop,
)

if TYPE_CHECKING:
    import socket

    from sassafrastally.proxy.connection_gate import Serve
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.settings import ProxySettings

DEFAULT_LIMITS = RequestLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_time_s=3.0, idle_time_s=15.0
)
"""Limits used until a configuration is loaded; they match the usual operator settings."""

STOP_LINGER_S = 1.0
"""How long a stopping entry waits for callers that go on sending after their last response."""

MAX_TRACEBACK_FRAMES = 12
"""Maximum number of traceback frames logged for an unexpected exception; the innermost ones show
where it was raised."""

ANSWERED_CHECK_S = 0.02
"""Interval at which a stopping entry checks whether all requests are answered."""

RETRY_BODY_AFTER_S = 1.0
"""When a caller may send a request again that was refused because of the bodies held: by then most
of the requests that hold them are answered, or time out."""


class CallerListener(Service):
    """Accepts caller connections and serves their requests.

    Parameters
    ----------
    settings
        Addresses and limits of the process.
    dialect
        Translates headers.
    listener
        Listening socket, if it is already open.
    """

    name: ClassVar[str] = "callers"
    needs: ClassVar[tuple[str, ...]] = ("beliefs", "overload", "path")

    def __init__(
        self, settings: ProxySettings, dialect: Dialect, listener: socket.socket | None = None
    ) -> None:
        self.open_requests = 0
        """Number of in-flight requests, from their first byte to the end of the response."""
        self.stop_time_s = settings.bounds.stop_time_s
        """Time from the begin of `stop` until the process is killed."""
        self.blocked_callers: BlockedCallers[trio.CancelScope] = BlockedCallers(
            most_buffered_bytes(settings.memory_mb)
        )
        """Callers whose writes are in progress."""
        self._requests = InputBudget(most_held_bytes(settings.memory_mb))
        """Requests that are read or in progress. Callers have a budget of their own:
        theirs must not end the responses of backend servers."""
        self._settings = settings
        self._dialect = dialect
        self._open_listener = listener
        self._stop_begin_s: float | None = None
        self._plan: StopPlan | None = None
        self._reads_end_s = math.inf
        """When a stopping entry reads nothing more, however late it is."""
        self._connections: CallerConnections[trio.CancelScope] = CallerConnections(
            most_caller_connections(settings.max_descriptors)
        )
        self._is_closing_idle = False
        self._pace = LoopPace()
        """Pace of the event loop while it stops."""
        self._shortages = LogRate()
        self._acceptor: Acceptor | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start accepting connections."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._overload = self.kernel.get("overload", OverloadMonitor)
        self._path = self.kernel.get("path", RequestPath)
        self._gate = ConnectionGate(
            self.kernel,
            self._overload,
            self._connections,
            self._dialect,
            self._settings.bounds.crossing_s,
        )
        self._gate.log.start(nursery)
        self._ends = ConnectionEndLog(self.kernel.events.emit)
        self._ends.start(nursery)
        await open_when_free(partial(self._accept, nursery), self.kernel, nursery, self.stop_time_s)

    async def _accept(self, nursery: trio.Nursery) -> None:
        if self.is_stopping:
            return
        self._acceptor = Acceptor(
            await self._listener(), self.serve, self._note_shortage, self._choose
        )
        self._accepting = AcceptBetweenSteps(self._acceptor)
        self._overload.on_change = self._accept_between_steps
        # Connections run in the kernel's nursery so that they outlive the listener during shutdown.
        nursery.start_soon(self._acceptor.run, nursery)

    async def _listener(self) -> trio.SocketListener:
        if self._open_listener is not None:
            return trio.SocketListener(trio.socket.from_stdlib_socket(self._open_listener))
        address = self._settings.callers_address
        listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=BACKLOG)
        return listeners[0]

    async def stop(self) -> None:
        """Drain: stop accepting work and finish in-flight requests.

        For a while, the load balancer still routes new connections here and callers keep using open
        ones. Both are served until they have had time to move to another VM. Then idle connections
        are closed and the process waits for in-flight responses. What can't be complete in time is
        refused at once; what is still open at the end is answered then.
        """
        self._stop_begin_s = self.kernel.clock.now_s()
        self.kernel.events.emit(ProcessDraining(self.open_requests, self.stop_time_s))
        with timed_turns(self._pace):
            await self._drain()

    async def _drain(self) -> None:
        # How many have to be answered at the end is known once no more requests come.
        plan = self._plan_stop(0)
        if plan.reads_s >= plan.ends_s:
            plan = self._plan_stop(self.open_requests)
        with trio.CancelScope(deadline=plan.ends_s) as waiting:
            await sleep_until_read(plan.reads_s - FIRST_REQUEST_S)
            await self._close_listener()
            # Later than planned if this entry was late: the last connections need their time.
            await sleep_until_read(max(plan.reads_s, trio.current_time() + FIRST_REQUEST_S))
            self._close_idle()
            while self.open_connections:
                plan = self._plan_stop(self.open_requests)
                waiting.deadline = plan.ends_s
                await trio.sleep(ANSWERED_CHECK_S)
            return
        answered_s = plan.answered_until_s(trio.current_time())
        self._emit_drain_ended(plan)
        await sleep_until_read(plan.ends_s, plan.reads_end_s)
        with trio.move_on_at(answered_s):
            if not self._is_closed_to_callers:
                await self._close_listener()
                await trio.sleep_until(answered_s - LAST_REQUESTS_S)
        self._close_idle()
        with suppress(trio.TooSlowError):
            await read_until(self._all_answered, answered_s)

    def _plan_stop(self, open_requests: int) -> StopPlan:
        """Plan the stop by what may be open at its end and by the pace, and limit requests."""
        assert self._stop_begin_s is not None
        slowdown = self._pace.slowdown(trio.current_time())
        plan = plan_stop(self._stop_begin_s, self.stop_time_s, open_requests, slowdown)
        if self._plan is not None and plan.ends_s > self._plan.ends_s - REPLAN_S:
            return self._plan
        self._plan = plan
        # A late entry needs all time from then on for answers.
        self._reads_end_s = plan.reads_end_s
        # From then on, callers have had time to move, and new connections are refused.
        whole_after_s = plan.reads_s - FIRST_REQUEST_S
        self._path.services.drain.begin(plan.ends_s, plan.reads_end_s, whole_after_s)
        return plan

    def _emit_drain_ended(self, plan: StopPlan) -> None:
        now_s = trio.current_time()
        late_s, left_s = round(now_s - plan.ends_s, 3), round(plan.killed_s - now_s, 3)
        slowdown = round(self._pace.slowdown(now_s), 1)
        self.kernel.events.emit(DrainEnded(self.open_requests, late_s, left_s, slowdown))

    @property
    def _is_closed_to_callers(self) -> bool:
        return self._acceptor is None or self._acceptor.is_closed

    async def _close_listener(self) -> None:
        if self._acceptor is not None:
            if self._acceptor.is_short:
                self._close_idle()
            accepted, unaccepted = await self._acceptor.close()
            self.kernel.events.emit(ListenerClosed(accepted, unaccepted, self.open_connections))

    def _close_idle(self) -> None:
        self.kernel.events.emit(IdleConnectionsClosed(len(self._connections), self.open_requests))
        self._is_closing_idle = True
        for scope in self._connections:
            scope.cancel()
        for scope in self._connections.lingering:
            scope.deadline = trio.current_time() + STOP_LINGER_S

    async def _all_answered(self) -> None:
        # A connection without a request ends as soon as its task has looked for one.
        while self.open_connections:
            await trio.sleep(ANSWERED_CHECK_S)

    def _note_shortage(self, cause: str) -> None:
        now_s = self.kernel.clock.now_s()
        if occasions := self._shortages.count("shortage", now_s):
            self.kernel.events.emit(AcceptFailed(cause, self.open_connections, occasions))
        for scope in self._connections.take_for_shortage(now_s):
            IDLE_CONNECTIONS_CLOSED.add(1)
            scope.cancel()

    @property
    def open_connections(self) -> int:
        """Number of connections that are accepted and not closed."""
        return 0 if self._acceptor is None else self._acceptor.open_connections

    @property
    def _lacks_descriptors(self) -> bool:
        return self._acceptor is not None and self._acceptor.is_short

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._stop_begin_s is not None

    def _choose(self, stream: trio.SocketStream) -> Serve | None:
        return self._gate.choose(
            stream, self.open_connections, self.serve, self._linger, is_stopping=self.is_stopping
        )

    def _accept_between_steps(self, is_overloaded: bool) -> None:
        if is_overloaded:
            trio.lowlevel.add_instrument(self._accepting)
        else:
            # The event loop has removed one that failed, and logged why.
            with suppress(KeyError):
                trio.lowlevel.remove_instrument(self._accepting)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it closes."""
        limits = self._limits()
        connection = HttpStream(stream, h11.SERVER, limits.header_bytes)
        try:
            enable_keepalive(stream)
            limit_send_buffer(stream)
            while await self._serve_request(connection):
                connection.http.start_next_cycle()
            await self._linger(connection)
        except ConnectionLost:
            # The caller disconnected; the request path has logged and cancelled its request.
            return
        except Exception:
            # Without this handler, an unexpected exception in one request would end the process and
            # with it the responses of all other callers. Only this connection is closed, without
            # completing its response.
            self.kernel.events.emit(
                ConnectionCrashed(traceback.format_exc(limit=MAX_TRACEBACK_FRAMES))
            )
        finally:
            self._ends.record(connection, is_stopping=self.is_stopping)
            await connection.close()

    async def _linger(self, connection: HttpStream) -> None:
        """Wait until the caller has its last response; ended sooner for others, and by a stop."""
        with trio.CancelScope() as scope:
            if self._is_closing_idle:
                scope.deadline = trio.current_time() + STOP_LINGER_S
            self._connections.begin_lingering(scope)
            try:
                await linger(connection)
            finally:
                self._connections.end_lingering(scope)

    def _limits(self) -> RequestLimits:
        configuration = self._cluster_state.configuration
        return configuration.limits if configuration else DEFAULT_LIMITS

    async def _serve_request(self, connection: HttpStream) -> bool:
        """Serve one request and return whether the connection can be reused."""
        if not await self._wait_for_bytes(connection):
            return False
        self.open_requests += 1
        try:
            with self._requests.account() as account:
                connection.charge(account)
                return await self._serve_accounted(connection, account)
        finally:
            self.open_requests -= 1

    async def _serve_accounted(self, connection: HttpStream, account: InputAccount) -> bool:
        reply = Reply(connection, partial(self._is_last, connection), self.blocked_callers)
        try:
            request = await self._read_request(connection, account, reply)
        except h11.RemoteProtocolError as cause:
            too_large = cause.error_status_hint == HEADER_TOO_LARGE.status
            refusal = HEADER_TOO_LARGE if too_large else MALFORMED
            await self._reject(reply, BadRequest(refusal, str(cause)))
            return False
        except InputBudgetExceeded as cause:
            await self._reject(reply, BadRequest(BODIES_FULL, cause.detail, RETRY_BODY_AFTER_S))
            return False
        if request is None:
            return False
        if isinstance(request, BadRequest):
            await self._reject(reply, request)
            return False
        connection.request_id = request.facts.request_id
        await self._answer(connection, request, reply)
        return reply.has_ended and connection.has_finished_exchange

    def _is_last(self, connection: HttpStream) -> bool:
        """Return whether a response is the last one on its connection.

        A stopping entry answers the requests that are already there: their callers have sent them
        before they could know of the stop, maybe seconds ago. Right before it is killed, it
        has no time for more.
        """
        if not self.is_stopping:
            return False
        return trio.current_time() >= self._reads_end_s or not connection.has_unread_input()

    async def _answer(self, connection: HttpStream, request: Request, reply: Reply) -> None:
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disconnect, connection, reply, nursery.cancel_scope)
            try:
                await self._path.answer(request, reply)
            except Exception as cause:
                # Raised outside the nursery, which would wrap it in an exception group.
                failure = cause
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _watch_disconnect(
        self, connection: HttpStream, reply: Reply, answer_scope: trio.CancelScope
    ) -> None:
        """Cancel the response when the caller closes its connection.

        If the caller pipelines its next request instead, the received bytes are kept and the
        watching ends. A later disconnect is then detected when the response is written. Bytes that
        are already there are served first: read on, they would grow by a buffer for each request.
        """
        if connection.http.trailing_data[0]:
            return
        try:
            is_open = await connection.receive_bytes()
        except ConnectionLost:
            is_open = False
        if not is_open:
            reply.has_caller_left = True
            answer_scope.cancel()

    async def _read_request(
        self, connection: HttpStream, account: InputAccount, reply: Reply
    ) -> Request | BadRequest | None:
        """Return the next request, or ``None`` if the connection closes between requests."""
        limits = self._limits()
        connection.header_bytes = limits.header_bytes
        reader = RequestReader(
            connection,
            limits,
            self._dialect,
            account,
            self.kernel.clock.now_s(),
            self._path.time_limit_s,
        )
        try:
            return await reader.read_in_time(self._path.services.drain)
        finally:
            reply.is_for_head = reader.is_for_head

    async def _wait_for_bytes(self, connection: HttpStream) -> bool:
        """Return whether a request begins; cancelled when idle connections are closed."""
        if connection.http.trailing_data[0]:
            return True
        # A new connection's request may still be on its way; one that is kept has had an answer.
        is_wanted = self._lacks_descriptors and connection.received_bytes > 0
        if not self._is_closing_idle and not is_wanted:
            due_s = trio.current_time() + self._limits().idle_time_s
            with trio.CancelScope() as scope:
                self._connections.begin_idle(scope)
                try:
                    return await read_until(connection.receive_bytes, due_s)
                except ConnectionLost:
                    return False
                except trio.TooSlowError:
                    pass
                finally:
                    self._connections.end_idle(scope)
        # A request may have arrived at the same moment.
        return connection.has_unread_input()

    async def _reject(self, reply: Reply, rejected: BadRequest) -> None:
        self.kernel.events.emit(RequestMalformed(rejected.refusal.status, rejected.problem))
        body = refusal_body(rejected.refusal, "", rejected.problem)
        headers = [(b"content-type", b"application/problem+json"), (b"connection", b"close")]
        if rejected.retry_after_s:
            headers.append(self._dialect.retry_after_header(rejected.retry_after_s))
        await reply.send_complete(rejected.refusal.status, headers, body)
