"""What has arrived on a connection and hasn't been read."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.core import UnreadInput, unread_input

WAIT_S = 0.1


@pytest.fixture
async def connection():
    """Both ends of a connection of the operating system."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with listener:
        caller = await trio.open_tcp_stream(*listener.socket.getsockname())
        async with caller, await listener.accept() as accepted:
            yield caller, accepted


class TestUnreadInput:
    """A connection that is looked at without being read."""

    async def test_nothing_has_arrived(self, connection):
        """Guards against taking the age of the connection for that of its input."""
        _, accepted = connection
        await trio.sleep(WAIT_S)
        assert unread_input(accepted) == UnreadInput(0, None)

    async def test_age_counts_from_the_last_byte(self, connection):
        """Guards against an age from the connection or the first byte on: a request is waiting only
        once it has arrived."""
        caller, accepted = connection
        await caller.send_all(b"POST")
        await trio.sleep(WAIT_S)
        found = unread_input(accepted)
        assert found.size_bytes == 4
        assert found.age_s is not None
        assert found.age_s >= WAIT_S * 0.9
        await caller.send_all(b" /x")
        later = unread_input(accepted)
        assert later.size_bytes == 7
        assert later.age_s is not None
        assert later.age_s < found.age_s
        assert await accepted.receive_some(100) == b"POST /x"

    async def test_end_of_input_is_no_input(self, connection):
        """Guards against a refusal that is sent to a caller who has left."""
        caller, accepted = connection
        await caller.aclose()
        await trio.sleep(0.01)
        assert unread_input(accepted) == UnreadInput(0, None)
