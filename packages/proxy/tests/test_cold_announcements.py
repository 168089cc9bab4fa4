"""What entries tell each other about cold servers, and what they make of it."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from sassafrastally.proxy.cold_tracking import ColdTracking
from sassafrastally.proxy.load import Work, server_hash
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.rate_limits import LimitReport
from sassafrastally.proxy.relays import sum_hellos
from sassafrastally.proxy.store import StorePosition
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.proxy.warm_up import MAX_COLD_S, MAX_COLDS_SENT, ColdNotice
from sassafrastally.testing.cold_fleet import SERVICES, ColdEntry, make_server

SERVER = make_server(1)
KEY = server_hash(SERVER.incarnation_id)
HELLO = Hello(
    "10.0.0.1", 7, 3, StorePosition(1, 12), 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
)


def entry(*servers) -> ColdEntry:
    """Return an entry that knows servers, by default one, from its first snapshot."""
    made = ColdEntry("10.0.0.1", -9.0)
    for server in servers or (SERVER,):
        made.limits.servers.record_registration(server, -9.0, is_new=False)
    return made


def sent_by(sender: ColdEntry, now_s: float) -> dict[int, float]:
    """Return what an entry sends."""
    return sender.announcements.to_send(sender.limits.servers, now_s)


class TestAnnouncements:
    """What an entry tells its peers."""

    def test_time_in_a_response_is_told_until_it_ends(self):
        """Guards against a lost datagram that leaves a peer without the news: each repeats it."""
        sender = entry()
        sender.read_answer(SERVER, 3.0, 0.0)
        assert sent_by(sender, 0.0) == {KEY: 3.0}
        assert sent_by(sender, 2.0) == {KEY: 1.0}
        assert sent_by(sender, 3.0) == {}

    def test_time_in_the_record_is_not_told(self):
        """Guards against datagrams that repeat for seconds what all entries read in the store."""
        sender = entry()
        record = SERVER._replace(cold_left_s=3.0)
        sender.limits.servers.record_registration(record, 0.0, is_new=True)
        sender.read_answer(SERVER, 2.95, 0.1)
        assert sent_by(sender, 0.1) == {}
        sender.read_answer(SERVER, 9.0, 0.2)
        assert sent_by(sender, 0.2) == {KEY: 9.0}

    def test_same_time_in_later_responses_is_no_news(self):
        """Guards against a datagram at once for each response of a cold server."""
        told = entry().announcements
        assert told.record_answer("e1@1", 3.0, float("-inf"))
        assert not told.record_answer("e1@1", 3.1, 3.0)
        assert told.record_answer("e1@1", 5.0, 3.1)

    def test_longest_times_are_told_first(self):
        """Guards against datagrams that grow with the number of cold servers."""
        servers = [make_server(number) for number in range(40)]
        sender = entry(*servers)
        for number, server in enumerate(servers):
            sender.read_answer(server, 1.0 + number, 0.0)
        longest = [40.0 - number for number in range(MAX_COLDS_SENT)]
        assert list(sent_by(sender, 0.0).values()) == longest

    def test_service_without_a_rate_tells_nothing(self):
        """Guards against any effect on deployments that don't configure cold servers."""
        sender = entry()
        sender.limits.servers.configure({"engines": SERVICES["engines"]._replace(cold_per_s=0)}, 0)
        sender.read_answer(SERVER, 3.0, 0.0)
        assert sent_by(sender, 0.0) == {}

    def test_entries_do_not_pass_on_what_peers_tell(self):
        """Guards against a cold time that two entries prolong by repeating it to each other."""
        first, second = entry(), entry()
        first.read_answer(SERVER, 3.0, 0.0)
        for turn in range(40):
            now_s = turn / 10
            for sender, receiver in ((first, second), (second, first)):
                sender.announce_to(receiver, SERVER, now_s, now_s + 0.05)
        assert second.limits.servers.rate_per_s(SERVER.incarnation_id, 3.2) is None


