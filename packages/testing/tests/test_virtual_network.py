"""The network in memory, by the sockets and streams that programs open on it."""

from __future__ import annotations

import random

import pytest
import trio

from sassafrastally.testing.virtual_network import VirtualNetwork

HERE, THERE = "10.0.0.1", "10.0.0.2"
PORT = 80


@pytest.fixture
async def network():
    made = VirtualNetwork(random.Random(0), delay_s=0.1)
    trio.socket.set_custom_socket_factory(made)
    return made


@pytest.fixture
async def served(network, nursery):
    """A server that sends back what it gets, until its scope is cancelled."""
    scope = trio.CancelScope()

    async def echo(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    async def serve(task_status) -> None:
        with scope:
            await trio.serve_tcp(echo, PORT, host=THERE, task_status=task_status)

    with network.at_host(THERE):
        await nursery.start(serve)
    return scope


async def connect(network: VirtualNetwork) -> trio.SocketStream:
    """Connect from one host to the other."""
    with network.at_host(HERE):
        sock = trio.socket.socket()
    await sock.connect((THERE, PORT))
    return trio.SocketStream(sock)


class TestConnections:
    """Streams between two hosts."""

    async def test_bytes_take_the_link_s_time_each_way(self, autojump_clock, network, served):
        stream = await connect(network)
        begin_s = trio.current_time()
        await stream.send_all(b"hello")
        assert await stream.receive_some(3) == b"hel"
        assert trio.current_time() - begin_s == pytest.approx(0.2)
        assert await stream.receive_some(10) == b"lo"

    async def test_end_is_heard_behind_what_was_sent(self, autojump_clock, network, served):
        stream = await connect(network)
        await stream.send_all(b"x")
        await stream.send_eof()
        assert await stream.receive_some(10) == b"x"
        assert await stream.receive_some(10) == b""

    async def test_nobody_listens_any_more(self, autojump_clock, network, served):
        stream = await connect(network)
        served.cancel()
        assert await stream.receive_some(10) == b""
        with pytest.raises(ConnectionRefusedError):
            await connect(network)

    async def test_cut_holds_bytes_up_until_it_heals(self, autojump_clock, network, served):
        stream = await connect(network)
        network.cut(THERE, HERE)
        await stream.send_all(b"x")
        with trio.move_on_after(5.0) as waited:
            await stream.receive_some(1)
        assert waited.cancelled_caught
        network.heal()
        assert await stream.receive_some(1) == b"x"

    async def test_dark_host_refuses_nothing(self, autojump_clock, network):
        network.dark.add(THERE)
        with trio.move_on_after(5.0) as waited:
            await connect(network)
        assert waited.cancelled_caught

    async def test_local_close_wakes_the_reader(self, autojump_clock, network, served, nursery):
        stream = await connect(network)
        nursery.start_soon(stream.aclose)
        with pytest.raises(trio.ClosedResourceError):
            await stream.receive_some(1)


class TestDatagrams:
    """Single messages between two hosts."""

    async def bound(self, network: VirtualNetwork, host: str) -> trio.socket.SocketType:
        """Return a socket for datagrams."""
        with network.at_host(host):
            sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await sock.bind((host, PORT))
        return sock

    async def test_come_with_their_sender_unless_the_link_is_cut(self, autojump_clock, network):
        here, there = await self.bound(network, HERE), await self.bound(network, THERE)
        network.cut(HERE, THERE)
        await here.sendto(b"lost", (THERE, PORT))
        network.heal()
        await here.sendto(b"heard", (THERE, PORT))
        assert await there.recvfrom(100) == (b"heard", (HERE, PORT))

    async def test_share_of_them_is_lost(self, autojump_clock, network):
        here, there = await self.bound(network, HERE), await self.bound(network, THERE)
        network.lost_share = 0.5
        for _ in range(200):
            await here.sendto(b"x", (THERE, PORT))
        heard = 0
        with trio.move_on_after(1.0):
            while True:
                await there.recvfrom(1)
                heard += 1
        assert 70 < heard < 130
