"""Servers that break off their streams, and the trouble of a soak that lets them."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest
import trio

from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.http_stream import connect
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.testing.soak import breaking
from sassafrastally.testing.soak.troubles import NoServerFree
from sassafrastally.testing.virtual_network import VirtualNetwork

EVENTS = 6


@pytest.fixture
async def engine(autojump_clock):
    """An engine on a network and a clock that a busy machine doesn't delay."""
    trio.socket.set_custom_socket_factory(VirtualNetwork(Random(1)))
    async with platform_fleet() as fleet:
        yield await fleet.add_replica("engine-1")


class TestStreams:
    """Streams whose server is to break off otherwise while they are sent."""

    async def test_end_as_they_were_to_when_they_began(self, engine):
        """Guards against a body without framing that a close ends behind an event, as if whole."""
        engine.framing = BodyFraming.CLOSE
        stream = await connect(engine.address, 1.0)
        fields = request_fields({"Content-Length": "0"}, f"1000,{34 * EVENTS}")
        lines = ["POST /note/x HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields), "", ""]
        await stream.send_all("\r\n".join(lines).encode())
        received = b""
        while data := await stream.receive_some():
            received += data
            engine.breaks_by, engine.breaks_inside_event = ConnectionEnd.CLOSE, False
            engine.breaks_after_events = 3
        assert received.endswith(b"id: 3\nda")


class TestTrouble:
    """Servers of which responses are broken off."""

    def make_fleet(self, servers: int) -> SimpleNamespace:
        """Return a fleet of servers that aren't in trouble."""
        proxy = SimpleNamespace(cut_head=None)
        ones = [SimpleNamespace(is_breaking_off=False, proxy=proxy) for _ in range(servers)]
        return SimpleNamespace(random=Random(1), servers=ones)

    def test_has_a_server_for_itself(self):
        """Guards against two troubles at a server, whose mixture ends a part as if whole."""
        fleet = self.make_fleet(2)
        with breaking.breaking_server(fleet) as first, breaking.breaking_server(fleet) as second:
            assert first is not second
            with pytest.raises(NoServerFree), breaking.breaking_server(fleet):
                pass
        with breaking.breaking_server(fleet) as server:
            assert server in fleet.servers

    def test_leaves_servers_whose_heads_are_cut(self):
        """Guards against a trouble whose framing another one changes."""
        fleet = self.make_fleet(1)
        fleet.servers[0].proxy.cut_head = object()
        with pytest.raises(NoServerFree), breaking.breaking_server(fleet):
            pass
