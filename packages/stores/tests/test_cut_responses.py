"""Responses of the KV service, VM list and weight store that are cut at each byte."""

from __future__ import annotations

import gzip
import json
from random import Random
from typing import Any

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.stores import (
    EtcdKv,
    HttpVmList,
    HttpWeightStore,
    KvSettings,
    KvUnavailable,
    KvWrite,
    MaybeApplied,
    PlatformUnavailable,
    PurposeBudget,
    VmListSettings,
    VmState,
    gateway,
)
from sassafrastally.stores.vm_list import encode_vm
from sassafrastally.testing.cut_server import FRAMINGS, LENGTH, CutServer, Framing, open_cut_server

JSON = b"application/json"
PURPOSE = "bundle"
KEY = gateway.encode_key("a/x")
HEADER = {"revision": "7"}
ENTRY = {"key": KEY, "value": "MQ==", "mod_revision": "7"}
RANGE = {"header": HEADER, "kvs": [ENTRY]}
CALLS: dict[str, tuple[Any, type[Exception], dict[str, Any]]] = {
    "get_prefix": (lambda kv: kv.get_prefix("a/", purpose=PURPOSE), KvUnavailable, RANGE),
    "write": (
        lambda kv: kv.write([KvWrite("a/x", b"1", 0)], purpose=PURPOSE),
        MaybeApplied,
        {"header": HEADER, "succeeded": True},
    ),
    "grant": (lambda kv: kv.grant_lease(5, purpose=PURPOSE), MaybeApplied, {"ID": "5"}),
    "keep": (lambda kv: kv.keep_lease(5, purpose=PURPOSE), MaybeApplied, {"result": {"TTL": "5"}}),
    "revoke": (lambda kv: kv.revoke_lease(5, purpose=PURPOSE), MaybeApplied, {"header": HEADER}),
}
FAILURES = [
    (b"400 Bad Request", {"code": 8, "message": gateway.TOO_MANY_REQUESTS}),
    (b"404 Not Found", {"code": gateway.CODE_NOT_FOUND, "message": gateway.LEASE_NOT_FOUND}),
]
VM = VmState("vm-1", "sidecar", "dc-1", "region-1", Address("10.0.0.1", 80))
VMS = json.dumps({"vms": [encode_vm(VM)]}).encode()
GZIP = Framing("gzip", b"Content-Encoding: gzip\r\nContent-Length: %d\r\n")
GZIP_CLOSE = Framing("gzip-close", b"Content-Encoding: gzip\r\n", ends_with_connection=True)


def encoded(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


def make_kv(server: CutServer) -> EtcdKv:
    budget = PurposeBudget(PURPOSE, 1e6, 1_000_000)
    settings = KvSettings(server.address, backoff_cap_s=0.0, reentry_s=0.0, budgets=(budget,))
    return EtcdKv(settings, Random(1))


class TestKvCalls:
    """A cut response leaves a write uncertain and a read without a result."""

    @pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
    @pytest.mark.parametrize("name", CALLS)
    async def test_cut_response_is_lost(self, name: str, is_reused: bool) -> None:
        """Guards against a missing key, an applied or a refused write by a service that crashed."""
        call, expected, document = CALLS[name]
        responses = [LENGTH.respond(encoded(document), JSON)]
        if not is_reused:
            responses += [each.respond(encoded(document), JSON) for each in FRAMINGS[1:]]
            responses += [LENGTH.respond(encoded(body), JSON, status) for status, body in FAILURES]
        async with open_cut_server() as server:
            server.earlier_response = LENGTH.respond(encoded(RANGE), JSON) if is_reused else b""
            kv = make_kv(server)
            for response in responses:
                for cut_at in server.cuts(response):
                    if is_reused:
                        await kv.get("a/x", purpose=PURPOSE)
                    with pytest.raises(Exception) as caught:
                        await call(kv)
                    assert caught.type is expected, response[:cut_at]
            assert server.requests == server.connections * (1 + is_reused)
            await kv.aclose()

    async def test_cut_watch_reports_a_prefix_and_ends_as_interrupted(self) -> None:
        """Guards against a change that is decoded from a part of its line, and a silent end."""
        lines: list[dict[str, Any]] = [{"result": {"created": True, "header": HEADER}}]
        lines += [{"result": {"events": [{"kv": {**ENTRY, "mod_revision": n}}]}} for n in (8, 9)]
        content = b"".join(encoded(line) + b"\n" for line in lines)
        async with open_cut_server() as server:
            kv = make_kv(server)
            for framing in FRAMINGS:
                for cut_at in server.cuts(framing.respond(content, JSON)):
                    seen: list[int] = []
                    with pytest.raises(KvUnavailable), trio.fail_after(5):
                        async with kv.watch("a/", from_revision=7, purpose=PURPOSE) as changes:
                            async for change in changes:
                                seen.append(change.mod_revision)
                    assert seen in ([], [8], [8, 9]), server.response[:cut_at]
            await kv.aclose()


class TestPlatformServices:
    @pytest.mark.parametrize("framing", [*FRAMINGS, GZIP, GZIP_CLOSE], ids=lambda each: each.name)
    async def test_cut_vm_list_is_an_outage(self, framing: Framing) -> None:
        """Guards against an empty list of VMs, by which all of them would be given up."""
        content = gzip.compress(VMS) if framing in (GZIP, GZIP_CLOSE) else VMS
        async with open_cut_server() as server:
            server.earlier_response = LENGTH.respond(VMS, JSON).replace(
                b"\r\n", b"\r\nETag: 1\r\n", 1
            )
            for response in (framing.respond(content, JSON), b"HTTP/1.1 304 Not Modified\r\n\r\n"):
                vm_list = HttpVmList(VmListSettings(server.address))
                for cut_at in server.cuts(response):
                    assert await vm_list.list_vms() == [VM]
                    with pytest.raises(PlatformUnavailable):
                        await vm_list.list_vms()
                        raise AssertionError(response[:cut_at])
                server.cut_at, server.is_reset = None, False
                assert await vm_list.list_vms() == await vm_list.list_vms() == [VM]
                await vm_list.aclose()
            assert server.requests == server.connections * 2

    @pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
    async def test_cut_wait_is_an_outage(self, framing: Framing) -> None:
        """Guards against a load without its delay."""
        async with open_cut_server() as server:
            store = HttpWeightStore(server.address, time_limit_s=2.0)
            for cut_at in server.cuts(framing.respond(b'{"wait_s": 12.5}', JSON)):
                with pytest.raises(PlatformUnavailable):
                    await store.reserve_load("m", "1")
                    raise AssertionError(server.response[:cut_at])
            server.cut_at, server.is_reset = None, False
            assert await store.reserve_load("m", "1") == 12.5
            await store.aclose()
