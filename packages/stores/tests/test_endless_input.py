"""Services whose responses grow while they are read, and many of them at once."""

from __future__ import annotations

import gzip
import json
import tracemalloc
from contextlib import asynccontextmanager
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, cast

import httpx
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.stores import EtcdKv, KvSettings, KvUnavailable, PlatformUnavailable
from sassafrastally.stores.bounded_transport import (
    MAX_DECOMPRESSED_BYTES,
    MAX_READ_PIECES,
    MAX_RESPONSE_BYTES,
    BoundedTransport,
)
from sassafrastally.stores.settings import VmListSettings
from sassafrastally.stores.vm_list import HttpVmList
from sassafrastally.stores.watch import EtcdWatch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
MAX_BYTES = 100_000
BLANKS = gzip.compress(b" " * 16 * MAX_RESPONSE_BYTES)
"""64 MiB in 64 KB, as a response of the store or the VM list may be compressed."""


@asynccontextmanager
async def answering(answer: bytes) -> AsyncIterator[Address]:
    """Answer each connection with the same bytes and leave it open; yield the address."""

    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.receive_some()

    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
        [listener] = await nursery.start(serve)
        with trio.fail_after(30):
            yield Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.cancel_scope.cancel()


def compressed(content: bytes, coding: bytes = b"gzip") -> bytes:
    """Return a response with compressed content."""
    length = b"%d" % len(content)
    return (
        HEAD
        + b"Content-Encoding: "
        + coding
        + b"\r\nContent-Length: "
        + length
        + (b"\r\n\r\n" + content)
    )


class TestCompressedResponses:
    """Responses that grow by a thousand times when they are decompressed."""

    async def test_read_of_the_store_ends_at_the_bound(self) -> None:
        """Guards against a response of 64 KB that takes 64 MB, and one of 1 MB all memory."""
        async with answering(compressed(BLANKS)) as address:
            kv = EtcdKv(KvSettings(address)._replace(call_time_limit_s=20.0), Random(1))
            tracemalloc.start()
            try:
                with pytest.raises(KvUnavailable, match=f"over {MAX_RESPONSE_BYTES} bytes"):
                    await kv.get("a/x", purpose="claims")
                _, peak_bytes = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            await kv.aclose()
        assert peak_bytes < 3 * MAX_RESPONSE_BYTES

    async def test_vm_list_ends_at_the_bound(self) -> None:
        async with answering(compressed(BLANKS)) as address:
            vm_list = HttpVmList(VmListSettings(address)._replace(call_time_limit_s=20.0))
            with pytest.raises(PlatformUnavailable, match=f"over {MAX_RESPONSE_BYTES} bytes"):
                await vm_list.list_vms()
            await vm_list.aclose()

    async def test_other_tasks_run_while_it_is_decompressed(self) -> None:
        """Guards against a piece of 64 KB that is decompressed to 64 MB in one step."""
        pieces, most_between = 0, 0

        async def note_turns() -> None:
            nonlocal pieces, most_between
            while True:
                most_between = max(most_between, pieces)
                pieces = 0
                await trio.lowlevel.checkpoint()

        transport = BoundedTransport(64 * MAX_RESPONSE_BYTES, max_held_bytes=2**30)
        read_bytes = 0
        async with (
            answering(compressed(BLANKS)) as address,
            httpx.AsyncClient(transport=transport) as client,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(note_turns)
            async with client.stream("GET", f"http://{address}/") as response:
                async for piece in response.aiter_bytes():
                    pieces += 1
                    read_bytes += len(piece)
                    assert len(piece) <= MAX_DECOMPRESSED_BYTES
            nursery.cancel_scope.cancel()
        assert read_bytes == 16 * MAX_RESPONSE_BYTES
        assert most_between <= 2 * MAX_READ_PIECES

    @pytest.mark.parametrize(
        "answer",
        [
            compressed(gzip.compress(b"{}") + b"more"),
            compressed(gzip.compress(b"{}")[:-1]),
            compressed(b"{}"),
            compressed(b"{}", b"br"),
        ],
        ids=["goes on", "ends early", "not compressed", "other coding"],
    )
    async def test_malformed_one_is_an_unavailable_service(self, answer: bytes) -> None:
        """Guards against an error that callers of the store don't handle."""
        async with answering(answer) as address:
            kv = EtcdKv(KvSettings(address), Random(1))
            with pytest.raises(KvUnavailable):
                await kv.get("a/x", purpose="claims")
            await kv.aclose()

    async def test_sound_one_is_decompressed(self) -> None:
        content = json.dumps({"words": ["word"] * 100_000}).encode()
        transport = BoundedTransport()
        async with (
            answering(compressed(gzip.compress(content))) as address,
            httpx.AsyncClient(transport=transport) as client,
        ):
            response = await client.get(f"http://{address}/")
        assert response.content == content


class TestManyResponses:
    """Responses below their own bound that come on many connections at once."""

    async def test_largest_gives_way_and_small_ones_are_read(self) -> None:
        """Guards against a service that sends all its clients much and ends none: the bounds of
        all connections together exceed the memory."""
        transport = BoundedTransport(MAX_BYTES, max_held_bytes=3 * MAX_BYTES)
        outcomes: list[str] = []

        async def read(client: httpx.AsyncClient, address: Address) -> None:
            try:
                outcomes.append(str(len((await client.get(f"http://{address}/")).content)))
            except httpx.ReadError as failure:
                outcomes.append(str(failure))

        large = HEAD + b"Content-Length: 99999\r\n\r\n" + b" " * 80_000
        small = HEAD + b"Connection: close\r\nContent-Length: 5000\r\n\r\n" + b" " * 5000
        async with (
            answering(large) as flooding,
            answering(small) as sound,
            httpx.AsyncClient(transport=transport) as client,
            trio.open_nursery() as nursery,
        ):
            for _ in range(10):
                nursery.start_soon(read, client, flooding)
            while len(outcomes) < 7:
                await trio.sleep(0.01)
            assert outcomes == 7 * ["too many bytes of responses were held"]
            for _ in range(10):
                await read(client, sound)
            assert outcomes[7:] == 10 * ["5000"]
            nursery.cancel_scope.cancel()


class TestWatch:
    """A watch that gets very much at once."""

    @pytest.mark.parametrize("is_in_one_result", [True, False])
    async def test_other_tasks_run_between_changes(self, is_in_one_result: bool) -> None:
        """Guards against a step of seconds for the thousands of changes in one response."""
        item = {"kv": {"key": "YQ==", "mod_revision": "8"}}
        results: list[dict[str, Any]] = [{"created": True}]
        if is_in_one_result:
            results.append({"events": [item] * 1000})
        else:
            results += [{"events": []}] * 1000 + [{"events": [item]}] * 1000

        class Response:
            async def aiter_lines(self) -> AsyncIterator[str]:
                for result in results:
                    yield json.dumps({"result": result})
                await trio.sleep_forever()

            async def aclose(self) -> None:
                pass

        async def open_stream(_body: Mapping[str, Any]) -> httpx.Response:
            return cast("httpx.Response", Response())

        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        watch = EtcdWatch("a/", 1, open_stream, 10.0, lambda: None)
        await watch.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            for _ in range(1000):
                await anext(watch)
            nursery.cancel_scope.cancel()
        assert turns >= (1000 if is_in_one_result else 2000)
