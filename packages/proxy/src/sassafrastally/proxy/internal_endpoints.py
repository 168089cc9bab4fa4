"""Internal HTTP endpoints answered from memory: readiness, metrics and changes for peers."""

from __future__ import annotations

import math
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, ClassVar

import h11
import trio

from sassafrastally.core import Acceptor, Address, Service
from sassafrastally.core.late_limits import deliver_received
from sassafrastally.core.metrics import hold_values
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.change_fetcher import parse_changes_target
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.cpu_overload import LAST_READ_S, read_until
from sassafrastally.proxy.delta_messages import encode_delta
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, enable_keepalive
from sassafrastally.proxy.internal_connection_log import CloseCause, InternalConnectionLog
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.log_events import ReadinessChanged
from sassafrastally.proxy.open_connections import (
    ConnectionUse,
    OpenConnections,
    most_internal_connections,
)
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.port_takeover import open_when_free
from sassafrastally.proxy.quarantine_service import QuarantineService
from sassafrastally.proxy.reply import Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.settings import ProxySettings

    EndpointHandler = Callable[[str], tuple[int, bytes]]
    OnClose = Callable[[ConnectionUse, CloseCause], None]

IDLE_TIME_S = 30.0
"""Idle timeout of a connection."""

REQUEST_TIME_S = 10.0
"""Time for a request as a whole, from its first byte until its response is sent: twice what a peer
waits for the largest response."""

MAX_REQUEST_BYTES = 65_536
"""Maximum number of bytes received for one request. The requests are a short header; a body is
discarded."""

CLOSE_TIME_S = 0.05
"""How long a process that ends waits for resources to accept the calls that are waiting."""


class InternalEndpoints(Service):
    """Serves readiness checks, metrics scrapes and the change requests of peers."""

    name: ClassVar[str] = "answering"
    needs: ClassVar[tuple[str, ...]] = (
        "backpressure",
        "beliefs",
        "callers",
        "overload",
        "path",
        "quarantine",
        "sight",
    )

    def __init__(self, settings: ProxySettings) -> None:
        self._settings = settings
        self._was_ready = False
        self._acceptors: list[Acceptor] = []
        self._connections = make_connections(most_internal_connections(settings.max_descriptors))

    async def start(self, nursery: trio.Nursery) -> None:
        """Start listening on the ports for readiness checks, peers and metrics."""
        self._backpressure = self.kernel.get("backpressure", Backpressure)
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._caller_listener = self.kernel.get("callers", CallerListener)
        self._fleet_view = self.kernel.get("sight", FleetView)
        self._overload = self.kernel.get("overload", OverloadMonitor)
        self._quarantine = self.kernel.get("quarantine", QuarantineService)
        self._queue = self.kernel.get("path", RequestPath).services.queue
        hold_values()
        host = self._settings.host
        handlers: dict[Address, EndpointHandler] = {
            self._settings.readiness_address: self._handle_readiness,
            Address(host, self._settings.peer_port): self._handle_peer_changes,
            Address(host, self._settings.metrics_port): self._handle_metrics,
        }
        for address, handler in handlers.items():
            listen = partial(self._listen, nursery, address, handler)
            await open_when_free(listen, self.kernel, nursery, self._settings.bounds.stop_time_s)

    async def finish(self) -> None:
        """Answer the calls that are waiting at the ports, and close these."""
        with trio.move_on_after(CLOSE_TIME_S):
            async with trio.open_nursery() as nursery:
                for acceptor in self._acceptors:
                    nursery.start_soon(acceptor.close)
        # The calls are answered from memory, so that they take turns of the event loop, not time.
        await deliver_received(trio.current_time())

    def _handle_readiness(self, _target: str) -> tuple[int, bytes]:
        """Handle a readiness check.

        An entry that loses the store stays ready: it serves requests from its last known state and
        gets changes from its peers. Without a configuration it could only refuse requests, so it
        isn't ready.
        """
        reason = "serving"
        if self._caller_listener.is_stopping:
            reason = "stopping"
        elif self._cluster_state.configuration is None:
            reason = "no configuration is known"
        elif self._overload.is_stuck():
            reason = "overloaded"
        is_ready = reason == "serving"
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self.kernel.events.emit(ReadinessChanged(is_ready, reason))
        return (200 if is_ready else 503), reason.encode()

    def _handle_peer_changes(self, target: str) -> tuple[int, bytes]:
        position = parse_changes_target(target)
        if position is None:
            return 400, b"no position"
        return 200, encode_delta(self._cluster_state.delta_after(position))

    def _handle_metrics(self, _target: str) -> tuple[int, bytes]:
        # Loaded here only if a scrape arrives before `DeferredLoading` has loaded it.
        from sassafrastally.proxy.metrics_page import metrics_page

        return 200, metrics_page(self._gauges()).encode()

    def _gauges(self) -> dict[str, float]:
        now_s = self.kernel.clock.now_s()
        configuration = self._cluster_state.configuration
        servers = self._cluster_state.servers
        return {
            "configuration_version": configuration.version if configuration else 0,
            "store_epoch": self._cluster_state.position.epoch,
            "store_revision": self._cluster_state.position.revision,
            "beliefs_age_seconds": now_s - self._cluster_state.confirmed_s,
            "store_age_seconds": now_s - self._cluster_state.store_answered_s,
            "backend_servers": servers.count(),
            "evacuated_data_centres": len(servers.evacuations.data_centres),
            "evacuated_servers": servers.evacuated_count(),
            "quarantined_requests": self._quarantine.count,
            "suspected_servers": len(self._fleet_view.outlier_ejection.suspects(now_s)),
            "failing_servers": self._fleet_view.failures.avoided_count,
            "peers": self._fleet_view.entries - 1,
            **{f"waiting_requests_{lane.value}": self._queue.count(lane) for lane in Lane},
            "open_requests": self._caller_listener.open_requests,
            "attempts_in_progress": len(self._fleet_view.ledger),
            "scheduling_lag_seconds": self._overload.lag_s,
            "is_overloaded": self._overload.is_overloaded,
            "blocked_callers": self._caller_listener.blocked_callers.count(now_s),
            **self._queue.contention.gauges(now_s),
            **self._backpressure.gauges(),
        }

    async def _listen(
        self, nursery: trio.Nursery, address: Address, handler: EndpointHandler
    ) -> None:
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        containment = Containment(self.kernel, f"call at port {address.port}")
        log = InternalConnectionLog(self.kernel, address.port)
        endpoint = Endpoint(handler, self._connections, log.record_close)

        async def serve(stream: trio.abc.Stream) -> None:
            with containment:
                await endpoint.serve(stream)

        def on_shortage(cause: str) -> None:
            log.record_shortage(cause, acceptor.open_connections)
            for connection in self._connections.take_for_shortage(self.kernel.clock.now_s()):
                connection.close(CloseCause.SHORTAGE)

        acceptor = Acceptor(listeners[0], serve, on_shortage)
        self._acceptors.append(acceptor)
        nursery.start_soon(acceptor.run, nursery)


