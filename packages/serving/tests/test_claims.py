"""Tests of the claims of idempotency keys, over entries that share a KV service."""

from __future__ import annotations

from contextlib import AsyncExitStack
from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.control.bundle import Bundle, BundleInForce, Customer
from sassafrastally.core import Address, Clock, Incarnation, Kernel, RequestId
from sassafrastally.core.settings import Secret
from sassafrastally.platform.interfaces import KvWrite, VmState
from sassafrastally.platform.service import PlatformService
from sassafrastally.serving import claim_store
from sassafrastally.serving.claim_layout import ClaimSettings
from sassafrastally.serving.claims import ClaimResult, ClaimService, ClaimState, Placement
from sassafrastally.serving.limits import LimitService
from sassafrastally.serving.refusals import Refusal
from sassafrastally.serving.rendezvous import home_of
from sassafrastally.testing.entry_fleet import EPOCH_S, EntryFleet, FakeBundle, FakeMembership
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

NAMES = ("entry-1", "entry-2", "entry-3")
DEFAULTS = ClaimSettings()
KEY = "booking-77"
BODY = b"body"
FAULTS = {
    "lose": KvFaults(lose_answers=2),
    "drop": KvFaults(drop_writes=2),
    "down": KvFaults(down=True),
    "slow": KvFaults(delay_s=1.0),
}


def placement(number: int) -> Placement:
    return Placement(
        f"sidecar-{number % 5}", Incarnation("ab" * 16), RequestId(f"{number:032x}"), 1
    )


class Claims:
    """Entries with their claim services over one KV service."""

    def __init__(self, nursery, settings=DEFAULTS):
        self.model = KvModel(Random(1))
        self.fleet = EntryFleet(nursery)
        self.settings = settings
        self.services: dict[str, ClaimService] = {}

    async def start(self, *names: str):
        for name in names or NAMES:
            self.services[name] = ClaimService(self.settings)
            await self.fleet.start(name, names or NAMES, [self.services[name]], FakeKv(self.model))
        return self

    async def claim(self, entry, number, key=KEY, body=BODY, time_limit_s=5.0) -> ClaimResult:
        return await self.services[entry].claim("yeso", key, body, placement(number), time_limit_s)

    async def replace(self, entry, old, new):
        return await self.services[entry].replace(
            "yeso", KEY, placement(old), placement(new), BODY, 5.0
        )

    async def lookup(self, entry):
        return await self.services[entry].lookup("yeso", KEY, BODY)

    async def record(self, answers, entry, key, number, old, delay):
        """Ask and keep the answer; ``None`` when it was refused."""
        await trio.sleep(delay * 0.004)
        service, new = self.services[entry], placement(number)
        result = None
        try:
            if old is None:
                result = await service.claim("yeso", key, BODY, new, 3.0)
            else:
                result = await service.replace("yeso", key, old, new, BODY, 3.0)
        except Refusal:
            pass
        answers.append((key, new, old, result))

    async def together(self, calls) -> list[ClaimResult]:
        results: list[ClaimResult] = []

        async def run(call):
            results.append(await call)

        async with trio.open_nursery() as nursery:
            for call in calls:
                nursery.start_soon(run, call)
        return results

    def home_of_key(self) -> str:
        layout = self.services["entry-1"]._layout
        shard = layout.shard_of(layout.key_hash("yeso", KEY)) if layout else 0
        return home_of(f"claims/{shard}", self.fleet.entries["entry-1"].membership).vm

    def stranger_to_key(self) -> str:
        return next(name for name in NAMES if name != self.home_of_key())

    def break_heads(self):
        for entry in self.model.range_prefix("claims/0"):
            self.model.transact([KvWrite(entry.key, b"h1 by hand", -1)])

    def delete_segments(self):
        for entry in self.model.range_prefix("claims/0000/segment/"):
            self.model.transact([KvWrite(entry.key, None, -1)])

    def apply(self, fault: str):
        self.model.set_faults(FAULTS.get(fault, KvFaults()))
        self.fleet.cuts = {frozenset(NAMES[:2]), frozenset(NAMES[1:])} if fault == "cut" else set()
        self.fleet.lose_answers = 2 if fault == "late" else 0
        for name in NAMES:
            self.view(name, *([name] if fault == "views" else NAMES))

    def view(self, entry, *names):
        self.fleet.entries[entry].membership.names = list(names)


