"""Loss of a data centre beside alternating floods of short and long prompts.

Three data centres with two entries, four engines and two plain servers each. Entries run the real
decisions; all sockets are those of an in-memory network.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import NamedTuple

import pytest
import trio

from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until

CENTRES = ("north", "east", "west")
LOST = "east"
ENTRIES = (1, 2, 3, 4, 5, 6)

LOST_S = 5.0
BACK_S = 11.0
END_S = 17.0
"""When the data centre is lost, when it is back, and when the load ends."""

UNREGISTERED_S = 3.6
"""Time after which the platform removes the records of lost servers."""

BALANCED_S = 2.0
"""Time after which the load balancer has noticed a lost entry."""

TIME_LEFT_S = 4.0
LATE_S = 0.5
"""How much later than its deadline an answer may arrive."""

FLOOD_S = 3.0
RATES_PER_S = ({"note": 30, "dossier": 0.3}, {"note": 10, "dossier": 1.5})
"""Streams a second while short prompts flood and while long ones do, in turns of `FLOOD_S`. Two
thirds of the engines have room for them."""

PLAIN_RATES_PER_S = {"book": 6, "look": 2}
PROMPTS = {"note": "5000,680", "dossier": "120000,340"}

LEAST_SERVED_WITHOUT = 0.95
"""Share of the callers served while a third of the engines is lost: the others have room for the
load, if not always at once."""

ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250, priority=0),
    make_route("dossier", "streaming", "engines", gapGoalMs=1000, goalMs=3000, priority=2),
    make_route("look", "idempotent", "desk"),
    make_route("book", "non_idempotent", "desk", maxAttempts=1),
]
"""Routes with priorities, so that requests without room wait."""

NOT_RUN = {408, 421, 429, 503}


class Answer(NamedTuple):
    """What a caller got; the status is 0 if no connection could be made or it broke at once."""

    request_id: str
    kind: str
    entry: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    problem: str = ""
    retry_after_s: float = 0.0
    is_served_later: bool = False

    @property
    def is_served(self) -> bool:
        return self.status == 200 and self.is_whole


class Flood:
    """Callers of all entries that the load balancer lists."""

    def __init__(self, fleet, random) -> None:
        self.answers: list[Answer] = []
        """First answers of all callers, with what a second attempt brought."""
        self.attempts: list[Answer] = []
        self.listed = list(ENTRIES)
        self._fleet = fleet
        self._random = random
        self._sent = 0

    async def press(self, nursery: trio.Nursery) -> None:
        begin_s = trio.current_time()
        while trio.current_time() - begin_s < END_S:
            turn = int((trio.current_time() - begin_s) / FLOOD_S) % len(RATES_PER_S)
            rates = {**RATES_PER_S[turn], **PLAIN_RATES_PER_S}
            await trio.sleep(self._random.expovariate(sum(rates.values())))
            (kind,) = self._random.choices(list(rates), weights=list(rates.values()))
            nursery.start_soon(self._call, kind, self._random.choice(self.listed))

    async def _call(self, kind: str, entry: int) -> None:
        """Send a request, and once more if it is refused, at the time that the refusal names."""
        first = await self._attempt(kind, entry)
        if first.status in NOT_RUN and first.is_whole:
            await trio.sleep(min(first.retry_after_s, TIME_LEFT_S / 3))
            again = await self._attempt(kind, self._random.choice(self.listed))
            first = first._replace(is_served_later=again.is_served)
        self.answers.append(first)

    async def _attempt(self, kind: str, entry: int) -> Answer:
        self._sent += 1
        request_id = f"{self._sent:016x}"
        answer = Answer(request_id, kind, entry, trio.current_time())
        with trio.move_on_after(TIME_LEFT_S + 2.0):
            try:
                got = await self._fleet.call(
                    f"/{kind}/x", entry=entry, prompt=PROMPTS.get(kind), request_id=request_id
                )
                answer = answer._replace(
                    status=got.status,
                    is_whole=got.is_whole,
                    problem=json.loads(got.body)["type"] if got.status >= 400 else "",
                    retry_after_s=float(got.headers.get("retry-after", 0.0)),
                )
            except (ConnectionLost, OSError):
                pass
        answer = answer._replace(ended_s=trio.current_time())
        self.attempts.append(answer)
        return answer


class LostDataCentre:
    """Loses and returns the entries, the servers or both of one data centre."""

    def __init__(self, fleet, network, flood: Flood, *, entries: bool, servers: bool) -> None:
        self.entries = [n for n in ENTRIES if CENTRES[n % 3] == LOST] if entries else []
        self.replicas = [r for r in fleet.replicas.values() if servers and r.data_centre == LOST]
        self._hosts = {fleet.entry_settings(number).host for number in self.entries}
        self._hosts |= {replica.address.host for replica in self.replicas}
        self._fleet = fleet
        self._network = network
        self._flood = flood

    async def run(self) -> None:
        await trio.sleep(LOST_S)
        self._network.dark |= self._hosts
        for number in self.entries:
            self._fleet.kill_entry(number)
        await trio.sleep(BALANCED_S)
        self._flood.listed = [n for n in ENTRIES if n not in self.entries]
        await trio.sleep(UNREGISTERED_S - BALANCED_S)
        for replica in self.replicas:
            self._fleet.store.remove(f"servers/{replica.server_id}")
        await trio.sleep(BACK_S - LOST_S - UNREGISTERED_S)
        self._network.dark -= self._hosts
        self._network.note_change()
        for replica in self.replicas:
            self._fleet.store.put(f"servers/{replica.server_id}", replica.entry())
        for number in self.entries:
            await self._fleet.add_entry(number)
        self._flood.listed = list(ENTRIES)


async def start(fleet) -> None:
    """Start all data centres and wait until their entries know each other."""
    fleet.configure(make_configuration(2, routes=ROUTES))
    fleet.data_centres = list(CENTRES)
    for index, centre in enumerate(CENTRES):
        fleet.server_hosts[centre] = f"127.20.0.{10 + index}"
        for number in range(4):
            await fleet.add_replica(f"engine-{centre}-{number}", data_centre=centre)
        for number in range(2):
            await fleet.add_replica(f"desk-{centre}-{number}", "desk", data_centre=centre)
    for number in ENTRIES:
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await wait_until(lambda: all(peer.live_count() == len(ENTRIES) - 1 for peer in peers))


@pytest.mark.parametrize("seed", [1])
@pytest.mark.parametrize("lost", ["entries", "servers", "both"])
class TestLostDataCentre:
    """All entries, all servers, or both of a data centre are lost at one moment."""

    async def test_others_serve_and_the_load_comes_back(
        self, autojump_clock, seeded_fleet, seeded_network, seed, lost
    ):
        """Guards against requests that are lost, run twice or denied having run, and against a
        returned data centre that stays unused."""
        fleet = seeded_fleet
        await start(fleet)
        flood = Flood(fleet, fleet._random)
        loss = LostDataCentre(
            fleet, seeded_network, flood, entries=lost != "servers", servers=lost != "entries"
        )
        begin_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loss.run)
            await flood.press(nursery)
        runs = Counter(r.request_id for r in fleet.received_requests() if r.has_run)
        self.assert_truthful(flood.attempts, runs)
        self.assert_waits_end(flood.attempts, loss)
        self.assert_served(flood.answers, begin_s, loss)
        self.assert_used_again(fleet, begin_s, loss)

    def assert_truthful(self, answers: list[Answer], runs: Counter[str]) -> None:
        for answer in answers:
            if answer.kind == "book":
                assert runs[answer.request_id] <= 1, answer
                if answer.status in NOT_RUN and answer.is_whole:
                    assert not runs[answer.request_id], answer
            if answer.is_served:
                assert runs[answer.request_id], answer

    def assert_waits_end(self, answers: list[Answer], loss: LostDataCentre) -> None:
        for answer in answers:
            if answer.entry not in loss.entries:
                assert answer.status, answer
                assert answer.ended_s - answer.sent_s < TIME_LEFT_S + LATE_S, answer

    def assert_served(self, answers: list[Answer], begin_s: float, loss: LostDataCentre) -> None:
        """Check the shares served, at entries that aren't lost, once the others are known to be."""
        for name, since_s, until_s, least in (
            ("before", 0.0, LOST_S - TIME_LEFT_S, 0.99),
            ("lost", LOST_S + BALANCED_S, BACK_S, LEAST_SERVED_WITHOUT),
            ("back", BACK_S + 2.0, END_S, 0.99),
        ):
            asked = [a for a in answers if since_s <= a.sent_s - begin_s < until_s]
            lost = [a for a in asked if not (a.is_served or a.is_served_later)]
            shown = Counter((a.kind, a.status, a.problem) for a in lost)
            assert len(lost) <= (1 - least) * len(asked), f"{name}: {len(asked)} asked, {shown}"

    def assert_used_again(self, fleet, begin_s: float, loss: LostDataCentre) -> None:
        """Check that what came back gets its share, and each of its busier engines gets requests.

        Light loads keep some engines idle, also where nothing was lost.
        """
        engines = [one for one in fleet.replicas.values() if one.service == "engines"]
        returned = [one for one in engines if one in loss.replicas]
        if not returned:
            return

        def counts(from_s: float, until_s: float) -> dict[str, int]:
            return {
                one.server_id: sum(
                    from_s <= r.at_s - begin_s < until_s for r in one.received_requests
                )
                for one in engines
            }

        before, late = counts(0.0, LOST_S), counts(BACK_S + 2.0, END_S)
        share = sum(late[one.server_id] for one in returned) / sum(late.values())
        assert share >= 0.5 * len(returned) / len(engines), late
        mean_before = sum(before.values()) / len(engines)
        for replica in returned:
            is_busier = before[replica.server_id] >= mean_before
            assert late[replica.server_id] or not is_busier, (replica.server_id, before, late)
