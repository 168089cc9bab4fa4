"""Tests of the HTTP client of the KV service against a fake server over loopback."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.core import Address, CodedError
from sassafrastally.stores import (
    ANY_REVISION,
    EtcdKv,
    Kv,
    KvBudgetSpent,
    KvEvent,
    KvSettings,
    KvUnavailable,
    KvWrite,
    MaybeApplied,
    PurposeBudget,
)
from sassafrastally.testing.http_serving import serve_app
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel
from sassafrastally.testing.kv_server import make_kv_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

LOOPBACK = Address("127.0.0.1", 0)
SHORT_S = 0.2
LAST_KEY = "last"
WRITE = KvWrite("a/x", b"1", 0)


@asynccontextmanager
async def served(model: KvModel, **changes: object) -> AsyncIterator[EtcdKv]:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_app, make_kv_app(model), LOOPBACK)
        kv = EtcdKv(KvSettings(address)._replace(**changes), Random(1))
        try:
            yield kv
        finally:
            await kv.aclose()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def listening(handler: object) -> AsyncIterator[Address]:
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, handler, 0, host=LOOPBACK.host)
        [listener] = await nursery.start(serve)
        yield Address(LOOPBACK.host, listener.socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def close_after_request(stream: trio.SocketStream) -> None:
    await stream.receive_some(65536)
    await stream.aclose()


async def never_answer(stream: trio.SocketStream) -> None:
    while await stream.receive_some(65536):
        pass


class TestCertainty:
    """Classification of calls that get no response."""

    async def test_a_write_that_was_not_sent_is_known_not_applied(self) -> None:
        """Guards against a safe retry being reported as unsafe.

        The connection to the service is refused. If the claim were reported as uncertain, the
        caller's booking would end as "unknown" and could never be retried."""
        async with listening(never_answer) as address:
            pass  # The listener is closed, so connections to the port are refused.
        kv = EtcdKv(KvSettings(address), Random(1))
        with pytest.raises(KvUnavailable, match="not sent"):
            await kv.write([WRITE], purpose="claims")

    async def test_a_write_that_waited_for_a_connection_is_known_not_applied(
        self, autojump_clock: MockClock
    ) -> None:
        """A call that hangs uses the only connection. The second call reaches its time limit before
        any byte is sent, so it is known to have no effect. On the mock clock both limits are equal;
        otherwise the second call may be sent in time, in the milliseconds between them."""
        async with listening(never_answer) as address:
            limits = KvSettings(address, call_time_limit_s=SHORT_S, max_connections=1)
            kv = EtcdKv(limits, Random(1))
            outcomes: list[str] = []

            async def write() -> None:
                with pytest.raises(CodedError) as caught:
                    await kv.write([WRITE], purpose="claims")
                outcomes.append(caught.type.__name__)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                nursery.start_soon(write)
            assert sorted(outcomes) == ["KvUnavailable", "MaybeApplied"]

    async def test_a_lost_response_is_uncertain_for_a_write_and_not_for_a_read(self) -> None:
        """Guards against a booking that runs twice.

        The service receives the request and the connection is closed before the response. A write
        may have been applied, so it must not be reported as failed."""
        async with listening(close_after_request) as address:
            kv = EtcdKv(KvSettings(address), Random(1))
            with pytest.raises(MaybeApplied):
                await kv.write([WRITE], purpose="claims")
            with pytest.raises(KvUnavailable):
                await kv.get("a/x", purpose="admin")

    async def test_a_late_response_leaves_a_write_uncertain(self) -> None:
        model = KvModel(Random(1))
        model.set_faults(KvFaults(delay_s=60.0))
        async with served(model, call_time_limit_s=SHORT_S) as kv:
            with pytest.raises(MaybeApplied):
                await kv.write([WRITE], purpose="claims")


class TestOutage:
    async def test_calls_are_not_sent_while_the_service_is_down(self) -> None:
        model = KvModel(Random(1))
        model.set_faults(KvFaults(down=True))
        async with served(model, backoff_base_s=60.0, backoff_cap_s=60.0) as kv:
            for _ in range(20):
                with pytest.raises(KvUnavailable):
                    await kv.get("a/x", purpose="claims")
        assert model.counts["range"] == 2

    async def test_an_exhausted_budget_sends_nothing_and_spares_the_others(self) -> None:
        model = KvModel(Random(1))
        budget = PurposeBudget("admin", calls_per_s=0.001, burst=3)
        async with served(model, budgets=(budget,)) as kv:
            for _ in range(3):
                await kv.get("a/x", purpose="admin")
            with pytest.raises(KvBudgetSpent):
                await kv.get("a/x", purpose="admin")
            await kv.get("a/x", purpose="claims")
        assert model.counts["range"] == 4


