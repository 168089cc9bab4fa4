"""Which connections are closed when more are open than a server may have."""

from __future__ import annotations

import math

import pytest

from sassafrastally.entry.idle_connections import FIRST_REQUEST_S, Connections

MAX_COUNT = 32
MAX_EXCESS = 2


class Connection:
    """A connection without I/O."""

    def __init__(self, accepted_s: float, *, has_received: bool = False) -> None:
        self.accepted_s = accepted_s
        self.has_received = has_received
        self.has_input = False
        self.gives_way_s = math.inf

    def has_unread_input(self) -> bool:
        return self.has_input

    def give_way(self, limit_s: float) -> None:
        self.gives_way_s = limit_s


class World:
    """A server's connections at a time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.connections = Connections(MAX_COUNT, lambda: self.now_s)

    def open(self, count: int, *, is_idle: bool = True) -> list[Connection]:
        """Open connections; the requests of those that aren't idle are in progress."""
        opened = [Connection(self.now_s, has_received=not is_idle) for _ in range(count)]
        for one in opened:
            self.connections.add(one)
            if not is_idle:
                self.connections.set_idle(one, is_idle=False)
        return opened


@pytest.fixture
def world() -> World:
    return World()


class TestNewConnections:
    """Connections that are accepted while all others have requests."""

    def test_have_time_for_their_first_requests_up_to_a_share_of_the_bound(self, world):
        """Guards against new callers that are reset with their requests on the way, and against a
        flood that takes all descriptors by that time."""
        world.open(MAX_COUNT, is_idle=False)
        new = world.open(MAX_EXCESS + 3)
        assert [one.gives_way_s for one in new] == [0.0] * 3 + [FIRST_REQUEST_S] * MAX_EXCESS
        assert len(world.connections) == MAX_COUNT + MAX_EXCESS

    def test_with_a_part_of_a_request_go_before_those_without(self, world):
        """Guards against clients that send half a header to keep others out."""
        world.open(MAX_COUNT - 1, is_idle=False)
        (half,) = world.open(1)
        half.has_received = True
        (new,) = world.open(1)
        assert (half.gives_way_s, new.gives_way_s) == (0.0, math.inf)


class TestIdleConnections:
    def test_longest_idle_one_without_input_gives_way(self, world):
        """Guards against a request that has arrived and is reset."""
        idle = world.open(MAX_COUNT)
        world.now_s = FIRST_REQUEST_S
        idle[0].has_input = True
        world.open(2)
        assert [one.gives_way_s for one in idle[:4]] == [math.inf, 0.0, 0.0, math.inf]

    def test_one_that_got_a_request_meanwhile_counts_again(self, world):
        """Guards against connections that stay open without being counted."""
        late, *_ = world.open(MAX_COUNT)
        world.now_s = FIRST_REQUEST_S
        world.open(1)
        assert late.gives_way_s == 0.0
        world.connections.set_idle(late, is_idle=False)
        assert len(world.connections) == MAX_COUNT + 1
        world.open(1)
        assert len(world.connections) == MAX_COUNT
