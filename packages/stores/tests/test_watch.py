"""Tests of watches: gaps, interruptions and half-open connections."""

from __future__ import annotations

import json
from random import Random
from typing import TYPE_CHECKING, Any, cast

import pytest
import trio

from sassafrastally.stores import KvEvent, KvUnavailable, KvWrite, gateway
from sassafrastally.stores.watch import EtcdWatch
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    import httpx

RENEWAL_S = 10.0
CREATED: dict[str, Any] = {"header": {"revision": "7"}, "created": True}


class ScriptedResponse:
    """A response that sends its lines and then stays idle."""

    def __init__(self, results: Sequence[Mapping[str, Any]]) -> None:
        self.results = results

    async def aiter_lines(self) -> AsyncIterator[str]:
        for result in self.results:
            yield json.dumps({"result": result})
        await trio.sleep_forever()

    async def aclose(self) -> None:
        """Do nothing."""


class ScriptedService:
    """Returns scripted responses to watch calls and records their start revisions."""

    def __init__(self, *responses: Sequence[Mapping[str, Any]]) -> None:
        self.responses = list(responses)
        self.starts: list[int] = []
        self.interruptions = 0

    async def open_stream(self, body: Mapping[str, Any]) -> httpx.Response:
        self.starts.append(int(body["create_request"].get("start_revision", 0)))
        return cast("httpx.Response", ScriptedResponse(self.responses.pop(0)))

    def on_interrupted(self) -> None:
        self.interruptions += 1

    def watch(self) -> EtcdWatch:
        return EtcdWatch("a/", 0, self.open_stream, RENEWAL_S, self.on_interrupted)


def change(revision: int) -> KvEvent:
    return KvEvent("a/x", b"v", revision)


def events(*changes: KvEvent) -> dict[str, Any]:
    return {"header": {}, "events": [gateway.encode_event(item) for item in changes]}


class TestEtcdWatch:
    async def test_an_idle_connection_is_replaced_without_a_gap(
        self, autojump_clock: object
    ) -> None:
        """Guards against a node that never receives a new bundle.

        A firewall drops the state of the watch's connection, which stays open but receives
        nothing."""
        service = ScriptedService([CREATED, events(change(8))], [CREATED, events(change(9))])
        watch = service.watch()
        await watch.open()
        with trio.fail_after(2 * RENEWAL_S):
            assert [await anext(watch), await anext(watch)] == [change(8), change(9)]
        assert service.starts == [0, 9]
        assert service.interruptions == 0

    async def test_renewal_before_any_change_starts_after_the_first_revision(
        self, autojump_clock: object
    ) -> None:
        """A watch without a start revision is renewed before its first change. If it were reopened
        at the current revision, it would miss changes made while the connection was dead."""
        service = ScriptedService([CREATED], [CREATED, events(change(9))])
        watch = service.watch()
        await watch.open()
        await anext(watch)
        assert service.starts == [0, 8]

    async def test_a_cancelled_watch_raises(self, autojump_clock: object) -> None:
        service = ScriptedService([CREATED, {"canceled": True, "compact_revision": "9"}])
        watch = service.watch()
        await watch.open()
        with pytest.raises(KvUnavailable, match="history starts at 9"):
            await anext(watch)
        assert service.interruptions == 1


class TestGap:
    async def test_a_gap_is_reported_and_read_again(self, autojump_clock: object) -> None:
        """Guards against a node that stays on an old bundle.

        A watch is interrupted by an outage, and the service compacts its history before the watch
        is reopened. The missing changes must be reported as an error."""
        model = KvModel(Random(1))
        kv = FakeKv(model)
        revision = model.transact([KvWrite("a/x", b"1", 0)])
        async with kv.watch("a/", from_revision=revision + 1, purpose="bundle") as changes:
            model.set_faults(KvFaults(down=True))
            with pytest.raises(KvUnavailable):
                await anext(changes)
        model.set_faults(KvFaults())
        model.transact([KvWrite("a/x", b"2", revision)])
        model.compact()
        with pytest.raises(KvUnavailable):
            async with kv.watch("a/", from_revision=revision + 1, purpose="bundle"):
                raise AssertionError("the watch hid the gap")
        [entry] = await kv.get_prefix("a/", purpose="bundle")
        assert entry.value == b"2"
        async with kv.watch("a/", from_revision=entry.mod_revision + 1, purpose="bundle") as later:
            model.transact([KvWrite("a/x", b"3", entry.mod_revision)])
            assert (await anext(later)).value == b"3"
