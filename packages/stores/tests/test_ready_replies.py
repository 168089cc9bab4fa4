"""Calls of the KV service whose time limit passes late: ready replies are read, waiting calls are
not sent."""

from __future__ import annotations

import os
from functools import partial

import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.core.kv import KvUnavailable, MaybeApplied
from sassafrastally.stores.gateway_client import GatewayClient
from sassafrastally.stores.settings import KvSettings

LIMIT_S = 2.0
LAGS_S = [0.0, 0.01, 0.05, 0.25, 3.0]
"""How late the process runs after the limit."""

DOCUMENT = b'{"result": {"TTL": "12"}, "padding": "%b"}' % (b"x" * 90_000)  # Two reads.


class TestGatewayClient:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_reply_is_read(self, mock_clock, nursery, lag_s):
        """Guards against a renewal or a write that counts as perhaps applied although its reply
        lies in the socket."""
        client = await _client_of(nursery, mock_clock, LIMIT_S + lag_s, len(DOCUMENT))
        reply = await client.post("/v3/lease/keepalive", {}, MaybeApplied, LIMIT_S)
        assert reply["result"] == {"TTL": "12"}
        await client.aclose()
        nursery.cancel_scope.cancel()

    async def test_limit_acts_on_a_reply_without_its_end(self, mock_clock, nursery):
        mock_clock.rate = 1.0
        client = await _client_of(nursery, mock_clock, LIMIT_S + 3.0, len(DOCUMENT) + 1)
        with pytest.raises(MaybeApplied):
            await client.post("/v3/lease/keepalive", {}, MaybeApplied, LIMIT_S)
        await client.aclose()
        nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_waiting_call_is_not_sent_past_its_limit(self, mock_clock, nursery, lag_s):
        """Guards against a call that gets another call's connection while its limit acts: it would
        be sent, and its write count as perhaps applied."""
        received = bytearray()
        client = await _one_connection_client(nursery, mock_clock, received, LIMIT_S + lag_s)
        post = partial(client.post, "/v3/kv/txn", lost_answer_error=MaybeApplied)
        nursery.start_soon(partial(post, body={"call": "first"}, time_limit_s=60.0))
        await _until(lambda: b"first" in received)
        with pytest.raises(KvUnavailable, match="not sent"):
            await post(body={"call": "second"}, time_limit_s=LIMIT_S)
        assert b"second" not in received
        await client.aclose()
        nursery.cancel_scope.cancel()


async def _until(is_so):
    while not is_so():
        await trio.lowlevel.checkpoint()


async def _one_connection_client(nursery, clock, received, pause_s):
    """Return the client, with one connection, of a service that replies to the first call after a
    pause of the process."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

    async def serve(stream):
        async for data in stream:
            received.extend(data)
            if received.endswith(b'"first"}'):
                await trio.testing.wait_all_tasks_blocked(cushion=0.02)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                clock.jump(pause_s)
                clock.rate = 0.1  # A limit that acts 0.1 s late leaves the call time to be sent.

    nursery.start_soon(trio.serve_listeners, serve, listeners)
    address = Address(*listeners[0].socket.getsockname())
    return GatewayClient(KvSettings(address, max_connections=1))


async def _client_of(nursery, clock, pause_s, announced_bytes):
    """Return the client of a service that replies once, after which the process pauses."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (announced_bytes, DOCUMENT)

    async def serve():
        stream = await listeners[0].accept()
        await stream.receive_some()
        await trio.testing.wait_all_tasks_blocked()
        # Sent without a checkpoint, so that nothing is read before the pause.
        assert os.write(stream.socket.fileno(), reply) == len(reply)
        clock.jump(pause_s)
        await trio.sleep_forever()

    nursery.start_soon(serve)
    return GatewayClient(KvSettings(Address(*listeners[0].socket.getsockname())))