@pytest.fixture
async def claims(nursery):
    claims = await Claims(nursery).start()
    await claims.claim("entry-1", 0, key="first")  # Lets the layout be known.
    return claims


@pytest.fixture
def small_segments(monkeypatch):
    monkeypatch.setattr(claim_store, "HEAD_CLAIMS", 4)
    monkeypatch.setattr(claim_store, "SEGMENT_CLAIMS", 16)


class TestClaim:
    async def test_granted_then_held(self, claims, autojump_clock):
        first = await claims.claim("entry-1", 1)
        second = await claims.claim("entry-2", 2)
        assert first == ClaimResult(ClaimState.GRANTED, placement(1))
        assert second == ClaimResult(ClaimState.HELD, placement(1))

    async def test_same_key_at_the_same_moment(self, claims, autojump_clock):
        """A builder's phone sends a booking twice and the balancer spreads the two.

        Two entries reserve on two sidecars and claim the key at the same moment. If both were
        granted, two crews would go to one house.
        """
        results = await claims.together(
            claims.claim(name, number) for number, name in enumerate(NAMES)
        )
        granted = [result for result in results if result.is_granted]
        assert len(granted) == 1
        assert {result.placement for result in results} == {granted[0].placement}

    async def test_repeat_after_the_first_entry_died(self, claims, autojump_clock):
        """The caller's entry is lost with its VM after the claim; the caller sends again.

        The repeat comes through an entry that never heard of the first, and has to learn where
        the request runs from the KV service alone.
        """
        home = claims.home_of_key()
        await claims.claim(home, 1)
        claims.fleet.kill(home)
        others = [name for name in NAMES if name != home]
        result = await claims.claim(others[0], 2)
        assert result == ClaimResult(ClaimState.HELD, placement(1))

    async def test_other_body(self, claims, autojump_clock):
        """A clerk's program uses a key again for another declaration: an error, not a repeat."""
        await claims.claim("entry-1", 1)
        result = await claims.claim("entry-2", 2, body=b"another")
        assert result.state is ClaimState.KEY_REUSED

    async def test_other_customer_has_keys_of_its_own(self, claims, autojump_clock):
        await claims.claim("entry-1", 1)
        result = await claims.services["entry-1"].claim("sondrio", KEY, BODY, placement(2), 5.0)
        assert result.is_granted

    async def test_lookup_finds_a_claim_and_writes_nothing(self, claims, autojump_clock):
        assert (await claims.lookup("entry-1")).state is ClaimState.ABSENT
        await claims.claim("entry-1", 1)
        writes = claims.model.counts["txn"]
        assert (await claims.lookup("entry-2")) == ClaimResult(ClaimState.HELD, placement(1))
        assert claims.model.counts["txn"] == writes

    async def test_entries_with_other_settings_share_one_layout(self, nursery, autojump_clock):
        """Operators raise the number of shards and restart the entries one by one.

        Were each entry to count by its own settings, a key would have two shards for a while and
        could be granted in both.
        """
        claims = Claims(nursery)
        await claims.start("entry-1")
        claims.settings = ClaimSettings(shards=5)
        await claims.start("entry-2")
        for number in range(20):
            assert (await claims.claim("entry-1", number, key=f"k{number}")).is_granted
            repeat = await claims.claim("entry-2", 100 + number, key=f"k{number}")
            assert repeat.placement == placement(number)


class TestReplace:
    async def test_only_the_proved_placement_is_replaced(self, claims, autojump_clock):
        """Two repeats find the first run void at the same moment, each with a sidecar reserved.

        One may take the key. The other proved something of a placement that no longer holds it.
        """
        await claims.claim("entry-1", 1)
        results = await claims.together(
            claims.replace(name, 1, number) for name, number in (("entry-2", 2), ("entry-3", 3))
        )
        granted = [result.placement for result in results if result.is_granted]
        assert len(granted) == 1
        assert {result.placement for result in results} == set(granted)
        stale = await claims.replace("entry-1", 1, 4)
        assert stale == ClaimResult(ClaimState.HELD, granted[0])

    async def test_replaced_claim_stays_replaced_in_segments(
        self, nursery, small_segments, autojump_clock
    ):
        claims = await Claims(nursery).start()
        await claims.claim("entry-1", 1)
        for number in range(100, 300):
            await claims.claim("entry-1", number, key=f"k{number}")
        await claims.replace("entry-1", 1, 2)
        for number in range(300, 500):
            await claims.claim("entry-1", number, key=f"k{number}")
        assert (await claims.claim("entry-2", 9)).placement == placement(2)


