"""Probing of server addresses, over real sockets."""

from __future__ import annotations

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.liveness import Liveness
from sassafrastally.proxy.model import BackendServer

HOST = "127.0.0.1"


class Listener:
    """A server that accepts and closes connections, and counts them."""

    def __init__(self) -> None:
        self.accepted = 0
        self.scope = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[Address]) -> None:
        """Listen until `scope` is cancelled."""
        with self.scope:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            port = listeners[0].socket.getsockname()[1]
            task_status.started(Address(HOST, port))
            await trio.serve_listeners(self._accept, listeners)

    async def _accept(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        await stream.aclose()


class TestLiveness:
    """Findings and how long they are reused."""

    async def test_crash_right_after_a_successful_probe_is_detected(self, nursery):
        """A server breaks off one answer but lives, and crashes shortly after while running another
        request. Guards against reusing the first finding, which would hide the crash and the
        requests involved."""
        listener = Listener()
        address = await nursery.start(listener.run)
        server = BackendServer("s", "engines", address, "here", 8, False)
        liveness = Liveness(nursery)
        assert (await liveness.find(server)).is_listening
        listener.scope.cancel()
        await trio.sleep(0.02)
        finding = await liveness.find(server)
        assert finding.is_refused
        assert not finding.is_listening

    async def test_concurrent_probes_share_one_connection(self, nursery):
        """Guards against a probe per request: each connection briefly occupies one of the server's
        slots."""
        listener = Listener()
        address = await nursery.start(listener.run)
        server = BackendServer("s", "engines", address, "here", 8, False)
        liveness = Liveness(nursery)
        async with trio.open_nursery() as probing:
            for _ in range(8):
                probing.start_soon(liveness.find, server)
        await trio.sleep(0.02)
        assert listener.accepted == 1

    async def test_server_in_an_evacuated_data_centre_is_not_probed(self, nursery):
        """Guards against new connections to a data centre to which nothing may be sent."""
        listener = Listener()
        address = await nursery.start(listener.run)
        server = BackendServer("s", "engines", address, "here", 8, False)
        finding = await Liveness(nursery, lambda name: name == "here").find(server)
        assert finding.is_listening
        assert not (finding.is_dropped or finding.is_refused)
        await trio.sleep(0.02)
        assert listener.accepted == 0
