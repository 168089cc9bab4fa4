"""Which connection is closed when too many are open at a port."""

from __future__ import annotations

import random

import pytest

from sassafrastally.proxy.open_connections import (
    ConnectionUse,
    OpenConnections,
    most_internal_connections,
)

MOST = 4


@pytest.fixture
def unread() -> set[str]:
    """Connections with unread input."""
    return set()


@pytest.fixture
def connections(unread: set[str]) -> OpenConnections[str]:
    return OpenConnections(MOST, unread.__contains__)


class TestOrder:
    """The one that is closed for a new connection."""

    def test_idle_ones_go_first_and_responses_last(self, connections):
        """Guards against a response that is cut while idle connections are open."""
        for name in ("response", "request", "idle", "idle later"):
            assert connections.open(name) == []
        connections.record_use("request", ConnectionUse.REQUEST)
        connections.record_use("response", ConnectionUse.RESPONSE)
        closed = []
        for number in range(MOST):
            closed += connections.open(str(number))
            connections.record_use(str(number), ConnectionUse.RESPONSE)
        assert closed == ["idle", "idle later", "request", "response"]

    def test_one_with_unread_input_stays_beyond_the_bound(self, connections, unread):
        """Guards against a request that has arrived and is reset."""
        for number in range(MOST):
            connections.open(str(number))
        unread.update("0123")
        assert connections.open("new") == []
        assert len(connections) == MOST + 1
        unread.clear()
        assert connections.open("newer") == ["0", "1"]

    def test_responses_are_bounded_although_more_has_arrived(self, connections, unread):
        """Guards against clients that pipeline requests and don't read."""
        for number in range(MOST):
            connections.open(str(number))
            connections.record_use(str(number), ConnectionUse.RESPONSE)
        unread.update("0123")
        assert connections.open("new") == ["0"]


class TestReplay:
    @pytest.mark.parametrize("seed", range(20))
    def test_none_with_unread_input_is_closed_and_the_number_is_bounded(self, seed):
        """Guards against an order of uses in which the bound or a request is lost."""
        chance, use_of, unread = random.Random(seed), {}, set()
        connections = OpenConnections(MOST, unread.__contains__)
        for name in range(200):
            for closed in connections.open(name):
                assert closed not in unread or use_of[closed] is ConnectionUse.RESPONSE
                del use_of[closed]
            use_of[name] = ConnectionUse.IDLE
            readable = {one for one in use_of if use_of[one] is not ConnectionUse.RESPONSE}
            assert len(connections) == len(use_of) <= max(MOST, len(readable & unread) + 1)
            for one in chance.sample(sorted(use_of), min(2, len(use_of))):
                use_of[one] = chance.choice(list(ConnectionUse))
                connections.record_use(one, use_of[one])
            unread ^= set(chance.sample(sorted(use_of), 1))


class TestBound:
    @pytest.mark.parametrize(
        ("max_descriptors", "most"), [(100_000, 3072), (4100, 975), (2870, 667), (400, 50), (1, 1)]
    )
    def test_leaves_descriptors_for_attempts(self, max_descriptors, most):
        """Guards against a bound that is right only where descriptors are many."""
        assert most_internal_connections(max_descriptors) == most
