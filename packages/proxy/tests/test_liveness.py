"""Whether anybody listens at a server's address, over real sockets."""

from __future__ import annotations

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.liveness import Liveness
from sassafrastally.proxy.model import BackendServer

HOST = "127.0.0.1"


class Listener:
    """A server that only takes connections; counts them."""

    def __init__(self) -> None:
        self.taken = 0
        self.scope = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[Address]) -> None:
        """Listen until `scope` is cancelled."""
        with self.scope:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            port = listeners[0].socket.getsockname()[1]
            task_status.started(Address(HOST, port))
            await trio.serve_listeners(self._take, listeners)

    async def _take(self, stream: trio.SocketStream) -> None:
        self.taken += 1
        await stream.aclose()


class TestLiveness:
    """Findings, and how long they are believed."""

    async def test_server_that_crashes_right_after_it_was_found_alive_is_found_out(self, nursery):
        """A server breaks one answer off and lives; a moment later it crashes under another
        request. Taken from memory, the finding would hide the crash and what ran there."""
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

    async def test_all_who_ask_at_once_share_one_connection(self, nursery):
        """Each connection costs a server a moment of a slot."""
        listener = Listener()
        address = await nursery.start(listener.run)
        server = BackendServer("s", "engines", address, "here", 8, False)
        liveness = Liveness(nursery)
        async with trio.open_nursery() as asking:
            for _ in range(8):
                asking.start_soon(liveness.find, server)
        await trio.sleep(0.02)
        assert listener.taken == 1
