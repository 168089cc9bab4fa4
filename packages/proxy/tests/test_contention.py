"""Contention state shared between entries: what is sent, what counts, and failures midway."""

from __future__ import annotations

import random
import re
from types import SimpleNamespace

import capnp
import pytest
import trio

from sassafrastally.proxy.admission_queue import AdmissionQueue, WaitingFacts, WaitingRequest
from sassafrastally.proxy.contention import (
    MAX_CUSTOMERS_SENT,
    MAX_PEER_REFUSALS,
    MAX_REFUSALS_SENT,
    NO_CONTENTION_NEWS,
    ContentionNews,
    PeerRefusals,
    SentRefusals,
    SharedContention,
    customer_hash,
    decode_contention,
    encode_contention,
    sum_contention,
    total_work_ms,
)
from sassafrastally.proxy.load import Lane, Work
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.peer_schema import SCHEMA_FILE
from sassafrastally.proxy.store import StorePosition
from sassafrastally.testing.exchange_rounds import STEP_S, Exchange

FACTS = WaitingFacts(2, False, "ana", 100.0, 1000, 0.0, 10.0)
QUEUE = ("engines", Lane.LONG)
ANA, BIG = customer_hash("ana"), customer_hash("big")
NEWS = ContentionNews(True, {BIG: 500.0, ANA: 20.0}, {1 << 63: 2.5, 7: 1.25})
HELLO = Hello(
    "10.0.0.1", 7, 3, StorePosition(1, 12), 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
)


def contention(own_ms: dict[str, float], news: list[ContentionNews]) -> SharedContention:
    """Return an uncontended entry's state with own work and peers' state."""
    shared = SharedContention(lambda _now_s: own_ms, lambda: 0)
    shared.peers_news = lambda: news
    return shared


class TestMessages:
    """Contention state in datagrams."""

    def test_encodes_and_decodes_the_state(self):
        assert decode_hello(encode_hello(HELLO._replace(contention=NEWS))).contention == NEWS

    def test_nothing_is_added_without_contention(self):
        """Guards against datagrams that grow although nothing waits."""
        assert encode_contention(NO_CONTENTION_NEWS) == {}
        assert encode_hello(HELLO._replace(contention=ContentionNews())) == encode_hello(HELLO)

    def test_earlier_versions_ignore_the_fields_and_send_none(self, tmp_path):
        """Guards against entries of two versions that don't understand each other midway."""
        earlier = re.sub(r"\n  \w+ @(27|28|29|30|31) :.*", "", SCHEMA_FILE.read_text())
        (tmp_path / "earlier.capnp").write_text(earlier.replace("0xd1b0a51e", "0xd1b0a51f"))
        schema = capnp.load(str(tmp_path / "earlier.capnp"))
        message = schema.Hello.from_bytes_packed(encode_hello(HELLO._replace(contention=NEWS)))
        assert (message.host, message.sequence) == ("10.0.0.1", 3)
        sent = schema.Hello.new_message(host="10.0.0.2", sequence=4).to_bytes_packed()
        assert decode_hello(sent).contention == NO_CONTENTION_NEWS

    def test_surplus_and_implausible_items_are_ignored(self):
        """Guards against a faulty peer that fills the memory or makes callers late for minutes."""

        message = SimpleNamespace(
            isContended=False,
            customers=[SimpleNamespace(customer=number, workMs=5) for number in range(100)],
            refusals=[
                SimpleNamespace(request=number, dueMs=due_ms)
                for number, due_ms in enumerate((60_001, 0, *[60_000] * 97), 1)
            ],
        )
        news = decode_contention(message)
        assert len(news.customers) == MAX_CUSTOMERS_SENT
        assert list(news.refusals) == list(range(3, MAX_REFUSALS_SENT + 1))

    def test_large_datagram_drops_the_state_before_loads(self):
        """Guards against placements that don't see the load of an entry with many customers."""
        draw = random.Random(1)
        loads = {draw.getrandbits(64): Work(1, 2, 3, 4, 400_000, 60_000.0) for _ in range(60)}
        items = {draw.getrandbits(64): 50.0 * draw.random() for _ in range(16)}
        alone = HELLO._replace(loads=loads)
        data = encode_hello(alone._replace(contention=ContentionNews(True, items, items)))
        assert len(data) < 1400
        assert len(decode_hello(data).loads) == len(decode_hello(encode_hello(alone)).loads)