class TestLostAnswers:
    async def test_answer_lost_after_the_write(self, claims, autojump_clock):
        """The KV service writes the claim and its answer is lost.

        Taken for a failure, the entry would find the key held, by itself, and would wait for a run
        that it never commits; taken for a success, a write that was lost would let two run.
        """
        claims.model.set_faults(KvFaults(lose_answers=1))
        assert (await claims.claim("entry-1", 1)).is_granted
        assert (await claims.claim("entry-2", 2)).placement == placement(1)

    async def test_write_lost_before_it_took_effect(self, claims, autojump_clock):
        await claims.claim("entry-1", 8, key="warm")
        claims.model.set_faults(KvFaults(drop_writes=2))
        assert (await claims.claim("entry-1", 1)).is_granted
        assert (await claims.claim("entry-2", 2)).placement == placement(1)

    async def test_home_answer_lost(self, claims, autojump_clock):
        """The home writes a forwarded claim and the link is cut before its answer.

        The entry goes on by itself and must find that it already holds the key.
        """
        claims.fleet.lose_answers = 1
        assert (await claims.claim(claims.stranger_to_key(), 1)).is_granted
        assert (await claims.claim(claims.home_of_key(), 2)).placement == placement(1)


class TestHomes:
    async def test_two_homes_at_once(self, claims, autojump_clock):
        """The VM list lags: each entry takes itself for the home of every shard."""
        for name in NAMES:
            claims.view(name, name)
        for number in range(0, 60, 3):
            key = f"k{number}"
            results = await claims.together(
                claims.claim(name, number + index, key=key) for index, name in enumerate(NAMES)
            )
            assert sum(result.is_granted for result in results) == 1
            assert len({result.placement for result in results}) == 1

    async def test_frozen_home_woken_late(self, claims, autojump_clock):
        """A home stops for a minute with a claim in its inbox, and then goes on with it.

        Meanwhile the entry wrote by itself, was told that its run is void and the repeat took
        the key. The home's late write, against what it knew, must not bring the old claim back.
        """
        home, other = claims.home_of_key(), claims.stranger_to_key()
        await claims.claim(home, 8, key="warm")
        claims.fleet.freeze(home)
        assert (await claims.claim(other, 1)).is_granted
        assert (await claims.replace(other, 1, 2)).is_granted
        claims.fleet.thaw(home)
        await trio.testing.wait_all_tasks_blocked()
        await trio.sleep(5)
        assert (await claims.claim(home, 3)).placement == placement(2)

    async def test_home_out_of_reach(self, claims, autojump_clock):
        home, other = claims.home_of_key(), claims.stranger_to_key()
        claims.fleet.cuts.add(frozenset((home, other)))
        assert (await claims.claim(other, 1)).is_granted
        assert (await claims.claim(home, 2)).placement == placement(1)


class TestOutage:
    async def test_down(self, claims, autojump_clock):
        """The KV service is down: the caller is told at once, with when to come back."""
        await claims.claim("entry-1", 8, key="warm")
        claims.model.set_faults(KvFaults(down=True))
        started_s = trio.current_time()
        with pytest.raises(Refusal) as caught:
            await claims.claim("entry-1", 1)
        assert caught.value.kind.code == "claims-unavailable"
        assert caught.value.figures.retry_after_s > 0
        assert trio.current_time() - started_s < 0.5
        claims.model.set_faults(KvFaults())
        assert (await claims.claim("entry-2", 2)).is_granted

    async def test_slow(self, claims, autojump_clock):
        """The KV service takes ten seconds a call: the wait ends with the caller's time limit."""
        await claims.claim("entry-1", 8, key="warm")
        claims.model.set_faults(KvFaults(delay_s=10.0))
        started_s = trio.current_time()
        with pytest.raises(Refusal):
            await claims.claim("entry-1", 1, time_limit_s=1.5)
        assert trio.current_time() - started_s <= 1.5

    async def test_down_before_the_layout_is_known(self, nursery, autojump_clock):
        claims = Claims(nursery)
        claims.model.set_faults(KvFaults(down=True))
        await claims.start()
        with pytest.raises(Refusal):
            await claims.claim("entry-1", 1)
        assert (await claims.lookup("entry-1")).state is ClaimState.ABSENT

    async def test_broken_value_grants_nothing(self, nursery, autojump_clock):
        """Somebody overwrites a shard by hand: its keys are refused, not granted a second time."""
        claims = await Claims(nursery, ClaimSettings(shards=1)).start()
        await claims.claim("entry-1", 1)
        claims.break_heads()
        for name in NAMES:
            with pytest.raises(Refusal):
                await claims.claim(name, 2, key="new")
        with pytest.raises(Refusal):
            await claims.claim("entry-2", 2)

    async def test_missing_tail_grants_nothing(self, nursery, small_segments, autojump_clock):
        """Somebody deletes a segment by hand: the keys in it must not become free."""
        claims = await Claims(nursery, ClaimSettings(shards=1)).start()
        for number in range(9):
            await claims.claim("entry-1", number, key=f"k{number}")
        claims.delete_segments()
        await claims.start("entry-4")
        with pytest.raises(Refusal):
            await claims.claim("entry-4", 99, key="k0")


