"""Measure one link over loopback TCP between two processes.

Run as ``python -m sassafrastally.testing.measure_link``. The process starts a second one, which
serves; both report their processor time, so that the cost of either end is seen apart.
"""

from __future__ import annotations

import argparse
import logging
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import structlog
import trio

from sassafrastally.core import Address, Kernel, TcpNetwork
from sassafrastally.core.secret import Secret
from sassafrastally.wire import (
    AdminCall,
    AdminReturn,
    Chunk,
    End,
    Frame,
    PeerService,
    PeerSettings,
    Query,
    QueryReply,
    Reserve,
    decode_frame,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.wire import Link, Message, Stream

LOOPBACK = Address("127.0.0.1", 0)
SETTINGS = PeerSettings(LOOPBACK, Secret("a secret for measuring"), max_streams=1024)
REQUEST_ID = "0123456789abcdef" * 2
TOKEN = b" token"
SERVER_VM = "server"
CODEC_ROUNDS = 20_000
DIALS = 200


async def _answer(stream: Stream, message: Message) -> None:
    assert isinstance(message, Reserve)
    for number in range(message.max_output_tokens):
        await stream.send(Chunk(REQUEST_ID, 1, number, 1, TOKEN))
    await stream.send(End(REQUEST_ID, 1, chunks=message.max_output_tokens))


async def _reply(stream: Stream, message: Message) -> None:
    await stream.send(QueryReply(REQUEST_ID, 1, state="committed"))


async def _processor_time(stream: Stream, message: Message) -> None:
    await stream.send(AdminReturn(200, str(time.process_time()).encode()))


async def _serve() -> None:
    kernel = Kernel(SERVER_VM, "here")
    peers = kernel.add(PeerService(SETTINGS, TcpNetwork()))
    peers.on_stream(Reserve, _answer)
    peers.on_stream(Query, _reply)
    peers.on_stream(AdminCall, _processor_time)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        print(peers.bound_address.port, flush=True)
        # The parent closes the pipe when it ends, however it ends.
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


async def _read_answer(link: Link, tokens: int) -> None:
    async with link.open_stream() as stream:
        await stream.send(Reserve(REQUEST_ID, 1, max_output_tokens=tokens))
        while not isinstance(await stream.receive(), End):
            pass


async def _call_often(link: Link, calls: int) -> None:
    for _ in range(calls):
        await link.call(Query(REQUEST_ID, 1))


async def _server_time_s(link: Link) -> float:
    reply = await link.call(AdminCall("processor-time"))
    assert isinstance(reply, AdminReturn)
    return float(reply.body)


async def _measure(
    link: Link, what: str, task: Callable[[Link, int], Awaitable[None]], tasks: int, each: int
) -> None:
    server_s = await _server_time_s(link)
    own_s, wall_s = time.process_time(), time.perf_counter()
    async with trio.open_nursery() as nursery:
        for _ in range(tasks):
            nursery.start_soon(task, link, each)
    wall_s, own_s = time.perf_counter() - wall_s, time.process_time() - own_s
    server_s = await _server_time_s(link) - server_s
    count = tasks * each
    print(
        f"{what}: {count / wall_s:,.0f}/s; processor time {own_s / count * 1e6:.1f} us here, "
        f"{server_s / count * 1e6:.1f} us at the server ({tasks} streams)"
    )


async def _measure_dials(address: Address) -> None:
    began_s, wall_s = time.process_time(), time.perf_counter()
    for number in range(DIALS):
        kernel = Kernel(f"client-{number}", "here")
        peers = kernel.add(PeerService(SETTINGS, TcpNetwork()))
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.run)
            await (await peers.link_to(SERVER_VM, address)).call(Query(REQUEST_ID, 1))
            nursery.cancel_scope.cancel()
    own_us = (time.process_time() - began_s) / DIALS * 1e6
    wall_us = (time.perf_counter() - wall_s) / DIALS * 1e6
    print(f"a link for one call: {wall_us:,.0f} us, of it processor time here {own_us:,.0f} us")


def _measure_codec() -> None:
    frame = Frame(3, 1 << 60, Chunk(REQUEST_ID, 1, 77, 1, TOKEN))
    data = encode_frame(frame)
    began_s = time.process_time()
    for _ in range(CODEC_ROUNDS):
        encode_frame(frame)
    encoded_s = time.process_time()
    for _ in range(CODEC_ROUNDS):
        decode_frame(data)
    decoded_s = time.process_time()
    print(
        f"codec alone, one chunk of {len(data)} bytes: "
        f"encode {(encoded_s - began_s) / CODEC_ROUNDS * 1e6:.1f} us, "
        f"decode {(decoded_s - encoded_s) / CODEC_ROUNDS * 1e6:.1f} us"
    )


async def _drive(port: int, chunks: int) -> None:
    address = LOOPBACK._replace(port=port)
    kernel = Kernel("client", "here")
    peers = kernel.add(PeerService(SETTINGS, TcpNetwork()))
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        link = await peers.link_to(SERVER_VM, address)
        for streams in (1, 32, 256):
            await _measure(link, "chunks", _read_answer, streams, chunks // streams)
        for callers in (1, 64):
            await _measure(link, "calls", _call_often, callers, chunks // 10 // callers)
        await _measure_dials(address)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the measurement, or serve for one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="serve; used by the script itself")
    parser.add_argument("--chunks", type=int, default=100_000, help="chunks of each run")
    options = parser.parse_args()
    level = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=level)
    if options.serve:
        trio.run(_serve)
        return
    _measure_codec()
    command = [sys.executable, "-m", "sassafrastally.testing.measure_link", "--serve"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as server:
        assert server.stdout is not None
        trio.run(_drive, int(server.stdout.readline()), options.chunks)
        assert server.stdin is not None
        server.stdin.close()


if __name__ == "__main__":
    main()
