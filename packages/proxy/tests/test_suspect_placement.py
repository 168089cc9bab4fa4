"""Placement of suspect requests after a server crash, simulated for several entries."""

from __future__ import annotations

import random

from sassafrastally.core import Address
from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.model import BackendServer
from sassafrastally.proxy.suspect_placement import MAX_ASSIGNED_REQUESTS, assigned_servers


def view(number: int, suspects: int = 0) -> ServerView:
    """Return a server that runs that many suspect requests."""
    server = BackendServer(f"s{number}", "engines", Address("h", number), "here", 8, False)
    return ServerView(server, Work(suspect_requests=suspects), False, 1.0)


def assigned_server(views, fingerprint: int, others) -> str:
    """Return the id of the server that a request is assigned to."""
    (found,) = assigned_servers(views, fingerprint, crash_counts(fingerprint, *others))
    return found.server.server_id


def crash_counts(*fingerprints: int, crashes: int = 1) -> dict[int, int]:
    """Return requests that were each on that many crashed servers."""
    return dict.fromkeys(fingerprints, crashes)


class TestAssignment:
    """Assignment of requests that were on one crashed server."""

    def test_each_request_gets_its_own_server_whichever_entry_sends_it(self):
        """Eight requests of four entries were on a server that crashed, and one of them is harmful.
        A request that shares a server with the harmful one again fails for good; after a third time
        it is quarantined together with it."""
        draw = random.Random(3)
        views = [view(number) for number in range(13)]
        for _ in range(200):
            suspects_on_server = [draw.getrandbits(64) for _ in range(8)]
            found = []
            for one in suspects_on_server:
                others = [other for other in suspects_on_server if other != one]
                draw.shuffle(others)  # Entries learn of them in different orders.
                found.append(assigned_server(views, one, others))
            assert len(set(found)) == 8

    def test_identical_bodies_go_to_one_server(self):
        views = [view(number) for number in range(13)]
        assert len({assigned_server(views, 77, [1, 2, 3]) for _ in range(20)}) == 1

    def test_servers_that_run_another_suspect_request_are_avoided(self):
        views = [view(number, suspects=number != 4) for number in range(13)]
        assert all(assigned_server(views, one, []) == "s4" for one in range(50))

    def test_requests_beyond_the_number_of_servers_can_use_any_server(self):
        views = [view(number) for number in range(3)]
        suspects_on_server = list(range(10))
        found = [
            assigned_servers(views, one, crash_counts(*suspects_on_server))
            for one in suspects_on_server
        ]
        assert [len(one) for one in found] == [1, 1, 1] + [3] * 7
        assert assigned_servers([], 1, crash_counts(1)) == []

    def test_number_of_assigned_requests_is_bounded(self):
        views = [view(number) for number in range(40)]
        suspects = crash_counts(1 << 64, *range(MAX_ASSIGNED_REQUESTS * 100))
        assert len(assigned_servers(views, 1 << 64, suspects)) == 1

    def test_two_requests_with_two_shared_crashes_are_separated_on_few_servers(self):
        """Guards against a harmless request sharing a third crash with the harmful one: both would
        be quarantined."""
        draw = random.Random(5)
        for _ in range(500):
            first, second, *others = (draw.getrandbits(64) for _ in range(10))
            suspects = crash_counts(*others) | crash_counts(first, second, crashes=2)
            # Entries differ in which servers they know to run suspect requests.
            found = [
                assigned_servers([view(n, draw.randrange(2)) for n in range(3)], one, suspects)
                for one in (first, second, *others)
            ]
            servers = [{view.server.server_id for view in views} for views in found]
            assert len(servers[0] | servers[1]) == 2
            assert all(not of_other & (servers[0] | servers[1]) for of_other in servers[2:])
