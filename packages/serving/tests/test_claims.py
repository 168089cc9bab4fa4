"""Tests of idempotency key claims across entries that share a KV service."""

from __future__ import annotations

from random import Random

import pytest
import trio
import trio.testing

from sassafrastally.serving import claim_store
from sassafrastally.serving.claim_layout import ClaimSettings
from sassafrastally.serving.claims import ClaimResult, ClaimState
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.claim_fleet import BODY, KEY, NAMES, ClaimFleet, placement
from sassafrastally.testing.kv_model import KvFaults


@pytest.fixture
async def claims(nursery):
    claims = await ClaimFleet(nursery).start()
    await claims.claim("entry-1", 0, key="first")  # Loads the layout.
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

    async def test_concurrent_claims_of_one_key(self, claims, autojump_clock):
        """Two copies of a request must not both run.

        A load balancer sends them to different entries, which reserve on different sidecars and
        claim the key concurrently.
        """
        results = await claims.together(
            claims.claim(name, number) for number, name in enumerate(NAMES)
        )
        granted = [result for result in results if result.is_granted]
        assert len(granted) == 1
        assert {result.placement for result in results} == {granted[0].placement}

    async def test_retry_after_the_first_entry_is_lost(self, claims, autojump_clock):
        """A retry finds the first run after the caller's entry is lost with its VM.

        The retry goes through an entry without any local state of the first request, so the KV
        service is the only source of its placement.
        """
        home = claims.home_of_key()
        await claims.claim(home, 1)
        claims.fleet.kill(home)
        others = [name for name in NAMES if name != home]
        result = await claims.claim(others[0], 2)
        assert result == ClaimResult(ClaimState.HELD, placement(1))

    async def test_key_reused_with_another_body(self, claims, autojump_clock):
        """A key used again with a different body is an error, not a retry."""
        await claims.claim("entry-1", 1)
        result = await claims.claim("entry-2", 2, body=b"another")
        assert result.state is ClaimState.KEY_REUSED

    async def test_keys_are_separate_per_customer(self, claims, autojump_clock):
        await claims.claim("entry-1", 1)
        result = await claims.services["entry-1"].claim("sondrio", KEY, BODY, placement(2), 5.0)
        assert result.is_granted

    async def test_lookup_finds_a_claim_and_writes_nothing(self, claims, autojump_clock):
        assert (await claims.lookup("entry-1")).state is ClaimState.ABSENT
        await claims.claim("entry-1", 1)
        writes = claims.model.counts["txn"]
        assert (await claims.lookup("entry-2")) == ClaimResult(ClaimState.HELD, placement(1))
        assert claims.model.counts["txn"] == writes

    async def test_entries_with_different_settings_share_one_layout(self, nursery, autojump_clock):
        """A rolling restart with a changed number of shards must not grant a key twice.

        If each entry used its own setting, a key would temporarily map to two shards and could be
        granted in both.
        """
        claims = ClaimFleet(nursery)
        await claims.start("entry-1")
        claims.settings = ClaimSettings(shards=5)
        await claims.start("entry-2")
        for number in range(20):
            assert (await claims.claim("entry-1", number, key=f"k{number}")).is_granted
            repeat = await claims.claim("entry-2", 100 + number, key=f"k{number}")
            assert repeat.placement == placement(number)


class TestReplace:
    async def test_only_the_proved_placement_is_replaced(self, claims, autojump_clock):
        """Only one of two concurrent replacements of the same void placement is granted.

        Two retries prove the first run void at the same time, each with its own reservation. After
        the first replacement, the proof of the second refers to a placement that no longer holds
        the key.
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
        claims = await ClaimFleet(nursery).start()
        await claims.claim("entry-1", 1)
        for number in range(100, 300):
            await claims.claim("entry-1", number, key=f"k{number}")
        await claims.replace("entry-1", 1, 2)
        for number in range(300, 500):
            await claims.claim("entry-1", number, key=f"k{number}")
        assert (await claims.claim("entry-2", 9)).placement == placement(2)


class TestLostResponses:
    async def test_response_lost_after_the_write(self, claims, autojump_clock):
        """A lost response of the KV service is neither a failure nor a success.

        Treated as a failure, the entry would find the key held by itself and wait for a run that it
        never commits. Treated as a success, a write that did not take effect would let two runs
        start.
        """
        claims.model.set_faults(KvFaults(lose_answers=1))
        assert (await claims.claim("entry-1", 1)).is_granted
        assert (await claims.claim("entry-2", 2)).placement == placement(1)

    async def test_write_lost_before_it_took_effect(self, claims, autojump_clock):
        await claims.claim("entry-1", 8, key="warm")
        claims.model.set_faults(KvFaults(drop_writes=2))
        assert (await claims.claim("entry-1", 1)).is_granted
        assert (await claims.claim("entry-2", 2)).placement == placement(1)

    async def test_home_reply_lost(self, claims, autojump_clock):
        """The link is cut after the home wrote a forwarded claim and before its reply.

        The entry then writes the claim itself and must detect that it already holds the key.
        """
        claims.fleet.lose_answers = 1
        assert (await claims.claim(claims.stranger_to_key(), 1)).is_granted
        assert (await claims.claim(claims.home_of_key(), 2)).placement == placement(1)


class TestHomes:
    async def test_two_homes_at_once(self, claims, autojump_clock):
        """With inconsistent VM lists, each entry considers itself the home of every shard."""
        for name in NAMES:
            claims.view(name, name)
        for number in range(0, 60, 3):
            key = f"k{number}"
            results = await claims.together(
                claims.claim(name, number + index, key=key) for index, name in enumerate(NAMES)
            )
            assert sum(result.is_granted for result in results) == 1
            assert len({result.placement for result in results}) == 1

    async def test_home_resumes_after_a_pause(self, claims, autojump_clock):
        """A paused home resumes with an outdated forwarded claim.

        During the pause the entry wrote the claim itself, its run was proved void and a retry
        replaced the claim. The late write of the home must not restore the old claim.
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

    async def test_unresponsive_home_delays_only_one_claim(self, claims, autojump_clock):
        home, other = claims.home_of_key(), claims.stranger_to_key()
        claims.fleet.freeze(home)
        await claims.claim(other, 1)
        started_s = trio.current_time()
        await claims.claim(other, 2)
        assert trio.current_time() - started_s < 0.1

    async def test_home_unreachable(self, claims, autojump_clock):
        home, other = claims.home_of_key(), claims.stranger_to_key()
        claims.fleet.cuts.add(frozenset((home, other)))
        assert (await claims.claim(other, 1)).is_granted
        assert (await claims.claim(home, 2)).placement == placement(1)


