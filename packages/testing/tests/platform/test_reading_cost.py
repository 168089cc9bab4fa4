"""Cost of reading responses from backend servers, in operations."""

from __future__ import annotations

import h11
import pytest
import trio
import trio.testing

from sassafrastally.platform import configuration
from sassafrastally.platform.configuration import STEP_ITEMS
from sassafrastally.proxy.answer_events import body_interruption
from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.http_stream import RECEIVE_BYTES, HttpStream
from sassafrastally.proxy.input_limits import (
    MAX_HEAD_BYTES,
    MAX_READ_EVENTS,
)
from sassafrastally.stand_ins.documents import make_configuration, make_customers, make_route

LIMIT_S = 1.3
HEAD = b"HTTP/1.1 200 OK\r\nreplica-seal: s\r\n"
STREAM_HEAD = HEAD + b"content-type: text/event-stream\r\n\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 3


class StepCounter(trio.abc.Instrument):
    """Counts parsed events, at most between two steps of any task."""

    def __init__(self, http: h11.Connection) -> None:
        self.most_events = 0
        self._events = 0
        self._next_event = http.next_event
        http.next_event = self._count

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._events = 0

    def _count(self) -> object:
        self._events += 1
        self.most_events = max(self.most_events, self._events)
        return self._next_event()


class EndlessStream(trio.abc.ReceiveStream):
    """A stream that always has bytes."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._data

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


class TestCost:
    """Work between two moments at which other tasks can run, and per byte received."""

    @pytest.mark.parametrize(
        ("begin", "unit"),
        [
            (CHUNKED_HEAD, b"1\r\nx\r\n"),
            (HEAD + b"\r\n", b"x"),
            (b"", b"HTTP/1.1 103 -\r\n\r\n"),
        ],
    )
    async def test_other_tasks_run_while_one_read_is_parsed(self, begin, unit):
        """Guards against one connection that keeps an entry from everything else."""
        connection = HttpStream(EndlessStream(unit * (RECEIVE_BYTES // len(unit))), h11.CLIENT)
        connection.encode(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        connection.encode(h11.EndOfMessage())
        if begin:
            connection.http.receive_data(begin)
        counter = StepCounter(connection.http)
        trio.lowlevel.add_instrument(counter)
        try:
            for _ in range(5000):
                await connection.receive()
        except Exception as cause:
            assert type(cause).__name__ == "InputTooLong"
        trio.lowlevel.remove_instrument(counter)
        assert counter.most_events <= MAX_READ_EVENTS + 2

    async def test_check_of_a_stream_lets_other_tasks_run(self):
        """Guards against an entry that is busy with the end of one long plain response."""
        steps = 0

        async def count() -> None:
            nonlocal steps
            while True:
                await trio.lowlevel.checkpoint()
                steps += 1

        async with trio.open_nursery() as others:
            others.start_soon(count)
            assert not await body_interruption(b"x\n\n" * 30_000, BodyFraming.LENGTH)
            others.cancel_scope.cancel()
        assert steps >= 20

    @pytest.mark.parametrize("begin", [b"", CHUNKED_HEAD + b"2\r\n{}\r\n0\r\n"])
    async def test_copied_bytes_are_linear_in_a_section_that_drips(self, begin, monkeypatch):
        """Guards against copying all that is held at each byte that comes."""
        copied_bytes = 0
        trailing_data = h11.Connection.trailing_data.fget

        def count(http: h11.Connection) -> tuple[bytes, bool]:
            nonlocal copied_bytes
            data = trailing_data(http)
            copied_bytes += len(data[0])
            return data

        monkeypatch.setattr(h11.Connection, "trailing_data", property(count))
        connection = HttpStream(EndlessStream(b"x"), h11.CLIENT)
        connection.encode(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        connection.encode(h11.EndOfMessage())
        connection.http.receive_data(begin + b"x")
        with pytest.raises(Exception, match="over"):
            while True:
                await connection.receive()
        assert copied_bytes <= 4 * MAX_HEAD_BYTES


class DecodingCounter(trio.abc.Instrument):
    """Counts decoded routes and customers, at most between two steps of any task."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.most = 0
        self.total = 0
        self._count = 0
        for name in ("_route", "_customer"):
            monkeypatch.setattr(configuration, name, self._counted(getattr(configuration, name)))

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._count = 0

    def _counted(self, decode):
        def counted(body):
            self.total += 1
            self._count += 1
            self.most = max(self.most, self._count)
            return decode(body)

        return counted


class TestConfigurationCost:
    """Work between two moments at which other tasks can run, for large configurations."""

    async def test_other_tasks_run_while_a_configuration_is_decoded(
        self, autojump_clock, seeded_fleet, monkeypatch
    ):
        """Guards against time limits of all requests that pass while an entry with little CPU time
        decodes a configuration."""
        routes = [make_route(f"look-{number}", "idempotent", "desk") for number in range(1600)]
        names = [f"customer-{number}" for number in range(5000)]
        large = make_configuration(2, routes=routes, tenants=make_customers(names))
        kernels = [await seeded_fleet.add_entry(number) for number in (1, 2, 3, 4)]
        seeded_fleet.configure(large)
        counter = DecodingCounter(monkeypatch)
        trio.lowlevel.add_instrument(counter)
        await trio.sleep(5.0)
        trio.lowlevel.remove_instrument(counter)
        states = [kernel.get("beliefs", ClusterState) for kernel in kernels]
        assert [state.configuration_version for state in states] == [2] * 4
        assert counter.most <= STEP_ITEMS
        assert counter.total <= 4 * (len(routes) + len(names))
