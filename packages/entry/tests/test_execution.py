"""Execution of requests when sidecars refuse, fail or can't be reached."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.testing.sidecar_scripts import (
    THREE_EVENTS,
    cut_after_commit,
    cut_after_two,
    cut_before_commit,
    cut_instead_of_commit,
    own_of,
    refusal_of,
    refusing,
    sending,
)
from sassafrastally.wire.messages import (
    Attach,
    Cancel,
    Commit,
    Query,
    QueryReply,
    Refused,
    Reserve,
    Reserved,
)


class TestAnswers:
    async def test_short_idempotent_request_commits_with_its_reservation(
        self, world: Any, autojump_clock: Any
    ) -> None:
        assert (await world.ask(world.request())).body == THREE_EVENTS
        assert world.ran() == 1
        assert not world.s1.of(Commit) + world.s2.of(Commit)

    async def test_long_request_reserves_then_commits(
        self, world: Any, autojump_clock: Any
    ) -> None:
        body = b"x" * 200_000
        request = world.request(prompt_tokens=50_000, body=body)
        assert (await world.ask(request)).body == THREE_EVENTS
        (commit,) = world.s1.of(Commit) + world.s2.of(Commit)
        assert 29.0 < commit.time_limit_s <= 30.0
        assert commit.incarnation.startswith("life-1")

    async def test_ready_chunks_are_read_as_one_piece(
        self, world: Any, autojump_clock: Any
    ) -> None:
        async with world.path.open(world.request()) as answer:
            await trio.sleep(0.1)
            assert [data async for data in answer] == [THREE_EVENTS]

    async def test_slow_caller_causes_backpressure_but_does_not_suspend_the_time_limit(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """A caller stops reading, so the buffer fills and the relay from the sidecar blocks. If the
        time limit were checked only when the caller reads, the engine would hold the memory of the
        run indefinitely."""

        async def flood(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await end.send(*sidecar.chunks(own_of(reserve), ("z" * 200_000,) * 5))
            await end.receive()

        world.s1.scripts, world.s2.scripts = [flood], [flood]
        async with world.path.open(world.request(time_limit_s=0.5)) as answer:
            await trio.sleep(2)
            assert answer.refusal is not None
            assert answer.refusal.kind.code == "time-limit-passed"
            assert answer.shown_tokens < 5
            assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1


class TestAnswerIntegrity:
    @pytest.mark.parametrize(
        "first",
        [
            pytest.param(lambda s, own: s.chunks(own, s.words[:1]) * 3, id="repeated"),
            pytest.param(lambda s, own: s.chunks((own[0], 9), ("not", "mine")), id="other attempt"),
            pytest.param(
                lambda s, own: s.chunks(("f" * 32, own[1]), ("not", "mine")), id="other request"
            ),
        ],
    )
    async def test_unexpected_chunks_are_dropped(
        self, world: Any, autojump_clock: Any, first: Any
    ) -> None:
        """Late chunks of an abandoned attempt can arrive on a reattached stream. Relaying them
        would duplicate tokens or mix in another answer."""
        script = sending(
            first, lambda s, own: s.chunks(own, s.words), lambda s, own: [s.end(own, 3)]
        )
        world.s1.scripts, world.s2.scripts = [script], [script]
        assert (await world.ask(world.request())).body == THREE_EVENTS

    @pytest.mark.parametrize(
        "rest",
        [
            pytest.param(lambda s, own: s.chunks(own, s.words[2:], 2), id="gap"),
            pytest.param(lambda s, own: [s.end(own, 3)], id="count too high"),
            pytest.param(lambda s, own: [s.end(own, 0)], id="count too low"),
            pytest.param(lambda s, own: [], id="no end mark"),
        ],
    )
    async def test_incomplete_answer_is_fetched_again_and_never_truncated(
        self, world: Any, autojump_clock: Any, rest: Any
    ) -> None:
        """A sidecar's stream loses chunks or ends without an end mark. Without a check the caller
        would get a truncated answer that looks complete."""
        script = sending(lambda s, own: s.chunks(own, s.words[:1]), rest)
        world.s1.scripts, world.s2.scripts = [script], [script]
        request = world.request(prompt_tokens=5_000)
        assert (await world.ask(request)).body == THREE_EVENTS
        assert world.s1.of(Attach) + world.s2.of(Attach)

    async def test_answer_that_stays_incomplete_is_a_failure(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """As above, but the sidecar repeats the wrong count on every attach. Accepting the answer
        after some tries would again truncate it."""

        async def wrong(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Query):
                await sidecar.behave(end, message)
                return
            if isinstance(message, Reserve):
                await sidecar.accept(end, message)
            await end.send(sidecar.end(own_of(message), 3))

        world.s1.scripts, world.s2.scripts = [wrong] * 20, [wrong] * 20
        refusal = await refusal_of(world, world.booking())
        assert refusal.kind.code == "backend-failed"
        assert refusal.outcome in (Outcome.FAILED, Outcome.UNKNOWN)
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    async def test_answer_no_longer_kept_is_not_an_empty_success(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """After a lost link the entry attaches to a finished run whose answer was discarded in the
        meantime. The end mark says completed with 0 chunks; by the count alone it would pass as a
        complete, empty answer."""

        async def answer_discarded(sidecar: Any, end: Any, attach: Attach) -> None:
            await end.send(sidecar.end(own_of(attach), 0, code="answer-not-kept"))

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [cut_after_commit, type(sidecar).behave, answer_discarded]
        refusal = await refusal_of(world, world.booking())
        assert refusal.kind.code == "answer-not-kept"
        assert refusal.outcome == Outcome.COMPLETED


class TestRefusals:
    async def test_next_candidate_is_tried_at_once(self, world: Any, autojump_clock: Any) -> None:
        world.s1.scripts = world.s2.scripts = [refusing("memory-full", retry_after_s=4.0)]
        started_s = trio.current_time()
        assert (await world.ask(world.request())).body == THREE_EVENTS
        assert trio.current_time() == started_s

    async def test_least_busy_is_tried_again_when_all_are_busy(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Every replica could serve the request in time, but each refuses it for the wait limit
        that routing set. The request fails unless one of them is tried again without the limit."""

        def busy(wait_s: float) -> Any:
            async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
                await end.send(Refused(*own_of(reserve), "busy", measured=wait_s))

            return script

        world.s1.scripts, world.s2.scripts = [busy(2.0)], [busy(1.0)]
        assert (await world.ask(world.request())).body == THREE_EVENTS
        assert len(world.s1.of(Reserve)) == 1
        assert [reserve.max_wait_s for reserve in world.s2.of(Reserve)][1:] == [0.0]

    async def test_refusal_by_all_is_reported_at_once_with_the_shortest_retry_delay(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.scripts = [refusing("memory-full", retry_after_s=4.0, limit=10, measured=12)]
        world.s2.scripts = [refusing("time-limit-unreachable", retry_after_s=2.0)]
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.request())
        assert refusal.kind.code == "time-limit-unreachable"
        assert refusal.figures.retry_after_s == 2.0
        assert refusal.outcome == Outcome.NOT_RUN
        assert trio.current_time() == started_s
        assert world.ran() == 0

    async def test_refused_after_commit_fails_over(self, world: Any, autojump_clock: Any) -> None:
        async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.send(Reserved(*own_of(reserve), sidecar.incarnation, 0.1, 0.5, 5.0))
            await end.receive()
            await end.send(Refused(*own_of(reserve), "no-replica", detail="lapsed"))

        world.s1.scripts = world.s2.scripts = [script]
        assert (await world.ask(world.booking())).status == 200
        assert world.ran() == 1

    async def test_not_run_of_a_retry_does_not_cover_the_first_attempt(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """The first attempt runs and fails, and the retry is refused. If the outcome of the retry,
        "not run", were reported for the request, the caller might book again by hand."""

        async def fail(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            sidecar.ran.append(own_of(reserve))
            await end.send(
                *sidecar.chunks(own_of(reserve), sidecar.words[:1]),
                sidecar.end(own_of(reserve), 1, "failed", code="backend-failed"),
            )

        order = [fail, *[refusing("memory-full", retry_after_s=1.0)] * 4]
        world.s1.scripts = world.s2.scripts = order
        refusal = await refusal_of(world, world.request(is_streamed=False))
        assert refusal.kind.code == "memory-full"
        assert refusal.outcome == Outcome.FAILED

    async def test_no_replica_serves_the_target(self, world: Any, autojump_clock: Any) -> None:
        refusal = await refusal_of(world, world.request(model="unknown"))
        assert (refusal.kind.code, refusal.outcome) == ("no-replica", Outcome.NOT_RUN)

    async def test_leaving_sidecar_gets_no_requests(self, world: Any, autojump_clock: Any) -> None:
        world.membership.leaving.add("s1")
        for _ in range(4):
            await world.ask(world.request())
        assert not world.s1.log
        assert len(world.s2.ran) == 4


class TestLostLinkOfIdempotentRequests:
    async def test_unreachable_sidecar_is_skipped(self, world: Any, autojump_clock: Any) -> None:
        world.s1.is_down = True
        for _ in range(3):
            assert (await world.ask(world.request())).body == THREE_EVENTS

    async def test_link_with_all_streams_in_use_is_skipped(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.has_streams_left = False
        for _ in range(3):
            assert (await world.ask(world.request())).body == THREE_EVENTS
        assert not world.s1.log

    async def test_retry_resumes_after_the_tokens_already_sent(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """A sidecar dies after two tokens were sent to the caller. If the other engine started from
        the beginning, it would repeat them or send different ones."""

        async def replaced(sidecar: Any, end: Any, query: Query) -> None:
            state = AttemptState.OTHER_INCARNATION
            await end.send(QueryReply(*own_of(query), "life-2", state))

        world.s1.scripts = world.s2.scripts = [cut_after_two, replaced]
        request = world.request(prompt_tokens=5_000)
        assert (await world.ask(request)).body == THREE_EVENTS
        resumed = [r for r in world.s1.of(Reserve) + world.s2.of(Reserve) if r.shown_tokens]
        assert [(r.shown_tokens, r.attempt) for r in resumed] == [(2, 2)]

    async def test_transient_refusal_does_not_end_a_started_answer(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Two tokens were sent when the link is lost, and the only other replica is full for 0.1 s.
        The answer must not fail while most of the time limit is left."""

        async def replaced(sidecar: Any, end: Any, query: Query) -> None:
            state = AttemptState.OTHER_INCARNATION
            await end.send(QueryReply(*own_of(query), "life-2", state))

        async def full(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.send(Refused(*own_of(reserve), "memory-full", retry_after_s=0.1))

        world.s1.scripts = world.s2.scripts = [cut_after_two, replaced, full]
        assert (await world.ask(world.request(prompt_tokens=5_000))).body == THREE_EVENTS

    async def test_same_run_is_reattached_after_a_short_cut(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [cut_after_two], [cut_after_two]
        request = world.request(prompt_tokens=5_000)
        assert (await world.ask(request)).body == THREE_EVENTS
        (attach,) = world.s1.of(Attach) + world.s2.of(Attach)
        assert attach.from_sequence == 2
        assert world.ran() == 1

    async def test_retries_are_limited_by_max_attempts(
        self, world: Any, autojump_clock: Any
    ) -> None:
        async def fail(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            sidecar.ran.append(own_of(reserve))
            await end.send(sidecar.end(own_of(reserve), 0, "failed", code="backend-failed"))

        world.s1.scripts, world.s2.scripts = [fail] * 9, [fail] * 9
        request = world.request(prompt_tokens=0, max_output_tokens=10)
        refusal = await refusal_of(world, request)
        assert (refusal.kind.code, refusal.outcome) == ("backend-failed", Outcome.FAILED)
        assert world.ran() == 3


class TestNonIdempotentRequests:
    async def test_cut_before_commit_fails_over(self, world: Any, autojump_clock: Any) -> None:
        world.s1.scripts = world.s2.scripts = [cut_before_commit]
        assert (await world.ask(world.booking())).status == 200
        assert world.ran() == 1

    async def test_commit_that_never_arrived_is_voided_before_failover(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """The link is lost while the commit is in transit. If the entry failed over while the first
        sidecar could still receive the commit, the booking would run twice. So the first sidecar
        must confirm that it voided the attempt."""
        world.s1.scripts, world.s2.scripts = [cut_instead_of_commit], []
        while not world.s1.of(Query):
            world.s1.scripts = world.s1.scripts or [cut_instead_of_commit]
            assert (await world.ask(world.booking())).status == 200
        (query,) = world.s1.of(Query)
        assert query.void_if_uncommitted
        assert world.s1.states[own_of(query)] == AttemptState.VOIDED
        assert not world.s1.ran or own_of(query) not in world.s1.ran

    @pytest.mark.parametrize("script", [cut_after_commit, cut_after_two])
    async def test_cut_after_commit_reattaches_to_the_run(
        self, world: Any, autojump_clock: Any, script: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [script], [script]
        assert (await world.ask(world.booking())).body == THREE_EVENTS
        assert world.ran() == 1
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    async def test_refused_attach_is_no_proof_of_not_run(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """A sidecar temporarily refuses an attach. If the entry took that as a refusal of the
        attempt, the booking would run twice."""

        async def refuse_attach(sidecar: Any, end: Any, attach: Attach) -> None:
            await end.send(Refused(*own_of(attach), "overloaded"))

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [cut_after_two, type(sidecar).behave, refuse_attach]
        assert (await world.ask(world.booking())).body == THREE_EVENTS
        assert world.ran() == 1
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    async def test_refused_as_already_committed_is_no_proof_of_not_run(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """A sidecar receives a commit twice and refuses the second one as unknown. If the entry
        took every refusal as "not run", the booking would run twice."""

        async def refuse_second(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.send(Refused(*own_of(reserve), "outcome-unknown", detail="already committed"))

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [refuse_second]
        refusal = await refusal_of(world, world.booking(time_limit_s=8.0))
        assert refusal.outcome == Outcome.UNKNOWN
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    async def test_other_incarnation_is_unknown_and_never_fails_over(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """A sidecar is replaced after the commit, and the new one has no record of the attempt. If
        its "absent" were taken as "not run", the booking would run twice."""

        async def restart(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await cut_after_commit(sidecar, end, reserve)
            sidecar.incarnation = "life-2"
            sidecar.states.clear()

        world.s1.scripts, world.s2.scripts = [restart], [restart]
        refusal = await refusal_of(world, world.booking())
        assert (refusal.kind.code, refusal.outcome) == ("outcome-unknown", Outcome.UNKNOWN)
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    async def test_unreachable_until_the_time_limit_is_unknown(
        self, world: Any, autojump_clock: Any
    ) -> None:
        async def die(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await cut_after_commit(sidecar, end, reserve)
            sidecar.is_down = True

        world.s1.scripts, world.s2.scripts = [die], [die]
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.booking(time_limit_s=8.0))
        assert refusal.outcome == Outcome.UNKNOWN
        assert trio.current_time() == pytest.approx(started_s + 8.0)
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    async def test_failed_run_is_not_retried(self, world: Any, autojump_clock: Any) -> None:
        script = sending(lambda s, own: [s.end(own, 0, "failed", code="backend-failed")])
        world.s1.scripts, world.s2.scripts = [script], [script]
        refusal = await refusal_of(world, world.booking())
        assert (refusal.kind.code, refusal.outcome) == ("backend-failed", Outcome.FAILED)
        assert world.ran() == 1

    async def test_unknown_end_is_reported_as_unknown(
        self, world: Any, autojump_clock: Any
    ) -> None:
        script = sending(lambda s, own: [s.end(own, 0, "unknown")])
        world.s1.scripts, world.s2.scripts = [script], [script]
        refusal = await refusal_of(world, world.booking())
        assert (refusal.kind.code, refusal.outcome) == ("outcome-unknown", Outcome.UNKNOWN)
        assert world.ran() == 1