class InternalConnection:
    """A connection at an internal port.

    Parameters
    ----------
    stream
        The connection; owned by this object.
    """

    def __init__(self, stream: HttpStream) -> None:
        self.stream = stream
        self.close_cause = CloseCause.TIME
        """Why its present use ends, if it is cancelled."""
        self.scope = trio.CancelScope()
        """Surrounds its present use."""

    def close(self, cause: CloseCause) -> None:
        """Close the connection, unless a request has arrived on it."""
        self.close_cause = cause
        self.scope.cancel()


def make_connections(most: int) -> OpenConnections[InternalConnection]:
    """Return the open connections of ports that share a bound."""
    return OpenConnections(most, lambda one: one.stream.is_readable())


class Endpoint:
    """Serves the requests on the connections of one port.

    Parameters
    ----------
    handler
        Returns status and body of the response to a target.
    connections
        Open connections of this port and others.
    on_close
        Called with the use of each connection that is closed by this entry without a complete
        response.
    """

    def __init__(
        self,
        handler: EndpointHandler,
        connections: OpenConnections[InternalConnection],
        on_close: OnClose = lambda _use, _cause: None,
    ) -> None:
        self._handler = handler
        self._on_close = on_close
        self._connections = connections

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve a connection until it is closed."""
        connection = InternalConnection(HttpStream(stream, h11.SERVER))
        try:
            enable_keepalive(stream)
            for other in self._connections.open(connection):
                other.close(CloseCause.ROOM)
            while await self._serve_request(connection):
                connection.stream.http.start_next_cycle()
        except ConnectionLost:
            return  # The client disconnected; its calls change no state.
        except h11.RemoteProtocolError:
            self._on_close(ConnectionUse.REQUEST, CloseCause.INPUT)
        finally:
            self._connections.close(connection)
            await connection.stream.close()

    async def _serve_request(self, connection: InternalConnection) -> bool:
        """Serve one request and return whether the connection can be reused."""
        stream = connection.stream
        if not await self._wait_for_bytes(connection):
            return False
        begin_s = trio.current_time()
        with self._begin_use(connection, ConnectionUse.REQUEST, begin_s + REQUEST_TIME_S) as scope:
            target = await _read_target(stream)
        if scope.cancelled_caught:
            self._on_close(ConnectionUse.REQUEST, connection.close_cause)
            return False
        if target is None:
            return False
        status, body = self._handler(target)
        reply = Reply(stream, lambda: False)
        due_s = max(begin_s + REQUEST_TIME_S, trio.current_time() + LAST_READ_S)
        with self._begin_use(connection, ConnectionUse.RESPONSE, due_s):
            await reply.send_complete(status, [], body)
        if not reply.has_ended:
            self._on_close(ConnectionUse.RESPONSE, connection.close_cause)
            return False
        return stream.http.our_state is h11.DONE

    async def _wait_for_bytes(self, connection: InternalConnection) -> bool:
        """Return whether a request begins."""
        stream = connection.stream
        if stream.http.trailing_data[0]:
            return True
        due_s = trio.current_time() + IDLE_TIME_S
        with self._begin_use(connection, ConnectionUse.IDLE), suppress(trio.TooSlowError):
            return await read_until(stream.receive_bytes, due_s)
        if stream.is_readable():
            return True  # A request may have arrived at the same moment.
        self._on_close(ConnectionUse.IDLE, connection.close_cause)
        return False

    def _begin_use(
        self, connection: InternalConnection, use: ConnectionUse, due_s: float = math.inf
    ) -> trio.CancelScope:
        self._connections.record_use(connection, use)
        connection.scope = trio.CancelScope(deadline=due_s)
        connection.close_cause = CloseCause.TIME
        return connection.scope


async def _read_target(connection: HttpStream) -> str | None:
    """Return the target of the next request; ``None`` at the end of the connection.

    Raises
    ------
    h11.RemoteProtocolError
        If the request is too large or isn't valid HTTP.
    """
    target = None
    max_received_bytes = connection.received_bytes + MAX_REQUEST_BYTES
    while True:
        event = await connection.receive()
        if isinstance(event, h11.Request):
            target = event.target.decode("latin-1")
        elif isinstance(event, h11.EndOfMessage):
            return target
        elif not isinstance(event, h11.Data):
            return None
        if connection.received_bytes > max_received_bytes:
            raise h11.RemoteProtocolError(f"a request of more than {MAX_REQUEST_BYTES} bytes")
