"""Datagrams of peers that wait at an entry whose tasks seldom get a turn of the event loop."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from itertools import pairwise

import pytest
import trio

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.load_exchange import PEER_TIMEOUT_S
from sassafrastally.proxy.peer_messages import encode_hello
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.documents import make_configuration
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.outside_values import hello

PEERS = 20
"""Peers that report directly; with more, data centres exchange sums."""

PEER_HOSTS = [f"127.20.2.{number}" for number in range(1, PEERS + 1)]

SEND_INTERVAL_S = 0.08
"""Shortest time between two datagrams of one of so many peers."""

TURN_S = 0.05

BUSY_BEFORE_S = 2.5

IN_FORCE_S = 2.0
"""Time in which operators want a version in force everywhere."""


class ReportingPeers:
    """Peers that send their state to an entry from threads of their own, and receive its state.

    Attributes
    ----------
    heard_s
        When datagrams of the entry arrived at one of the peers, in order.
    """

    def __init__(self, host: str, port: int) -> None:
        self.heard_s: list[float] = []
        self._address = host, port
        self._has_ended = threading.Event()
        self._threads = [
            threading.Thread(target=task, daemon=True) for task in (self._send, self._receive)
        ]

    def __enter__(self) -> ReportingPeers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._has_ended.set()
        for thread in self._threads:
            thread.join()

    def _send(self) -> None:
        sequence = 0
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            while not self._has_ended.wait(SEND_INTERVAL_S / PEERS):
                sequence += 1
                host = PEER_HOSTS[sequence % PEERS]
                state = hello(host=host, sequence=sequence, store_age_s=9.0, returned_age_s=99.0)
                sender.sendto(encode_hello(state), self._address)

    def _receive(self) -> None:
        with socket.socket(type=socket.SOCK_DGRAM) as receiver:
            receiver.settimeout(TURN_S)
            receiver.bind((PEER_HOSTS[0], self._address[1]))
            while not self._has_ended.is_set():
                with suppress(TimeoutError):
                    receiver.recv(2048)
                    self.heard_s.append(time.perf_counter())


async def run_slowly(for_s: float) -> None:
    """Let each turn of the event loop take long."""
    until_s = trio.current_time() + for_s
    while trio.current_time() < until_s:
        time.sleep(TURN_S)
        await trio.lowlevel.checkpoint()


@pytest.fixture
async def slow_entry(fleet):
    """An entry without the store that knows a peer with it."""
    await fleet.add_entry(1)
    kernel = await fleet.add_entry(2)
    watching = fleet.entry_settings(1).host
    await wait_until(lambda: watching in kernel.get("peers", Peers).live_hosts())
    fleet.entries_without_store.add(2)
    return kernel


@pytest.fixture
async def reporting_peers(fleet, slow_entry):
    """Many other peers of that entry."""
    settings = fleet.entry_settings(2)
    with ReportingPeers(settings.host, settings.peer_port) as peers:
        yield peers


class TestSlowTurns:
    """Slow turns of the event loop while many peers report."""

    async def test_new_configuration_is_in_force_in_time(self, fleet, slow_entry, reporting_peers):
        """Guards against state that is taken as current although it has waited for seconds behind
        other datagrams, of which one a turn was read."""
        await run_slowly(BUSY_BEFORE_S)
        fleet.configure(make_configuration(2))
        begin_s = trio.current_time()
        cluster_state = slow_entry.get("beliefs", ClusterState)
        while cluster_state.configuration_version < 2:
            await run_slowly(TURN_S)
            assert trio.current_time() - begin_s < IN_FORCE_S

    async def test_own_state_reaches_each_peer_in_time(self, slow_entry, reporting_peers):
        """Guards against a live entry that its peers take for dead, since its state is sent to one
        of them a turn."""
        await run_slowly(BUSY_BEFORE_S)
        heard_s = reporting_peers.heard_s
        gaps_s = [after - before for before, after in pairwise(heard_s)]
        assert len(gaps_s) > 1
        assert max(gaps_s) < PEER_TIMEOUT_S
