"""Fetching changes from peers."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from sassafrastally.core import Address, Clock, Kernel
from sassafrastally.core.log_rate import LINE_INTERVAL_S
from sassafrastally.proxy.calls import CallClient, CallResponse, ResponseTooLarge
from sassafrastally.proxy.change_fetcher import (
    CHANGES_BOUNDS,
    ChangeFetcher,
    Source,
    changes_target,
    choose_source,
    parse_changes_target,
)
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.delta_messages import encode_delta
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.store import AnswerLost, StorePosition
from sassafrastally.proxy.store_records import Delta

from .test_cluster_state import REGISTRATION_EXPIRY_S, PlainDialect


class StuckPeer:
    """A peer whose answers bring nothing new."""

    def __init__(self) -> None:
        self.calls = 0

    async def exchange(self, method, target, headers, body, time_limit_s, bounds) -> CallResponse:
        self.calls += 1
        await trio.sleep(0.001)
        return CallResponse(200, [], encode_delta(Delta(None, (), StorePosition(0, 0))))


class TestTarget:
    """Target of a call for changes."""

    def test_names_the_position(self):
        position = StorePosition(3, 44)
        assert parse_changes_target(changes_target(position)) == position

    def test_peer_of_an_earlier_release_names_no_epoch(self):
        assert parse_changes_target("/changes?after=44") == StorePosition(0, 44)

    def test_invalid_target_names_none(self):
        assert parse_changes_target("/changes?after=x") is None
        assert parse_changes_target("/changes") is None


class TestSource:
    """Choice of the peer to fetch from."""

    def test_peer_of_the_latest_epoch_comes_first(self):
        """Guards against fetching from a peer that isn't aware of a restore yet."""
        old = Source("a", True, StorePosition(1, 90), 0, None)
        new = Source("b", True, StorePosition(2, 5), 0, None)
        assert choose_source([old, new], {}, 0.0) is new


class TestKeptConnection:
    """A connection to a peer that is kept between calls."""

    @pytest.mark.parametrize("is_reset", [False, True])
    async def test_that_closes_beside_a_call_costs_no_time(self, nursery, is_reset):
        """Guards against a peer that counts as failed, and changes that come late, since it has
        closed an idle connection as the call was sent."""
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        body = encode_delta(Delta((), (), StorePosition(0, 5)))
        response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        calls = []

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some()
                calls.append(stream)
                await stream.send_all(response)
                # Closed with the call unread.
                await trio.lowlevel.wait_readable(stream.socket)
                if not is_reset:
                    await stream.receive_some()

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        client = CallClient(Address(*listener.socket.getsockname()))
        await client.exchange("GET", "/changes", [], b"", 1.0)
        sources = [Source("a", True, StorePosition(0, 5), 0, client)]
        fetcher = ChangeFetcher(
            kernel, state, lambda: sources if state.position < (0, 5) else [], lambda: False
        )
        nursery.start_soon(fetcher.run)
        fetcher.note_news()
        with trio.fail_after(1.0):
            while state.position < (0, 5):
                await trio.sleep(0.01)
        assert len(calls) == 2
        assert "PeerFailed" not in [record["name"] for record in kernel.events.records()]


class TestFailingPeer:
    async def test_its_failures_are_logged_at_a_bounded_rate(self, autojump_clock, nursery):
        """Guards against ten lines a second while a peer's port is closed and it has news."""
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))

        async def exchange(*_arguments):
            await trio.sleep(0.001)
            raise AnswerLost("connection refused")

        source = Source("a", True, StorePosition(0, 5), 7, SimpleNamespace(exchange=exchange))
        fetcher = ChangeFetcher(kernel, state, lambda: [source], lambda: False)
        nursery.start_soon(fetcher.run)
        fetcher.note_news()
        await trio.sleep(10 * LINE_INTERVAL_S)
        lines = [record["fields"] for record in kernel.events.records()]
        assert 9 <= len(lines) <= 10
        assert sum(fields["failures"] for fields in lines) > 1000 * LINE_INTERVAL_S / 20


class TestFruitlessPeer:
    """A peer whose answers don't bring what its datagrams promise."""

    async def test_it_is_not_called_in_a_loop(self, autojump_clock, nursery):
        """Guards against calls without a pause while a peer promises a configuration that can't be
        used here."""
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        peer = StuckPeer()
        source = Source("a", True, StorePosition(0, 0), 7, peer)
        fetcher = ChangeFetcher(kernel, state, lambda: [source], lambda: False)
        nursery.start_soon(fetcher.run)
        for _ in range(100):
            fetcher.note_news()
            await trio.sleep(0.1)
        assert 1 <= peer.calls <= 3

    @pytest.mark.parametrize("failure", [ResponseTooLarge("endless"), DocumentInvalid("no delta")])
    async def test_unusable_answers_are_not_fetched_in_a_loop(
        self, failure, autojump_clock, nursery
    ):
        """Guards against fetching four megabytes again and again from a peer that sends bytes
        without end, and against a line of the log for each of them."""
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        calls = []

        async def exchange(method, target, headers, body, time_limit_s, bounds):
            calls.append(bounds)
            await trio.sleep(0.001)
            raise failure

        source = Source("a", True, StorePosition(0, 5), 7, SimpleNamespace(exchange=exchange))
        fetcher = ChangeFetcher(kernel, state, lambda: [source], lambda: False)
        nursery.start_soon(fetcher.run)
        for _ in range(100):
            fetcher.note_news()
            await trio.sleep(0.1)
        assert 1 <= len(calls) <= 3
        assert set(calls) == {CHANGES_BOUNDS}
        assert [record["name"] for record in kernel.events.records()] == ["PeerFailed"]


class TestOldView:
    """A peer that has changes of a store of which it hasn't heard for some seconds."""

    async def test_its_changes_are_no_news_of_the_store(self, autojump_clock, nursery):
        """Guards against a view that counts as confirmed at the time of the fetch: a gap in which
        leases lapsed would look like none, and live servers like ones that left."""
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        await trio.sleep(10.0)
        heard_s = trio.current_time() - 4.0

        async def exchange(*_arguments):
            await trio.sleep(0.001)
            return CallResponse(200, [], encode_delta(Delta(None, (), StorePosition(0, 5))))

        peer = SimpleNamespace(exchange=exchange)
        source = Source("a", True, StorePosition(0, 5), 0, peer, heard_s)
        fetcher = ChangeFetcher(kernel, state, lambda: [source], lambda: False)
        nursery.start_soon(fetcher.run)
        fetcher.note_news()
        await trio.sleep(1.0)
        assert state.position == StorePosition(0, 5)
        assert state.confirmed_s == heard_s