class TestOutage:
    async def test_down(self, claims, autojump_clock):
        """While the KV service is down, claims are refused immediately with a retry delay."""
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
        """With KV calls of ten seconds, the wait ends at the time limit of the caller."""
        await claims.claim("entry-1", 8, key="warm")
        claims.model.set_faults(KvFaults(delay_s=10.0))
        started_s = trio.current_time()
        with pytest.raises(Refusal):
            await claims.claim("entry-1", 1, time_limit_s=1.5)
        assert trio.current_time() - started_s <= 1.5

    async def test_down_before_the_layout_is_known(self, nursery, autojump_clock):
        claims = ClaimFleet(nursery)
        claims.model.set_faults(KvFaults(down=True))
        await claims.start()
        with pytest.raises(Refusal):
            await claims.claim("entry-1", 1)
        # Must not return "absent", which would count as proof that the request has not run.
        with pytest.raises(Refusal):
            await claims.lookup("entry-1")

    async def test_corrupt_value_grants_nothing(self, nursery, autojump_clock):
        """Keys of a manually overwritten shard are refused, not granted a second time."""
        claims = await ClaimFleet(nursery, ClaimSettings(shards=1)).start()
        await claims.claim("entry-1", 1)
        claims.break_heads()
        for name in NAMES:
            with pytest.raises(Refusal):
                await claims.claim(name, 2, key="new")
        with pytest.raises(Refusal):
            await claims.claim("entry-2", 2)

    async def test_missing_tail_grants_nothing(self, nursery, small_segments, autojump_clock):
        """The keys of a manually deleted segment must not become available again."""
        claims = await ClaimFleet(nursery, ClaimSettings(shards=1)).start()
        for number in range(9):
            await claims.claim("entry-1", number, key=f"k{number}")
        claims.delete_segments()
        await claims.start("entry-4")
        with pytest.raises(Refusal):
            await claims.claim("entry-4", 99, key="k0")


class TestBounds:
    async def test_writes_are_bounded(self, claims, autojump_clock):
        """670 claims/s for 2 s cause at most 1 / interval writes per second and shard."""
        random = Random(5)
        async with trio.open_nursery() as nursery:
            for number in range(1340):
                nursery.start_soon(claims.claim, random.choice(NAMES), number, f"k{number}")
                await trio.sleep(random.expovariate(670.0))
        elapsed_s = trio.current_time()
        interval_s = claims.settings.min_write_interval_s
        assert claims.model.counts["txn"] < 1 + claims.settings.shards * (
            elapsed_s / interval_s + 2
        )

    async def test_full_shard_refuses_and_drops_nothing_early(
        self, nursery, small_segments, autojump_clock
    ):
        """A full shard refuses new keys until its oldest segment expires, and states that time.

        Dropping old claims early to make room would let their requests run twice.
        """
        limits = ClaimSettings(shards=1, max_closed_segments=2, retention_s=600.0)
        claims = await ClaimFleet(nursery, limits).start()
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

    async def test_claims_are_kept_for_the_retention(self, nursery, small_segments, autojump_clock):
        claims = await ClaimFleet(nursery, ClaimSettings(shards=1, retention_s=600.0)).start()
        for number in range(30):
            await claims.claim("entry-1", number, key=f"k{number}")
        closed = [item.key for item in claims.model.range_prefix("claims/") if item.lease_id]
        await trio.sleep(590.0)
        await claims.start("entry-4")
        assert (await claims.claim("entry-4", 99, key="k0")).placement == placement(0)
        await trio.sleep(100.0)
        for number in range(30, 40):
            await claims.claim("entry-1", number, key=f"k{number}")
        assert (await claims.claim("entry-2", 99, key="k0")).is_granted
        assert closed
        assert not {item.key for item in claims.model.range_prefix("claims/")} & set(closed)
