"""Answers of the KV service with odd entries and of odd forms."""

from __future__ import annotations

import base64
import json
from contextlib import asynccontextmanager, suppress
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.stores import (
    EtcdKv,
    KvConflict,
    KvEntry,
    KvEvent,
    KvSettings,
    KvUnavailable,
    KvWrite,
    LeaseLost,
    MaybeApplied,
    PurposeBudget,
)
from sassafrastally.stores.ignored_entries import EntryIgnored, IgnoredEntries

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SOUND = KvEntry("a/x", b"1", 7)
NESTED = b"[" * 30_000 + b"]" * 30_000
ODD_ANSWERS = [
    NESTED,
    b'{"kvs": ' + NESTED + b"}",
    b"9" * 5000,
    b'{"header": {"revision": "' + b"9" * 5000 + b'"}, "succeeded": true}',
    b'{"header": {"revision": 1e400}, "succeeded": true}',
    b'{"header": {"revision": "-1"}, "succeeded": true}',
    b'{"header": 5, "succeeded": true}',
    b'{"ID": [], "result": 5, "kvs": 5, "succeeded": true, "header": []}',
    b'{"ID": "x", "result": {"TTL": "x"}, "kvs": [5], "succeeded": 1, "header": {"revision": []}}',
    b'{"result": {"TTL": "NaN"}, "kvs": {"key": 1}, "succeeded": 1, "header": {"revision": "x"}}',
    b'{"result": {"TTL": 1e400}, "kvs": [{}], "succeeded": true, "header": {"revision": null}}',
    b"[]",
    b"null",
    b"\xff",
    b"\xff\xfe{\x00}\x00",
    b"",
]


def encoded(key: bytes, value: bytes = b"1", **fields: object) -> dict[str, Any]:
    texts = {
        name: base64.b64encode(data).decode() for name, data in (("key", key), ("value", value))
    }
    return {**texts, "mod_revision": "7", **fields}


OTHER_KEYS = [b"a/\xff", b"a/\xed\xa0\x80", b"\xc0\xaf" * 100]
"""Keys of other writers, which needn't be UTF-8."""

ODD_ITEMS: list[Any] = [
    5,
    {},
    {"key": 5},
    {"key": "a"},
    {"key": "ä"},
    encoded(b"a/x", value=b"") | {"value": "a"},
    encoded(b"a/x", mod_revision="9" * 5000),
    encoded(b"a/x", mod_revision=1e400),
    encoded(b"a/x", mod_revision=[]),
    encoded(b"a/x", lease="x"),
]


class Answers:
    """A service that answers each call with the present body."""

    def __init__(self) -> None:
        self.body = b""

    async def serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some(65536):
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
                await stream.send_all(head.encode() + self.body)


class Lines:
    """A service that answers a watch with lines and then stays silent."""

    def __init__(self, *lines: bytes) -> None:
        self.lines = (b'{"result": {"created": true, "header": {"revision": "1"}}}', *lines)

    async def serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(65536)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in self.lines:
            await stream.send_all(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
        await trio.sleep_forever()


@asynccontextmanager
async def listening(server: Answers | Lines) -> AsyncIterator[Address]:
    async with trio.open_nursery() as nursery:
        [listener] = await nursery.start(partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1"))
        yield Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def kv_of(server: Answers | Lines, reports: list[EntryIgnored]) -> AsyncIterator[EtcdKv]:
    ignored = IgnoredEntries()
    ignored.report = reports.append
    budget = PurposeBudget("bundle", 1e6, 1_000_000)
    async with listening(server) as address:
        settings = KvSettings(address, backoff_cap_s=0.0, reentry_s=0.0, budgets=(budget,))
        kv = EtcdKv(settings, Random(1), ignored)
        yield kv
        await kv.aclose()


class TestOddEntries:
    """Entries of other writers under this product's prefixes."""

    async def test_those_of_other_writers_are_left_out_of_a_range(self) -> None:
        """Guards against processes that end by one entry of another writer.

        A key that isn't UTF-8 raised an error in the task that had read the prefix.
        """
        server = Answers()
        reports: list[EntryIgnored] = []
        async with kv_of(server, reports) as kv:
            for _ in range(3):
                items = [*map(encoded, OTHER_KEYS), encoded(b"a/x"), *map(encoded, OTHER_KEYS)]
                server.body = json.dumps({"kvs": items}).encode()
                assert await kv.get_prefix("a/", purpose="bundle") == [SOUND]
        assert len(reports) == len(OTHER_KEYS)

    async def test_those_of_other_writers_are_left_out_of_a_watch(self) -> None:
        """Guards against watches that end by one change of another writer, again and again."""
        odd = [{"kv": encoded(key)} for key in OTHER_KEYS]
        odd += [{"type": "DELETE", "kv": encoded(key)} for key in OTHER_KEYS]
        batches = [odd, [*odd, {"kv": encoded(b"a/x")}, *odd], [{"kv": encoded(b"a/y")}], odd]
        lines = [json.dumps({"result": {"events": events}}).encode() for events in batches]
        reports: list[EntryIgnored] = []
        async with (
            kv_of(Lines(*lines), reports) as kv,
            kv.watch("a/", from_revision=1, purpose="bundle") as events,
        ):
            assert await anext(events) == KvEvent("a/x", b"1", 7)
            assert await anext(events) == KvEvent("a/y", b"1", 7)
        assert len(reports) == len(OTHER_KEYS)


class TestOddAnswers:
    """Answers that the service spoils."""

    async def test_an_answer_of_any_form_is_an_unavailable_service(self) -> None:
        """Guards against processes that end by one spoiled answer of the KV service."""
        server = Answers()
        async with kv_of(server, []) as kv:
            for body in ODD_ANSWERS:
                server.body = body
                for call in (
                    partial(kv.get, "a/x"),
                    partial(kv.get_prefix, "a/"),
                    partial(kv.write, [KvWrite("a/x", b"1", 0)]),
                    partial(kv.grant_lease, 1.0),
                    partial(kv.keep_lease, 5),
                    partial(kv.revoke_lease, 5),
                ):
                    with suppress(KvUnavailable, MaybeApplied, KvConflict, LeaseLost):
                        await call(purpose="bundle")
            for item in ODD_ITEMS:
                server.body = json.dumps({"kvs": [item]}).encode()
                with pytest.raises(KvUnavailable):
                    await kv.get("a/x", purpose="bundle")
                with pytest.raises(KvUnavailable):
                    await kv.get_prefix("a/", purpose="bundle")
            server.body = json.dumps({"kvs": [encoded(b"a/x")]}).encode()
            assert await kv.get("a/x", purpose="bundle") == SOUND

    @pytest.mark.parametrize(
        "line",
        [
            *ODD_ANSWERS[:3],
            b"[]",
            b"null",
            b"\xff",
            b'{"result": 5}',
            b'{"result": {"events": 5}}',
            b'{"result": {"events": {"kv": 5}}}',
            *(json.dumps({"result": {"events": [{"kv": item}]}}).encode() for item in ODD_ITEMS),
            *(json.dumps({"result": {"events": [item]}}).encode() for item in ODD_ITEMS[:3]),
        ],
        ids=range(22),
    )
    async def test_a_watch_with_lines_of_any_form_is_interrupted(self, line: bytes) -> None:
        """Guards against processes that end by one spoiled line; the caller reads again."""
        async with (
            kv_of(Lines(line), []) as kv,
            kv.watch("a/", from_revision=1, purpose="bundle") as events,
        ):
            with trio.fail_after(2.0), pytest.raises(KvUnavailable):
                await anext(events)
