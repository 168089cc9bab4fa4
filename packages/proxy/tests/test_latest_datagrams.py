"""Selection of waiting datagrams: decisions, headers, and a replay of an entry with slow turns."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.latest_datagrams import DatagramHeader, Sender, select_latest
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.peer_messages import decode_header, encode_hello
from sassafrastally.proxy.quarantine_exchange import AnswerReport, QuarantineReport
from sassafrastally.proxy.rate_limits import Grant, ShareNews
from sassafrastally.testing.outside_values import hello

PEERS = 20
SEND_INTERVAL_MS = 80
TURN_MS = 50
REPLAYED_MS = 10_000


def header(
    host: str, sequence: int, *, boot_id: int = 1, is_sum: bool = False, has_events: bool = False
) -> DatagramHeader:
    """Return the header of a datagram."""
    return DatagramHeader(Sender(host, boot_id, is_sum), sequence, has_events)


class TestSelection:
    """Which waiting datagrams are decoded."""

    def test_only_latest_state_of_each_peer(self):
        """Guards against work that grows with the time for which datagrams wait."""
        waiting = [header("a", 1), header("b", 7), header("a", 2), header("b", 8), header("a", 3)]
        assert select_latest(waiting) == [3, 4]

    def test_late_datagram_does_not_replace_a_later_one(self):
        """Guards against a state that a datagram replaces which was overtaken on the network."""
        assert select_latest([header("a", 3), header("a", 2)]) == [0]

    def test_sum_and_own_state_do_not_replace_each_other(self):
        """Guards against a relay whose sums hide its own state, or the other way round."""
        assert select_latest([header("a", 1), header("a", 2, is_sum=True)]) == [0, 1]

    def test_states_of_two_lives_are_both_decoded(self):
        """Guards against a restarted peer whose first states count as old."""
        assert select_latest([header("a", 90), header("a", 1, boot_id=2)]) == [0, 1]

    def test_events_are_kept(self):
        """Guards against a crash or a verdict that is lost since a later datagram lacks it."""
        waiting = [header("a", 1), header("a", 2, has_events=True), header("a", 3)]
        assert select_latest(waiting) == [1, 2]

    def test_invalid_datagrams_are_left_out(self):
        """Guards against an invalid datagram that ends the reading of the others."""
        assert select_latest([None, header("a", 1), None]) == [1]


class TestHeaders:
    """Headers of datagrams."""

    def test_state_is_no_event(self):
        """Guards against a header that keeps each datagram."""
        data = encode_hello(hello(sequence=5, loads={1: Work(short_requests=2)}))
        assert decode_header(data) == header("10.0.0.1", 5)

    def test_sum_is_told_from_own_state(self):
        """Guards against a sum that counts as the relay's own state."""
        assert decode_header(encode_hello(hello(entries=3))) == header("10.0.0.1", 1, is_sum=True)

    @pytest.mark.parametrize(
        "events",
        [
            {"quarantine": QuarantineReport((), (), (AnswerReport(7, 0.5),))},
            {"shares": ShareNews({}, (Grant(1, 2, 3, 1.0, 4),))},
            {"peers": ("10.0.0.2",)},
        ],
        ids=lambda events: next(iter(events)),
    )
    def test_events_are_found(self, events):
        """Guards against events that a later state replaces."""
        found = decode_header(encode_hello(hello(**events)))
        assert found is not None
        assert found.has_events

    def test_other_bytes_have_none(self):
        """Guards against an error at datagrams of other programs."""
        assert decode_header(b"GET / HTTP/1.1") is None


class TestReplay:
    """An entry with turns of 50 ms, to which 20 peers report each 80 ms."""

    def test_state_is_as_old_as_a_turn(self):
        """Guards against a view of the peers that falls behind while the entry is short of time."""
        waiting: list[DatagramHeader] = []
        known: dict[str, int] = {}
        decoded = []
        for now_ms in range(REPLAYED_MS):
            if now_ms % (SEND_INTERVAL_MS // PEERS) == 0:
                number = now_ms // (SEND_INTERVAL_MS // PEERS)
                waiting.append(header(f"peer {number % PEERS}", now_ms))
            if now_ms % TURN_MS == TURN_MS - 1:
                chosen = [waiting[index] for index in select_latest(waiting)]
                known |= {one.sender.host: one.sequence for one in chosen}
                decoded.append(len(chosen))
                waiting.clear()
        assert max(decoded) <= PEERS
        assert REPLAYED_MS - min(known.values()) <= SEND_INTERVAL_MS + TURN_MS