class TestBounds:
    async def test_writes_are_bounded(self, claims, autojump_clock):
        """670 claims a second for 4 s go in at most 1 / interval writes a second and shard."""
        random = Random(5)
        async with trio.open_nursery() as nursery:
            for number in range(2680):
                nursery.start_soon(claims.claim, random.choice(NAMES), number, f"k{number}")
                await trio.sleep(random.expovariate(670.0))
        elapsed_s = trio.current_time()
        interval_s = claims.settings.min_write_interval_s
        assert claims.model.counts["txn"] < 1 + claims.settings.shards * (
            elapsed_s / interval_s + 2
        )

    async def test_full_shard_refuses_and_forgets_nothing_early(
        self, nursery, small_segments, autojump_clock
    ):
        """A shard reaches its bound. Forgetting old claims to make room would let them run twice.

        New keys are refused instead, with the time at which the oldest segment lapses.
        """
        limits = ClaimSettings(shards=1, max_closed_segments=2, retention_s=600.0)
        claims = await Claims(nursery, limits).start()
        kept = 0
        with pytest.raises(Refusal) as caught:
            while kept < 200:
                await claims.claim("entry-1", kept, key=f"k{kept}")
                kept += 1
        assert kept >= 2 * claim_store.SEGMENT_CLAIMS
        for number in range(kept):
            result = await claims.claim("entry-2", 900 + number, key=f"k{number}")
            assert result.placement == placement(number)
        await trio.sleep(caught.value.figures.retry_after_s)
        assert (await claims.claim("entry-1", 999, key="new")).is_granted

    async def test_claims_live_for_the_retention(self, nursery, small_segments, autojump_clock):
        claims = await Claims(nursery, ClaimSettings(shards=1, retention_s=600.0)).start()
        for number in range(30):
            await claims.claim("entry-1", number, key=f"k{number}")
        closed = [item.key for item in claims.model.range_prefix("claims/") if item.lease_id]
        await trio.sleep(590.0)
        assert (await claims.claim("entry-2", 99, key="k0")).placement == placement(0)
        await trio.sleep(100.0)
        for number in range(30, 60):
            await claims.claim("entry-1", number, key=f"k{number}")
        assert (await claims.claim("entry-2", 99, key="k0")).is_granted
        assert closed
        assert not {item.key for item in claims.model.range_prefix("claims/")} & set(closed)


class TestRealLinks:
    async def test_claims_and_limits_over_links(self, nursery, autojump_clock):
        """Two entries with real links claim a key, and count a customer's requests together."""
        kernels = await _linked_entries(nursery, MemoryNetwork(0.001), CONCURRENT)
        for number in range(10):
            results = []
            for index, kernel in enumerate(kernels):
                claims = kernel.get("claims", ClaimService)
                new = placement(10 * number + index)
                results.append(await claims.claim("yeso", f"k{number}", BODY, new, 5.0))
            assert [result.is_granted for result in results] == [True, False, False]
        refused = 0
        async with AsyncExitStack() as stack:
            for kernel in (*kernels, *kernels):
                try:
                    limits = kernel.get("limits", LimitService)
                    await stack.enter_async_context(limits.admit(CONCURRENT, 1))
                except Refusal:
                    refused += 1
        assert refused == 2

    async def test_more_questions_than_a_link_takes(self, nursery, autojump_clock):
        """A home freezes while hundreds of requests arrive: the link has no stream left for more.

        They all go on without the home; none may break off with an error of the link.
        """
        network = MemoryNetwork(0.001)
        kernels = await _linked_entries(nursery, network, CONCURRENT)
        services = [kernel.get("claims", ClaimService) for kernel in kernels]
        for index, service in enumerate(services):
            await service.claim("yeso", f"warm{index}", BODY, placement(2000 + index), 5.0)
        for number in (1, 2):
            network.freeze(Address("10.0.0.1", 9000 + number))
        async with trio.open_nursery() as claiming:
            for number in range(900):
                claiming.start_soon(_claim_and_admit, kernels[0], number)


