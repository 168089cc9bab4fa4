"""Idempotency keys: a key is run once, whichever entry receives repeated requests."""

from __future__ import annotations

from typing import Any, ClassVar

import pytest
import trio

from sassafrastally.core import Incarnation, RequestId, Service
from sassafrastally.entry.relay import AnswerUnread
from sassafrastally.serving.claims import ClaimResult, ClaimState, Placement
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.sidecar_scripts import refusing
from sassafrastally.wire.link import StreamEnded
from sassafrastally.wire.messages import Cancel, Commit, Query, QueryReply, Reserve

THREE_EVENTS = b'data: {"w":"ha"}\n\ndata: {"w":"ho"}\n\ndata: {"w":"hi"}\n\n'
OWNER = Placement("s1", Incarnation("life-1-of-s1"), RequestId("0" * 31 + "9"), 1)
OWN = (OWNER.request_id, OWNER.attempt)


class FakeClaims(Service):
    """In-memory claims; the placements are on the sidecars of the fixture."""

    name: ClassVar[str] = "claims"

    def __init__(self) -> None:
        self.held: dict[tuple[str, str], tuple[bytes, Placement]] = {}
        self.is_down = False
        self.asked: list[Placement] = []

    async def claim(
        self, customer: str, key: str, body_digest: bytes, placement: Placement, time_limit_s: float
    ) -> ClaimResult:
        self.asked.append(placement)
        await trio.sleep(0.01)
        if self.is_down:
            raise Refusal("claims-unavailable")
        digest, holder = self.held.setdefault((customer, key), (body_digest, placement))
        if digest != body_digest and digest:
            return ClaimResult(ClaimState.KEY_REUSED)
        state = ClaimState.GRANTED if holder == placement else ClaimState.HELD
        return ClaimResult(state, holder)

    async def replace(
        self,
        customer: str,
        key: str,
        old: Placement,
        new: Placement,
        body_digest: bytes,
        time_limit_s: float,
    ) -> ClaimResult:
        await trio.sleep(0.01)
        if self.held[customer, key][1] != old:
            return ClaimResult(ClaimState.HELD, self.held[customer, key][1])
        self.held[customer, key] = (body_digest, new)
        return ClaimResult(ClaimState.GRANTED, new)

    async def lookup(self, customer: str, key: str, body_digest: bytes) -> ClaimResult:
        if self.is_down:
            raise Refusal("claims-unavailable")
        digest, holder = self.held.get((customer, key), (b"", None))
        if holder is None:
            return ClaimResult(ClaimState.ABSENT)
        if digest != body_digest and digest:
            return ClaimResult(ClaimState.KEY_REUSED, holder)
        return ClaimResult(ClaimState.HELD, holder)

    def hold(self) -> None:
        """Give the key of the tests to another request, with any body."""
        self.held["yeso-justo", "k"] = (b"", OWNER)


@pytest.fixture
def claims() -> FakeClaims:
    return FakeClaims()


async def refusal_of(world: Any, request: Any) -> Refusal:
    with pytest.raises(Refusal) as caught:
        await world.ask(request)
    return caught.value


def all_of(world: Any, kind: type[Any]) -> list[Any]:
    return [*world.s1.of(kind), *world.s2.of(kind)]


