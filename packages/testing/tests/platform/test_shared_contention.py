"""Contention state between entries, end to end."""

from __future__ import annotations

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.contention import NO_CONTENTION_NEWS, ContentionNews, customer_hash
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.documents import ENGINE, make_configuration, make_route, make_services
from sassafrastally.stand_ins.platform_fleet import wait_until

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("dossier", "streaming", "engines", gapGoalMs=1000, goalMs=3000, priority=2),
]
EQUAL_ROUTES = [make_route("note", "streaming", "engines", gapGoalMs=250)]
ONE_SLOT = make_services({**ENGINE, "slots": 1})


async def start(fleet, routes) -> None:
    """Start two entries that know each other, and one engine with one slot."""
    fleet.configure(make_configuration(2, routes=routes, services=ONE_SLOT))
    await fleet.add_replica("engine-1", slots=1)
    for number in (1, 2):
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await wait_until(lambda: all(one.live_count() == 1 for one in peers))


def records(fleet, entry: int, name: str) -> list[dict[str, object]]:
    """Return the fields of an entry's log records of one event."""
    every = fleet.kernels[entry - 1].events.records()
    return [record["fields"] for record in every if record["name"] == name]


async def refuse_one(fleet, nursery) -> None:
    """Occupy the engine and let entry 1 refuse a request."""
    nursery.start_soon(lambda: fleet.call("/note/x", prompt="1000,6800"))
    await wait_until(lambda: fleet.replicas["engine-1"].received_requests)
    assert (await fleet.call("/note/x", prompt="1000,34", body=b"again")).status == 503


class TestTwoEntries:
    """Two entries before one engine."""

    async def test_early_retry_is_known_at_the_other_entry(self, fleet, nursery):
        """Guards against clients that ignore Retry-After and reach another entry each time."""
        await start(fleet, ROUTES)
        await refuse_one(fleet, nursery)
        peers = fleet.kernels[1].get("peers", Peers)
        await wait_until(lambda: any(news.refusals for news in peers.contention_news()))
        assert (await fleet.call("/note/x", entry=2, prompt="1000,34", body=b"again")).status == 503
        (queued,) = records(fleet, 2, "RequestQueued")
        assert queued["is_early"]
        await wait_until(lambda: records(fleet, 2, "ContentionBegan"))
        host = fleet.entry_settings(2)
        calls = CallClient(Address(host.host, host.metrics_port))
        _, _, page = await calls.exchange("GET", "/metrics", [], b"", 1.0)
        assert b"sassafrastally_contended 1" in page
        assert b"sassafrastally_early_retries_from_peers 1" in page

    async def test_early_retry_that_is_faster_than_the_datagram_counts_once(self, fleet, nursery):
        """Guards against counting it again when it starts."""
        await start(fleet, ROUTES)
        # At the same entry, which therefore knows that the engine has no room.
        occupied = trio.CancelScope()

        async def occupy() -> None:
            with occupied:
                await fleet.call("/note/x", entry=2, prompt="1000,6800")

        nursery.start_soon(occupy)
        await wait_until(lambda: fleet.replicas["engine-1"].received_requests)
        queue = fleet.kernels[1].get("path", RequestPath).services.queue
        answers = []

        async def call() -> None:
            answers.append(await fleet.call("/dossier/x", entry=2, prompt="1000,34"))

        nursery.start_soon(call)
        await wait_until(lambda: records(fleet, 2, "RequestQueued"))
        fingerprint = queue._queues[next(iter(queue._queues))][0].facts.fingerprint
        news = ContentionNews(True, {}, {fingerprint: 30.0})
        queue.contention.apply(news, trio.current_time())
        occupied.cancel()
        await wait_until(lambda: answers, 5.0)
        assert answers[0].status == 200
        assert queue.contention.early_retries == 1

    async def test_work_started_at_one_entry_counts_at_the_other(self, fleet, nursery):
        await start(fleet, ROUTES)
        await refuse_one(fleet, nursery)
        contention = fleet.kernels[1].get("path", RequestPath).services.queue.contention
        peers = fleet.kernels[1].get("peers", Peers)
        await wait_until(lambda: any(news.customers for news in peers.contention_news()))
        (news,) = peers.contention_news()
        assert news.is_contended
        (customer,) = news.customers
        assert customer == customer_hash("ana")
        assert contention.work_ms(trio.current_time())("ana") == news.customers[customer]

    async def test_nothing_is_sent_where_no_request_can_wait(self, fleet, nursery):
        """Guards against a change for deployments without priorities."""
        await start(fleet, EQUAL_ROUTES)
        await refuse_one(fleet, nursery)
        await trio.sleep(0.3)
        assert fleet.kernels[0].get("peers", Peers).hello().contention == NO_CONTENTION_NEWS
        assert not records(fleet, 1, "ContentionBegan")