class TestRefusals:
    """Refusals that are announced, and those that peers announce."""

    def test_refusal_is_sent_again_for_half_a_second(self):
        """Guards against the loss of one datagram."""
        sent = SentRefusals()
        sent.record(7, 13.0, 10.0)
        sent.record(8, 12.0, 10.2)
        assert sent.to_send(10.25) == {8: 1.75, 7: 2.75}
        assert list(sent.to_send(10.25)) == [8, 7]
        assert sent.to_send(10.5) == {8: 1.5}
        assert sent.to_send(10.7) == {}

    def test_caller_is_early_until_the_announced_time(self):
        refusals = PeerRefusals()
        assert refusals.record(7, 2.0, 10.0)
        assert refusals.is_early(7, 11.8)
        assert not refusals.is_early(7, 12.0)
        assert not refusals.is_early(8, 10.0)

    def test_late_datagram_does_not_make_an_obedient_caller_early(self):
        """Only durations are sent: a datagram that is late by 0.1 s would prolong the time."""
        refusals = PeerRefusals()
        refusals.record(7, 2.0, 10.1)
        assert not refusals.is_early(7, 12.01)
        refusals = PeerRefusals()
        refusals.record(7, 2.0, 10.0)
        assert not refusals.record(7, 2.0, 10.1)
        assert not refusals.is_early(7, 11.91)

    def test_second_refusal_of_a_request_counts(self):
        refusals = PeerRefusals()
        refusals.record(7, 2.0, 10.0)
        assert refusals.record(7, 3.0, 11.0)
        assert refusals.is_early(7, 13.5)

    def test_memory_is_bounded(self):
        refusals = PeerRefusals()
        for fingerprint in range(MAX_PEER_REFUSALS + 1):
            refusals.record(fingerprint, 2.0, 1.0)
        assert not refusals.is_early(0, 1.5)
        assert refusals.is_early(MAX_PEER_REFUSALS, 1.5)


class TestSharedContention:
    """What an entry sends, and which work of peers counts."""

    def test_customers_are_sent_while_the_sender_or_a_peer_is_contended(self):
        shared = contention({"ana": 5.0, "big": 90.0}, [])
        assert shared.news_to_send(1.0) == NO_CONTENTION_NEWS
        shared.apply(ContentionNews(is_contended=True), 2.0)
        assert shared.news_to_send(2.9) == ContentionNews(False, {BIG: 90.0, ANA: 5.0}, {})
        assert shared.news_to_send(3.1) == NO_CONTENTION_NEWS
        shared.record_refusal(7, 12.0, 10.0)
        assert shared.news_to_send(10.1).refusals == {7: pytest.approx(1.9)}
        assert shared.news_to_send(19.9) == ContentionNews(True, {BIG: 90.0, ANA: 5.0}, {})
        assert shared.news_to_send(20.0) == NO_CONTENTION_NEWS

    def test_customer_that_is_not_contended_does_not_keep_peers_sending(self):
        """Guards against entries that keep each other sending for ever."""
        shared = contention({"ana": 5.0}, [ContentionNews(False, {ANA: 3.0})])
        shared.apply(ContentionNews(False, {ANA: 3.0}), 1.0)
        assert shared.news_to_send(1.1) == NO_CONTENTION_NEWS

    def test_work_of_all_entries_counts(self):
        """Guards against a customer whose load is spread over entries that each see little."""
        news = [ContentionNews(True, {BIG: 60.0}), ContentionNews(False, {BIG: 30.0, ANA: 1.0})]
        shared = contention({"ana": 50.0}, news)
        shared.apply(news[0], 1.0)
        work_ms = shared.work_ms(1.0)
        assert [work_ms(name) for name in ("big", "ana", "new")] == [90.0, 51.0, 0.0]

    def test_work_of_silent_peers_does_not_count(self):
        """Guards against a log line with the work of a peer that the peers' table has dropped."""
        news = [ContentionNews(True, {BIG: 60.0})]
        shared = contention({}, news)
        shared.apply(news[0], 1.0)
        assert shared.work_ms(1.0)("big") == 60.0
        news.clear()
        assert shared.work_ms(1.0)("big") == 0.0

    def test_restarted_entry_starts_without_state(self):
        assert contention({}, []).news_to_send(0.0) == NO_CONTENTION_NEWS

    def test_sum_of_a_data_centre_is_bounded_and_has_the_latest_refusals_of_each(self):
        many = ContentionNews(False, {n: 1.0 + n for n in range(16)}, dict.fromkeys(range(16), 2.0))
        other = ContentionNews(True, {99: 50.0, 15: 1.0}, {100: 1.0, 101: 0.1})
        summed = sum_contention([(many, 0.0), (other, 0.25)])
        assert summed.is_contended
        assert list(summed.customers.items())[:2] == [(99, 50.0), (15, 17.0)]
        assert len(summed.customers) == MAX_CUSTOMERS_SENT
        assert summed.refusals[100] == 0.75
        assert 101 not in summed.refusals
        assert len(summed.refusals) == MAX_REFUSALS_SENT


