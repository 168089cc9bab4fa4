"""Tests of connections that wait to be accepted when a listening socket is closed."""

from __future__ import annotations

import errno
import os
import resource
import select
import socket
from contextlib import contextmanager

import pytest
import trio
import trio.testing

from sassafrastally.core import Acceptor, Address, TcpNetwork, waiting_connections
from sassafrastally.core.accepting import MAX_AT_ONCE, refuse_new_connections

GREETING = b"served"


async def serve(stream: trio.SocketStream) -> None:
    """Send a greeting, which a client of a connection that was reset doesn't get."""
    await stream.send_all(GREETING)


@pytest.fixture
async def listener():
    """A listening socket."""
    (opened,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    yield opened
    opened.socket.close()


def connect(listener: trio.SocketListener, count: int = 1) -> list[socket.socket]:
    """Return connections that the system has established."""
    address = listener.socket.getsockname()
    return [socket.create_connection(address, timeout=1.0) for _ in range(count)]


def received(clients: list[socket.socket]) -> list[bytes]:
    """Return what clients receive until the end of their connections."""
    texts = []
    for client in clients:
        with client:
            try:
                texts.append(client.recv(len(GREETING)))
            except ConnectionResetError:
                texts.append(b"reset")
    return texts


@contextmanager
def no_descriptors():
    """Let the process open no further file descriptor."""
    free = os.open(os.devnull, os.O_RDONLY)
    os.close(free)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class TestAcceptor:
    """Connections of a listening socket."""

    async def test_each_connection_is_served(self, listener):
        acceptor = Acceptor(listener, serve)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            clients = connect(listener, 2 * MAX_AT_ONCE)
            await trio.testing.wait_all_tasks_blocked()
            assert acceptor.open_connections == 0
            nursery.cancel_scope.cancel()
        assert received(clients) == [GREETING] * len(clients)

    async def test_connections_that_are_waiting_are_served_before_the_close(self, listener):
        """Guards against a socket that is closed over its accept queue: the system resets what is
        in it, with the requests that were sent."""
        acceptor = Acceptor(listener, serve)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            await trio.testing.wait_all_tasks_blocked()
            clients = connect(listener, 2 * MAX_AT_ONCE)
            closed = await acceptor.close()
        assert closed == (2 * MAX_AT_ONCE, 0)
        assert received(clients) == [GREETING] * len(clients)

    @pytest.mark.parametrize("turns", range(4))
    async def test_connections_of_the_turn_of_the_close_are_served(self, listener, turns):
        """Guards against a task that was woken to accept and finds its socket closed, which would
        end the process."""
        acceptor = Acceptor(listener, serve)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            await trio.testing.wait_all_tasks_blocked()
            clients = connect(listener)
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            # Woken in the same turn, in either order.
            async with trio.open_nursery() as closing:
                closing.start_soon(acceptor.close)
        assert received(clients) == [GREETING]

    async def test_is_closed_with_its_nursery(self, listener):
        acceptor = Acceptor(listener, serve)
        address = listener.socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address, timeout=1.0)

    async def test_may_be_closed_before_it_runs(self, listener):
        assert (await Acceptor(listener, serve).close()).accepted == 0


class TestShortage:
    """A process without descriptors for more connections."""

    async def test_connections_wait_for_descriptors_and_are_served(self, listener):
        """Guards against connections that are reset, as the process can't accept them at the moment
        at which it stops."""
        causes: list[str] = []
        acceptor = Acceptor(listener, serve, causes.append)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            await trio.testing.wait_all_tasks_blocked()
            clients = connect(listener, 3)
            with no_descriptors():
                with trio.move_on_after(0.2):
                    await trio.sleep_forever()
                assert acceptor.open_connections == 0
                assert waiting_connections(listener.socket) == len(clients)
                nursery.start_soon(acceptor.close)
                await trio.sleep(0.1)
        assert len(causes) == 1
        assert received(clients) == [GREETING] * len(clients)

    async def test_the_wait_for_descriptors_can_be_cancelled(self, listener):
        """Guards against a process that doesn't end before it is killed."""
        acceptor = Acceptor(listener, serve)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            await trio.testing.wait_all_tasks_blocked()
            clients = connect(listener, 3)
            with no_descriptors(), trio.move_on_after(0.1) as scope:
                await acceptor.close()
        assert scope.cancelled_caught
        assert received(clients) == [b"reset"] * len(clients)

    async def test_connections_are_served_although_no_other_one_is_open(self, listener):
        """Guards against a nursery that ends with its last connection while the close waits for
        descriptors, so that the next connection raises an error in place of being served."""
        acceptor = Acceptor(listener, serve)

        async def run() -> None:
            async with trio.open_nursery() as connections:
                connections.start_soon(acceptor.run, connections)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.testing.wait_all_tasks_blocked()
            clients = connect(listener, 3)
            with no_descriptors():
                nursery.start_soon(acceptor.close)
                await trio.sleep(0.1)
        assert received(clients) == [GREETING] * len(clients)


class FailingQueue:
    """An accept queue in which some connections have failed.

    Parameters
    ----------
    queue
        The queue.
    error
        Error of the next connections.
    count
        How many fail.
    """

    def __init__(self, queue: socket.socket, error: int, count: int) -> None:
        self._queue = queue
        self._error = error
        self._left = count

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection."""
        if self._left:
            self._left -= 1
            raise OSError(self._error, os.strerror(self._error))
        return self._queue.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._queue, name)


class TestFailedConnections:
    """Connections that have failed before they were accepted."""

    @pytest.mark.parametrize("error", [errno.EPROTO, errno.ENETDOWN, errno.ECONNABORTED])
    @pytest.mark.parametrize("count", [1, 2 * MAX_AT_ONCE])
    async def test_others_are_served(self, listener, error, count):
        """Guards against a process that ends with all its connections by the error of one that
        nobody has accepted."""
        acceptor = Acceptor(listener, serve)
        acceptor._queue = FailingQueue(acceptor._queue, error, count)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, nursery)
            clients = connect(listener, 3)
            await trio.testing.wait_all_tasks_blocked()
            await acceptor.close()
        assert received(clients) == [GREETING] * len(clients)


class TestRefusal:
    """A listening socket that lets nobody connect any more."""

    async def test_new_connections_are_not_established(self, listener):
        """Guards against a client that connects, and sends, after the last look at the queue."""
        before = connect(listener)
        handle = socket.socket(fileno=os.dup(listener.socket.fileno()))
        with handle, socket.socket() as late:
            assert refuse_new_connections(handle)
            late.setblocking(False)
            late.connect_ex(listener.socket.getsockname())
            assert select.select([], [late], [], 0.1) == ([], [], [])
            assert waiting_connections(listener.socket) == 1
            accepted, _ = handle.accept()
            with accepted:
                accepted.sendall(GREETING)
        assert received(before) == [GREETING]

    async def test_links_wait_for_descriptors_and_the_shortage_is_reported(self, nursery):
        """Guards against a line with a traceback in the log every tenth of a second, and against
        peers that are kept out without an event."""
        causes: list[str] = []
        address = Address("127.0.0.1", 0)
        bound = await TcpNetwork().listen(address, serve, nursery, causes.append)
        client = socket.socket()
        with no_descriptors():
            client.connect(bound)
            await trio.sleep(0.3)
            assert len(causes) == 1
        client.setblocking(False)
        async with trio.SocketStream(trio.socket.from_stdlib_socket(client)) as stream:
            with trio.fail_after(1.0):
                assert await stream.receive_some() == GREETING