class TestReceived:
    """What an entry makes of a peer's datagram."""

    def test_later_of_two_ends_counts(self):
        """Guards against a peer with an older value that ends the cold time too early."""
        servers = entry().limits.servers
        assert servers.record_peer(SERVER, 3.0, 0.0) is ColdNotice.COLD
        servers.record_peer(SERVER, 1.0, 0.5)
        assert servers.left_s(SERVER.incarnation_id, 1.0) == 2.0
        servers.record_peer(SERVER, 4.0, 1.0)
        assert servers.left_s(SERVER.incarnation_id, 1.0) == 4.0

    def test_time_above_an_hour_is_ignored_and_reported_once(self):
        """Guards against a faulty peer that keeps a server cold or fills the log: it sends another
        value in each datagram."""
        servers = entry().limits.servers
        assert servers.record_peer(SERVER, MAX_COLD_S + 9.0, 0.0) is ColdNotice.REJECTED
        assert servers.record_peer(SERVER, MAX_COLD_S + 8.0, 1.0) is ColdNotice.NOTHING
        assert not servers

    def test_unknown_incarnation_is_ignored(self):
        """Guards against news about the life of a server that has restarted meanwhile."""
        servers = entry(make_server(1, born_ms=2)).limits.servers
        assert servers.record_peer(SERVER, 3.0, 0.0) is ColdNotice.NOTHING
        assert not servers


class TestTracking:
    """What an entry keeps of cold servers for its log."""

    def test_server_that_is_gone_while_cold_is_forgotten(self):
        """Guards against memory that grows with each id of servers without a start time that
        crash while cold."""
        server = SERVER._replace(born_ms=None)
        receiver = entry(server)
        servers = SimpleNamespace(known=lambda: [server], has_snapshot=True)
        kernel = SimpleNamespace(
            clock=SimpleNamespace(now_s=lambda: 0.0), events=SimpleNamespace(emit=lambda _: None)
        )
        tracking = ColdTracking(
            kernel,
            SimpleNamespace(servers=servers, configuration=SimpleNamespace(services=SERVICES)),
            SimpleNamespace(members=tuple),
            receiver.limits,
            lambda _incarnation_id: 0,
        )
        tracking.apply_colds({server_hash(server.incarnation_id): 3.0}, "10.0.0.2")
        tracking.forget_gone([server.incarnation_id])
        assert tracking._server_ids == {server.incarnation_id: server.server_id}
        tracking.forget_gone([])
        assert not tracking._server_ids


class TestSum:
    """Cold times in the sum of a data centre."""

    def test_sum_tells_the_longest_remaining_times(self):
        """Guards against other data centres that don't hear of a cold server, or for too long."""
        candidate = WatchCandidate("10.0.0.1", 0.0, 10)
        others = [(HELLO._replace(colds={5: 3.0, 6: 0.2}), 0.5), (HELLO, 0.1)]
        total = sum_hellos(HELLO._replace(colds={5: 1.0, 7: 9.0}), candidate, others)
        assert total.colds == {7: 9.0, 5: 2.5}
        assert list(total.colds) == [7, 5]


class TestDatagram:
    """Encoding of the field."""

    def test_encodes_and_decodes(self):
        hello = HELLO._replace(colds={1 << 63: 2.5, 5: 0.001})
        assert decode_hello(encode_hello(hello)) == hello

    def test_nothing_is_added_without_cold_servers(self):
        """Guards against larger datagrams in deployments without cold servers."""
        assert len(encode_hello(HELLO)) < len(encode_hello(HELLO._replace(colds={5: 1.0})))
        assert encode_hello(HELLO._replace(colds={})) == encode_hello(HELLO)

    def test_size_is_bounded_and_cold_times_are_kept(self):
        """Guards against datagrams that are too large to be received, and against cold times that
        are left out for the sake of loads."""
        draw = random.Random(1)
        keys = [draw.getrandbits(64) for _ in range(200)]
        hello = HELLO._replace(
            loads=dict.fromkeys(keys, Work(1, 2, 3, 4, 400_000, 60_000.0)),
            suspects={key: 8.0 * draw.random() for key in keys},
            limits={key: LimitReport(draw.random(), draw.random()) for key in keys},
            colds={key: 3.0 - number / 100 for number, key in enumerate(keys)},
        )
        data = encode_hello(hello)
        assert len(data) < 1400
        assert list(decode_hello(data).colds) == keys[:MAX_COLDS_SENT]

    @pytest.mark.parametrize("count", [MAX_COLDS_SENT + 1, 60])
    def test_too_many_received_times_are_cut(self, count, monkeypatch):
        """Guards against a peer that sends more than the agreed number."""
        module = "sassafrastally.proxy.warm_up.cold_exchange.MAX_COLDS_SENT"
        with monkeypatch.context() as patch:
            patch.setattr(module, 1000)
            data = encode_hello(HELLO._replace(colds=dict.fromkeys(range(count), 1.0)))
        assert len(decode_hello(data).colds) == MAX_COLDS_SENT