class TestSums:
    """Sums by relays, on real tables and datagrams in rounds of 0.25 s."""

    @staticmethod
    def started() -> Exchange:
        """Return 38 contended entries that each have a millisecond of one customer's work."""
        exchange = Exchange(38, 3, slow_link_mbps=7)
        for node in exchange.nodes.values():
            node.contention = ContentionNews(True, {BIG: 1.0}, {node.link_mbps: 2.0})
        exchange.introduce_all()
        exchange.run_rounds(12)
        return exchange

    @staticmethod
    def work_seen(exchange: Exchange) -> set[float]:
        """Return the work of the customer that live entries see at others."""
        return {
            total_work_ms(node.table.contention_news(exchange.now_s)).get(BIG, 0.0)
            for node in exchange.alive()
        }

    def test_work_of_each_entry_counts_once_everywhere(self):
        assert self.work_seen(self.started()) == {37.0}

    def test_crashed_relay_and_its_work_are_forgotten_within_a_second(self):
        exchange = self.started()
        exchange.nodes["10.0.0.0"].is_alive = False
        exchange.run_rounds(int(1.5 / STEP_S))
        assert self.work_seen(exchange) == {36.0}

    def test_each_side_of_a_partition_counts_its_own(self):
        exchange = self.started()
        others = ("dc-1", "dc-2")
        exchange.cut = {pair for one in others for pair in (("dc-0", one), (one, "dc-0"))}
        exchange.run_rounds(int(2.0 / STEP_S))
        assert self.work_seen(exchange) == {12.0, 24.0}
        exchange.cut = set()
        exchange.run_rounds(4)
        assert self.work_seen(exchange) == {37.0}


class TestQueue:
    """Use of the shared state in the admission queue."""

    async def test_work_elsewhere_does_not_change_the_order(self, autojump_clock):
        """Guards against an order in which the latest start no longer decides."""
        queue = AdmissionQueue(random.Random(1))
        news = ContentionNews(True, {BIG: 500.0})
        queue.contention.peers_news = lambda: [news]
        queue.record_start(QUEUE, FACTS)
        large = FACTS._replace(customer="big", latest_start_s=trio.current_time() + 5.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(queue.wait, QUEUE, WaitingRequest(large, lambda: None))
            await trio.sleep(0.1)
            assert queue.is_behind_others(QUEUE, FACTS._replace(latest_start_s=1e9))
            queue.contention.apply(news, trio.current_time())
            assert queue.is_behind_others(QUEUE, FACTS._replace(latest_start_s=1e9))
            nursery.cancel_scope.cancel()

    async def test_early_retry_that_is_faster_than_the_datagram_moves_behind(self, autojump_clock):
        """Guards against clients that retry within milliseconds at another entry. One that had
        waited before the refusal is another caller's equal request, and keeps its place."""
        queue = AdmissionQueue(random.Random(1))
        async with trio.open_nursery() as nursery:
            waiting = []
            for fingerprint in (7, 7, 8):
                facts = FACTS._replace(
                    since_s=trio.current_time(),
                    latest_start_s=trio.current_time() + 9,
                    fingerprint=fingerprint,
                )
                waiting.append(WaitingRequest(facts, lambda: None))
                nursery.start_soon(queue.wait, QUEUE, waiting[-1])
                await trio.sleep(1.0 if len(waiting) == 1 else 0.1)
            queue.contention.apply(NEWS, trio.current_time())
            assert [one.facts.is_early for one in waiting] == [False, True, False]
            assert queue.contention.early_retries_from_peers == 1
            assert queue.is_early(7, trio.current_time())
            nursery.cancel_scope.cancel()

    async def test_wait_for_others_in_prefill_is_no_contention(self, autojump_clock):
        """Guards against log lines and larger datagrams of deployments without priorities, whose
        long prompts wait for others in prefill."""
        queue = AdmissionQueue(random.Random(1))
        facts = FACTS._replace(latest_start_s=trio.current_time() + 0.5, yields=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(queue.wait, QUEUE, WaitingRequest(facts, lambda: None))
            await trio.sleep(0.1)
            assert queue.count(Lane.LONG) == 1
            assert not queue.contention.is_contended(trio.current_time())
        assert queue.count(Lane.LONG) == 0
        assert queue.contention.news_to_send(trio.current_time()) == NO_CONTENTION_NEWS
