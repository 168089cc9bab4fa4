"""The port for datagrams of peers.

A turn of the event loop takes tens of milliseconds on an entry that is short of CPU time, while
hundreds of datagrams arrive per second. If one were read a turn, they would wait for seconds, and
the latest ones be dropped; if one were sent a turn, peers would take the entry for dead.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import second_handle

if TYPE_CHECKING:
    from collections.abc import Iterable

RECEIVE_BUFFER_BYTES = 2048

MAX_AT_ONCE = 256
"""Maximum number of datagrams that are read in one turn: as many as the socket's buffer usually
holds. Looking at their headers takes some milliseconds."""


class DatagramPort:
    """Reads all waiting datagrams in one turn of the event loop, and sends to all hosts in one."""

    def __init__(self) -> None:
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        self._port = 0
        self._handle: socket.socket | None = None
        self._is_open = trio.Event()

    async def open(self, host: str, port: int) -> None:
        """Bind an address; the peers use the same port."""
        await self._socket.bind((host, port))
        self._port = port
        self._handle = second_handle(self._socket)
        self._is_open.set()

    def close(self) -> None:
        """Close the port."""
        self._socket.close()
        if self._handle is not None:
            self._handle.close()

    async def receive(self) -> list[bytes]:
        """Wait for datagrams; return those that have arrived, oldest first."""
        if not self._is_open.is_set():
            # Only then: also the wait for an event that is set takes a turn of the event loop.
            await self._is_open.wait()
        if self._handle is None:
            data, _ = await self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
            return [data]
        await trio.lowlevel.wait_readable(self._handle)
        received = []
        for _ in range(MAX_AT_ONCE):
            try:
                received.append(self._handle.recv(RECEIVE_BUFFER_BYTES))
            except BlockingIOError:
                break
            except OSError:
                continue  # A peer's closed port is reported as an error of the next call.
        return received

    async def send(self, hosts: Iterable[str], data: bytes) -> None:
        """Send a datagram to hosts; those that can't take it get the next one."""
        if not self._is_open.is_set():
            # Sending would bind another port, and the process that has this one sends its own.
            await trio.lowlevel.checkpoint()
            return
        for host in hosts:
            # The port is closed or the send buffer is full: the next datagram replaces this one,
            # and a dead peer times out.
            with suppress(OSError):
                if self._handle is None:
                    await self._socket.sendto(data, (host, self._port))
                else:
                    self._handle.sendto(data, (host, self._port))
        if self._handle is not None:
            await trio.lowlevel.checkpoint()