class TestOwnKey:
    async def test_claimed_between_reservation_and_commit(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        order: list[str] = []

        async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
            order.append(f"reserved after {len(claims.asked)} claims")
            await sidecar.accept(end, reserve)
            order.append(f"committed after {len(claims.asked)} claims")
            await sidecar.answer(end, reserve)

        world.s1.scripts, world.s2.scripts = [script], [script]
        assert (await world.ask(world.booking(key="k"))).body == THREE_EVENTS
        assert order == ["reserved after 0 claims", "committed after 1 claims"]

    async def test_unavailable_claims_refuse_and_release(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        claims.is_down = True
        refusal = await refusal_of(world, world.booking(key="k"))
        # Unknown, since an earlier request of the key can't be ruled out; this one has not run.
        assert (refusal.kind.code, refusal.outcome) == ("claims-unavailable", Outcome.UNKNOWN)
        assert refusal.figures.detail.startswith("This request has not run;")
        await trio.sleep(0.1)
        assert not all_of(world, Commit)
        assert world.ran() == 0

    async def test_same_key_with_another_body_is_refused(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        await world.ask(world.booking(key="k"))
        refusal = await refusal_of(world, world.booking(key="k", body=b"other"))
        assert (refusal.kind.code, refusal.outcome) == ("key-reused", Outcome.NOT_RUN)
        assert world.ran() == 1

    async def test_claimed_run_continues_when_its_caller_disconnects(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """A caller loses its connection and repeats the booking with its key. If the entry
        cancelled the run for the lost connection, the repeated request would fail."""

        async def hang(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await end.receive()

        world.s1.scripts, world.s2.scripts = [hang], [hang]
        with trio.move_on_after(1.0):
            await world.ask(world.booking(key="k"))
        await trio.sleep(0.1)
        assert all_of(world, Commit)
        assert not all_of(world, Cancel)

    async def test_answer_is_kept_for_a_caller_that_leaves_before_it_is_complete(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against a sidecar that drops a complete answer since its stream was closed in
        order, while the end mark was on its way: the repeated request finds no answer."""
        codes = []

        async def never_read(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            try:
                await end.receive()
            except StreamEnded as ended:
                codes.append(ended.peer_code)

        world.s1.scripts, world.s2.scripts = [never_read], [never_read]
        with trio.move_on_after(1.0):
            await world.ask(world.request(key="k", prompt_tokens=5_000))
        await trio.sleep(0.1)
        assert codes == [AnswerUnread.code]


class TestRefusedBeforeItsClaim:
    """A request that is refused as "not run" hasn't run, and neither has an earlier one of its
    key."""

    @pytest.mark.parametrize(
        ("holds", "outcome"), [(True, Outcome.UNKNOWN), (False, Outcome.NOT_RUN)]
    )
    async def test_outcome_covers_earlier_requests_of_the_key(
        self, world: Any, claims: FakeClaims, autojump_clock: Any, holds: bool, outcome: Outcome
    ) -> None:
        """A first request ran and its sidecar died. If the repeated request, which finds no
        replica, were refused as "not run", the caller would book again under another key."""
        if holds:
            claims.hold()
        for sidecar in (world.s1, world.s2):
            sidecar.is_down = True
        refusal = await refusal_of(world, world.booking(key="k"))
        assert (refusal.kind.code, refusal.outcome) == ("no-replica", outcome)

    async def test_overloaded_entry_reports_unknown_for_a_request_with_a_key(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """As above, but the entry refuses the repeated request at its limit, without a key
        lookup."""
        world.path._settings = world.path._settings._replace(max_open_requests=0)
        assert (await refusal_of(world, world.booking(key="k"))).outcome == Outcome.UNKNOWN
        assert (await refusal_of(world, world.booking())).outcome == Outcome.NOT_RUN


class TestKeyOfAnotherRequest:
    async def test_repeated_request_attaches_to_the_first_run(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        """A caller repeats a booking through another entry while the first run is in progress. If
        both ran, two crews would be sent to one house."""
        claims.hold()
        world.s1.states[OWN] = AttemptState.COMMITTED
        world.s1.ran.append(OWN)
        assert (await world.ask(world.booking(key="k"))).body == THREE_EVENTS
        assert world.ran() == 1
        await trio.sleep(0.1)
        assert not all_of(world, Commit)

    async def test_concurrent_requests_run_once(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        bodies: list[bytes] = []

        async def ask() -> None:
            bodies.append((await world.ask(world.booking(key="k"))).body)

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(ask)
        assert bodies == [THREE_EVENTS] * 5
        assert world.ran() == 1

    async def test_voided_owner_is_replaced(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        """The first entry dies between its claim and its commit. The key must not stay blocked
        until the claim expires, but the new run must not start while the owner could still
        commit."""
        claims.hold()
        assert (await world.ask(world.booking(key="k"))).body == THREE_EVENTS
        assert world.s1.states[OWN] == AttemptState.VOIDED
        assert world.ran() == 1

    @pytest.mark.parametrize("other", ["is missing", "refuses", "is down"])
    async def test_voided_owner_is_replaced_on_the_only_sidecar_with_room(
        self, world: Any, claims: FakeClaims, autojump_clock: Any, other: str
    ) -> None:
        """Guards against a repeat that is refused each time: its reservation was released for an
        owner that never ran, and no other sidecar grants one."""
        claims.hold()
        if other == "is missing":
            del world.sidecars["s2"]
        world.s2.is_down = other == "is down"
        world.s2.scripts = [refusing("overloaded")] * 9
        assert (await world.ask(world.booking(key="k"))).body == THREE_EVENTS
        assert world.s1.states[OWN] == AttemptState.VOIDED
        assert world.ran() == 1

    async def test_owner_that_may_still_commit_is_not_voided(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        claims.hold()
        world.s1.states[OWN] = AttemptState.RESERVED

        async def commit_later() -> None:
            await trio.sleep(0.5)
            world.s1.states[OWN] = AttemptState.COMMITTED

        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit_later)
            assert (await world.ask(world.booking(key="k"))).body == THREE_EVENTS
        assert not any(query.void_if_uncommitted for query in world.s1.of(Query))
        assert world.s1.ran == [OWN]

    async def test_owner_whose_sidecar_was_replaced_is_unknown(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        claims.hold()
        world.s1.incarnation = "life-2"
        refusal = await refusal_of(world, world.booking(key="k"))
        assert (refusal.kind.code, refusal.outcome) == ("outcome-unknown", Outcome.UNKNOWN)
        assert world.ran() == 0

    async def test_failure_of_the_owner_is_reported_and_not_retried(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        claims.hold()
        world.s1.states[OWN] = AttemptState.FAILED

        async def fail(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Query):
                await end.send(QueryReply(*OWN, sidecar.incarnation, AttemptState.FAILED))
            elif isinstance(message, Reserve):
                await sidecar.behave(end, message)
            else:
                await end.send(sidecar.end(OWN, 0, "failed"))

        world.s1.scripts = [fail] * 9
        refusal = await refusal_of(world, world.booking(key="k"))
        assert (refusal.kind.code, refusal.outcome) == ("key-failed", Outcome.FAILED)
        assert world.ran() == 0

    async def test_second_reader_never_cancels_the_run(
        self, world: Any, claims: FakeClaims, autojump_clock: Any
    ) -> None:
        claims.hold()
        world.s1.states[OWN] = AttemptState.COMMITTED

        async def wait(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Query | Reserve):
                await sidecar.behave(end, message)
            else:
                await end.receive()

        world.s1.scripts = [wait] * 9
        refusal = await refusal_of(world, world.booking(key="k", time_limit_s=2.0))
        assert (refusal.kind.code, refusal.outcome) == ("time-limit-passed", Outcome.UNKNOWN)
        await trio.sleep(0.1)
        assert all((each.request_id, each.attempt) != OWN for each in all_of(world, Cancel))
