"""Ports that another process has when they are to be opened."""

from __future__ import annotations

import errno

import pytest
import trio

from sassafrastally.core import Clock, Kernel
from sassafrastally.proxy.datagram_port import DatagramPort
from sassafrastally.proxy.port_takeover import END_TIME_S, open_when_free

STOP_TIME_S = 8.0

HOST = "127.0.0.1"


def make_kernel() -> Kernel:
    """Return the kernel of the process that opens a port."""
    return Kernel("vm", "dc", Clock(), seed=1)


class Port:
    """A port that is in use until a time."""

    def __init__(self, free_s: float, cause: int = errno.EADDRINUSE) -> None:
        self.opened_s: float | None = None
        self._free_s = free_s
        self._cause = cause

    async def open(self) -> None:
        """Open the port, or raise why it can't be opened."""
        await trio.lowlevel.checkpoint()
        if trio.current_time() < self._free_s:
            raise OSError(self._cause, "not opened")
        self.opened_s = trio.current_time()


class TestOpenWhenFree:
    """Opening a port."""

    async def test_a_free_port_is_open_at_once(self, autojump_clock):
        """Guards against a start that counts as done while ports aren't open yet."""
        port = Port(free_s=0.0)
        async with trio.open_nursery() as nursery:
            await open_when_free(port.open, make_kernel(), nursery, STOP_TIME_S)
            assert port.opened_s is not None

    @pytest.mark.parametrize("used_s", [0.1, STOP_TIME_S])
    async def test_a_port_in_use_is_opened_soon_after_its_release(self, autojump_clock, used_s):
        """Guards against a process that ends, or stays without the port, because the one before
        it uses its whole stop time."""
        free_s = trio.current_time() + used_s
        port = Port(free_s)
        async with trio.open_nursery() as nursery:
            await open_when_free(port.open, make_kernel(), nursery, STOP_TIME_S)
            assert port.opened_s is None
        assert port.opened_s == pytest.approx(free_s, abs=0.05)

    async def test_a_port_of_another_program_ends_the_process_with_a_drain(self, autojump_clock):
        """Guards against a process that waits forever for a port that was given twice, and against
        one that ends at once over it, with the requests that it has taken meanwhile."""
        begin_s, kernel = trio.current_time(), make_kernel()
        async with trio.open_nursery() as nursery:
            port = Port(free_s=begin_s + 60.0)
            await open_when_free(port.open, kernel, nursery, STOP_TIME_S)
            await kernel.stopping.wait()
        waited_s = trio.current_time() - begin_s
        assert waited_s == pytest.approx(STOP_TIME_S + END_TIME_S, abs=0.1)
        given_up = [one["fields"]["is_given_up"] for one in kernel.events.records()]
        assert given_up == [False, True]

    async def test_other_errors_are_not_waited_for(self, autojump_clock):
        """Guards against a wrong address that is noticed only after the time for a stop."""
        begin_s = trio.current_time()
        with pytest.raises(OSError, match="not opened"):
            await self._open(Port(free_s=begin_s + 60.0, cause=errno.EADDRNOTAVAIL))
        assert trio.current_time() < begin_s + 0.1

    async def _open(self, port: Port) -> None:
        try:
            async with trio.open_nursery() as nursery:
                await open_when_free(port.open, make_kernel(), nursery, STOP_TIME_S)
        except* OSError as causes:
            raise causes.exceptions[0] from None


class TestDatagramPort:
    """The port for datagrams while another process has it."""

    async def test_sends_nothing_before_it_is_open(self):
        """Guards against datagrams that bind the socket to another port, so that its own can't be
        opened any more."""
        first, second = DatagramPort(), DatagramPort()
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as probe:
            await probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        await first.open(HOST, port)
        try:
            with pytest.raises(OSError, match="in use"):
                await second.open(HOST, port)
            with trio.move_on_after(0.05) as early:
                await second.receive()
            assert early.cancelled_caught
            await second.send([HOST], b"early")
            first.close()
            await second.open(HOST, port)
            await second.send([HOST], b"now")
            with trio.fail_after(1.0):
                assert await second.receive() == [b"now"]
        finally:
            first.close()
            second.close()