class TestWatch:
    async def test_a_watch_counts_as_one_call_and_reports_in_order(self) -> None:
        model = KvModel(Random(1))
        async with (
            served(model) as kv,
            kv.watch("a/", from_revision=0, purpose="bundle") as changes,
        ):
            first = await kv.write([WRITE], purpose="admin")
            await kv.write([KvWrite("b/x", b"1", 0)], purpose="admin")
            await kv.write([KvWrite("a/x", None, first)], purpose="admin")
            values = [(await anext(changes)).value for _ in range(2)]
        assert values == [b"1", None]
        assert model.counts["watch"] == 1

    async def test_an_outage_interrupts_the_watch(self) -> None:
        model = KvModel(Random(1))
        async with (
            served(model) as kv,
            kv.watch("a/", from_revision=0, purpose="bundle") as changes,
        ):
            model.set_faults(KvFaults(down=True))
            with pytest.raises(KvUnavailable):
                await anext(changes)


class Step(NamedTuple):
    """One call of a random history."""

    method: str
    keys: tuple[str, ...] = ()
    value: bytes | None = b""
    expected: str = "any"
    """``any``, ``none``, ``current`` or ``stale``."""
    lease: int = 0


KEYS = st.sampled_from(["", "a", "a/x", "a/y", "b", "é\u20ac"])
STEPS = st.builds(
    Step,
    st.sampled_from(["write", "write", "write", "get", "prefix", "grant", "keep", "revoke"]),
    st.lists(KEYS.filter(bool), min_size=1, max_size=3).map(tuple),
    st.none() | st.binary(max_size=8),
    st.sampled_from(["any", "none", "current", "stale"]),
    st.integers(0, 3),
)
FAULTS = st.builds(
    KvFaults,
    down=st.booleans(),
    delay_s=st.just(0.0),
    lose_answers=st.integers(0, 1),
    lose_probability=st.sampled_from([0.0, 0.3]),
    drop_writes=st.integers(0, 1),
    drop_probability=st.sampled_from([0.0, 0.3]),
)


class TestDifferential:
    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.lists(STEPS | FAULTS, min_size=5, max_size=40))
    def test_http_and_fake_clients_agree(self, history: list[Step | KvFaults]) -> None:
        trio.run(self.compare, history)

    async def compare(self, history: list[Step | KvFaults]) -> None:
        remote_model, local_model = KvModel(Random(3)), KvModel(Random(3))
        # Backoff is off: the in-process client has none, and each call must reach the service.
        async with served(remote_model, backoff_cap_s=0.0, reentry_s=0.0) as remote:
            local = FakeKv(local_model)
            for step in history:
                if isinstance(step, KvFaults):
                    remote_model.set_faults(step)
                    local_model.set_faults(step)
                else:
                    assert await outcome(remote, step, remote_model) == await outcome(
                        local, step, local_model
                    )
            assert remote_model.range_prefix("") == local_model.range_prefix("")
            assert remote_model.counts == local_model.counts
            for model in (remote_model, local_model):
                model.set_faults(KvFaults())
                model.transact([KvWrite(LAST_KEY, b"", ANY_REVISION)])
            assert await watched(remote) == await watched(local)


async def watched(kv: Kv) -> list[KvEvent]:
    """Return all changes since the first revision."""
    seen: list[KvEvent] = []
    async with kv.watch("", from_revision=1, purpose="admin") as changes:
        async for change in changes:
            seen.append(change)
            if change.key == LAST_KEY:
                return seen
    raise AssertionError("the watch ended")


async def outcome(kv: Kv, step: Step, model: KvModel) -> object:
    try:
        return await perform(kv, step, model)
    except CodedError as cause:
        return type(cause)


async def perform(kv: Kv, step: Step, model: KvModel) -> object:
    match step.method:
        case "write":
            writes = [
                KvWrite(key, step.value, expected_revision(step.expected, key, model), step.lease)
                for key in step.keys
            ]
            return await kv.write(writes, purpose="claims")
        case "get":
            return await kv.get(step.keys[0], purpose="claims")
        case "prefix":
            return await kv.get_prefix(step.keys[0][:1], purpose="claims", limit=step.lease)
        case "grant":
            return await kv.grant_lease(600.5, purpose="claims")
        case "keep":
            return await kv.keep_lease(step.lease, purpose="claims")
        case _:
            return await kv.revoke_lease(step.lease, purpose="claims")


def expected_revision(expected: str, key: str, model: KvModel) -> int:
    entry = model.range(key)
    current = entry.mod_revision if entry else 0
    return {"any": ANY_REVISION, "none": 0, "current": current, "stale": current + 1}[expected]