CONCURRENT = Customer("yeso", (), max_concurrent=4)


async def _claim_and_admit(kernel, number):
    result = await kernel.get("claims", ClaimService).claim(
        "yeso", f"k{number}", BODY, placement(number), 10.0
    )
    assert result.is_granted
    customer = CONCURRENT._replace(name=f"c{number}")
    async with kernel.get("limits", LimitService).admit(customer, 1):
        pass


async def _linked_entries(nursery, network, customer):
    customers = (customer, *(customer._replace(name=f"c{number}") for number in range(900)))
    bundle = BundleInForce(1, "00" * 32, Bundle("b", (), customers))
    model = KvModel(Random(1))
    states = [
        VmState(name, "entry", "dc", "region", Address("10.0.0.1", 9000 + number))
        for number, name in enumerate(NAMES)
    ]
    kernels = []
    for state in states:
        kernel = Kernel(state.vm, "dc", Clock(epoch_s=EPOCH_S), seed=state.peer_address.port)
        links = PeerSettings(state.peer_address, Secret("s" * 16))
        kernel.add(PeerService(links, network.host(state.vm), "entry"))
        kernel.add(FakeMembership(NAMES)).vms = lambda role: states
        kernel.add(FakeBundle(bundle))
        kernel.add(PlatformService(FakeKv(model), None))
        kernel.add(ClaimService())
        kernel.add(LimitService())
        await nursery.start(kernel.run)
        kernels.append(kernel)
    return kernels


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["none", "lose", "drop", "down", "slow", "cut", "views", "late"]),
        st.lists(
            st.tuples(
                st.sampled_from(NAMES), st.sampled_from("ab"), st.booleans(), st.integers(0, 1)
            ),
            min_size=1,
            max_size=4,
        ),
    ),
    min_size=1,
    max_size=8,
)


class Reference:
    """What is obviously right: one map, and the placements whose fate was left open."""

    def __init__(self):
        self.holder: dict[str, Placement] = {}
        self.open: dict[str, set[Placement]] = {"a": set(), "b": set()}
        self.past: dict[str, set[Placement]] = {"a": set(), "b": set()}

    def check(self, key: str, asks: list[tuple[Placement, Placement | None, ClaimResult | None]]):
        """Check the answers that overlap in time against every order that explains them."""
        chain = [self.holder.get(key), *self.open[key]]
        granted = [(new, old) for new, old, result in asks if result and result.is_granted]
        for _, old in granted:
            if self.holder.get(key) is not None or len(granted) > 1:
                assert old is not None, "granted twice without a replacement"
        olds = [old for _, old in granted if old is not None]
        assert len(olds) == len(set(olds)), "one placement was replaced twice"
        self.open[key] |= {new for new, _, result in asks if result is None}
        known = {*chain, *self.open[key], *(new for new, _ in granted)}
        self.past[key] |= known
        for _, old, result in asks:
            heard_of = self.past[key] if old is None else known
            assert result is None or result.placement in heard_of, "held by one unheard of"
        last = [new for new, _ in granted if new not in olds]
        if last:
            self.holder[key] = last[-1]


class TestDifferential:
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(STEPS)
    def test_histories_with_faults(self, steps):
        trio.run(_run_history, steps, clock=trio.testing.MockClock(autojump_threshold=0))


async def _run_history(steps):
    async with trio.open_nursery() as nursery:
        claims = await Claims(nursery).start()
        reference = Reference()
        number = 0
        for fault, asks in steps:
            claims.apply(fault)
            answers = []
            async with trio.open_nursery() as step:
                for entry, key, replaces, delay in asks:
                    number += 1
                    old = reference.holder.get(key) if replaces else None
                    step.start_soon(claims.record, answers, entry, key, number, old, delay)
            for key in "ab":
                reference.check(key, [answer[1:] for answer in answers if answer[0] == key])
        nursery.cancel_scope.cancel()
