"""Replies of the KV service that are ready when their time limit passes late."""

from __future__ import annotations

import os

import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.core.kv import MaybeApplied
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
