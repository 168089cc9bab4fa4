"""Where requests go under which a server has crashed, replayed for several entries at once."""

from __future__ import annotations

import random

from sassafrastally.core import Address
from sassafrastally.proxy.apart import MOST_DEALT, dealt_server
from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.model import BackendServer


def view(number: int, suspects: int = 0) -> ServerView:
    """Return a server that runs some requests with crashes against them."""
    server = BackendServer(f"s{number}", "engines", Address("h", number), "here", 8, False)
    return ServerView(server, Work(suspect_requests=suspects), False, 1.0)


def dealt(views, fingerprint: int, others) -> str:
    """Return the server that a request is dealt."""
    (found,) = dealt_server(views, fingerprint, with_crashes(fingerprint, *others))
    return found.server.server_id


def with_crashes(*fingerprints: int, crashes: int = 1) -> dict[int, int]:
    """Return requests that were on as many crashed servers each."""
    return dict.fromkeys(fingerprints, crashes)


class TestDealing:
    """Requests that were on one crashed server."""

    def test_each_goes_to_a_server_of_its_own_whichever_entry_sends_it(self):
        """Eight requests of four entries were on a server that crashed, one of them harmful. What
        meets the harmful one again is broken off for good; if it meets it a third time, it is
        quarantined with it."""
        draw = random.Random(3)
        views = [view(number) for number in range(13)]
        for _ in range(200):
            beside = [draw.getrandbits(64) for _ in range(8)]
            found = []
            for one in beside:
                others = [other for other in beside if other != one]
                draw.shuffle(others)  # Entries learn of them in different order.
                found.append(dealt(views, one, others))
            assert len(set(found)) == 8

    def test_one_body_asked_by_many_goes_to_one_server(self):
        views = [view(number) for number in range(13)]
        assert len({dealt(views, 77, [1, 2, 3]) for _ in range(20)}) == 1

    def test_servers_that_run_another_one_are_passed_over(self):
        views = [view(number, suspects=number != 4) for number in range(13)]
        assert all(dealt(views, one, []) == "s4" for one in range(50))

    def test_more_requests_than_servers_leave_the_choice_open(self):
        views = [view(number) for number in range(3)]
        beside = list(range(10))
        found = [dealt_server(views, one, with_crashes(*beside)) for one in beside]
        assert [len(one) for one in found] == [1, 1, 1] + [3] * 7
        assert dealt_server([], 1, with_crashes(1)) == []

    def test_many_beside_it_cost_no_more_than_some(self):
        views = [view(number) for number in range(40)]
        suspects = with_crashes(1 << 64, *range(MOST_DEALT * 100))
        assert len(dealt_server(views, 1 << 64, suspects)) == 1

    def test_two_that_crashed_together_twice_part_among_few_servers(self):
        """Guards against a good request meeting the harmful one for the third time: both were
        quarantined."""
        draw = random.Random(5)
        for _ in range(500):
            first, second, *others = (draw.getrandbits(64) for _ in range(10))
            suspects = with_crashes(*others) | with_crashes(first, second, crashes=2)
            # Each entry has its own knowledge of where suspects run.
            found = [
                dealt_server([view(n, draw.randrange(2)) for n in range(3)], one, suspects)
                for one in (first, second, *others)
            ]
            servers = [{view.server.server_id for view in views} for views in found]
            assert len(servers[0] | servers[1]) == 2
            assert all(not of_other & (servers[0] | servers[1]) for of_other in servers[2:])
