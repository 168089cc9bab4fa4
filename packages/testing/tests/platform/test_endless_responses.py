"""Backend servers that send bytes without end in their responses to requests."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.attempt import TIMEOUT_DETAIL
from sassafrastally.proxy.input_limits import InputPlace
from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.endless_bytes import (
    STREAM_PLACES,
    EndlessBytes,
    EndlessPace,
    EndlessPlace,
)
from sassafrastally.stand_ins.platform_fleet import attempt_failure_causes

PROMPT = "1000,340"
CALL_TIME_S = 6.0
"""Longest time until a caller is answered; the stand-in of a caller allows 4 s."""

EXCEEDED = {
    EndlessPlace.HEADER_LINE: InputPlace.HEADER,
    EndlessPlace.HEADER_FIELDS: InputPlace.HEADER,
    EndlessPlace.INTERIM_RESPONSES: InputPlace.INTERIM,
    EndlessPlace.EVENT: InputPlace.EVENT,
    EndlessPlace.COMMENTS: InputPlace.BETWEEN_EVENTS,
    EndlessPlace.REPEATED_EVENTS: InputPlace.BETWEEN_EVENTS,
    EndlessPlace.BODY: InputPlace.BODY,
    EndlessPlace.TINY_CHUNKS: InputPlace.SMALL_CHUNKS,
    EndlessPlace.REJECTION_BODY: InputPlace.BODY,
    EndlessPlace.FAILURE_BODY: InputPlace.BODY,
}
"""Bound that each place exceeds when the bytes come fast."""


@pytest.fixture
def seed():
    """Seed of the network and of the order of tasks."""
    return 1


def fields_of(fleet, name: str) -> list[dict]:
    """Return the fields of the log events of the first entry with a name."""
    records = fleet.kernels[0].events.records()
    return [record["fields"] for record in records if record["name"] == name]


def held_bytes(fleet) -> int:
    """Return the bytes of unfinished input that the first entry holds."""
    path = fleet.kernels[0].get("path", RequestPath)
    return path.services.attempt_sender.input_budget.held_bytes


async def add_servers(fleet) -> None:
    """Add an entry, two engines and two plain servers."""
    for number in (1, 2):
        await fleet.add_replica(f"engine-{number}")
        await fleet.add_replica(f"desk-{number}", "desk")
    await fleet.add_entry()


def count_failures(fleet, monkeypatch) -> list[str]:
    """Return a list of the servers whose failures are counted from now on."""
    failed = []
    monitor = fleet.kernels[0].get("path", RequestPath).services.fleet_view.failures

    def record(server, *, is_failure: bool) -> None:
        if is_failure:
            failed.append(server.server_id)

    monkeypatch.setattr(monitor, "record", record)
    return failed


def servers_called(fleet) -> list[str]:
    """Return the servers that got requests."""
    return [name for name, replica in fleet.replicas.items() if replica.received_requests]


async def call_both(fleet, place: EndlessPlace, calls: int) -> None:
    """Check that all callers are answered, and that the entry holds nothing afterwards."""
    for _ in range(calls):
        with trio.fail_after(CALL_TIME_S):
            answer = await fleet.call("/note/x", prompt=PROMPT)
        assert (answer.status, answer.is_whole) == (200, True)
        if place not in STREAM_PLACES:
            with trio.fail_after(CALL_TIME_S):
                assert (await fleet.call("/look/x")).status == 200
    assert held_bytes(fleet) == 0


class TestFastBytes:
    """Bytes that come as fast as they are read, on real sockets."""

    @pytest.mark.parametrize("place", EndlessPlace)
    async def test_callers_are_answered_by_the_other_server(self, small_fleet, place):
        """Guards against a server whose response never ends and that callers wait for, against the
        memory that an entry would hold for it, and against an entry that does nothing else."""
        for name in ("engine-1", "desk-1"):
            small_fleet.replicas[name].endless = EndlessBytes(place, EndlessPace.FAST)
        await call_both(small_fleet, place, 4)
        logged = fields_of(small_fleet, "ResponseTooLong")
        assert len({(one["server_id"], one["place"]) for one in logged}) == len(logged)
        if place in EXCEEDED:
            assert EXCEEDED[place].value in {one["place"] for one in logged}
        assert TIMEOUT_DETAIL not in attempt_failure_causes(small_fleet.kernels[0])

    @pytest.mark.parametrize("events", [1, 2, 3])
    async def test_caller_gets_the_events_of_its_own_response(self, small_fleet, events):
        """Guards against a server that repeats an event which its response doesn't have: an entry
        can't tell it from a new one, so that a whole response would have too many."""
        endless = EndlessBytes(EndlessPlace.REPEATED_EVENTS, EndlessPace.FAST)
        small_fleet.replicas["engine-1"].endless = endless
        for _ in range(4):
            with trio.fail_after(CALL_TIME_S):
                answer = await small_fleet.call("/note/x", prompt=f"1000,{34 * events}")
            assert (answer.status, answer.is_whole) == (200, True)
            lines = answer.body.decode().splitlines()
            ids = [int(line[3:]) for line in lines if line.startswith("id:")]
            assert ids == list(range(events))
        assert small_fleet.replicas["engine-1"].received_requests

    async def test_request_that_may_have_run_is_answered_with_502(self, small_fleet):
        """Guards against running a request twice because its response never ends."""
        for name in ("desk-1", "desk-2"):
            small_fleet.replicas[name].endless = EndlessBytes(EndlessPlace.BODY, EndlessPace.FAST)
        with trio.fail_after(CALL_TIME_S):
            assert (await small_fleet.call("/book/x")).status == 502
        assert len(small_fleet.received_requests()) == 1

    @pytest.mark.parametrize("pace", EndlessPace)
    async def test_rejected_request_is_refused_as_not_run(self, small_fleet, pace):
        """Guards against 502, or a late answer, for a request whose server has said that it didn't
        run it."""
        for name in ("desk-1", "desk-2"):
            small_fleet.replicas[name].endless = EndlessBytes(EndlessPlace.REJECTION_BODY, pace)
        with trio.fail_after(1.0):
            answer = await small_fleet.call("/book/x")
        assert answer.status == 503
        assert b"turned-away" in answer.body


class TestSlowBytes:
    """Bytes that come in small pieces, 20 times a second, on the mock clock."""

    @pytest.mark.parametrize("place", EndlessPlace)
    async def test_callers_are_answered_by_the_other_server(
        self, autojump_clock, seeded_fleet, place
    ):
        """Guards against time limits that bytes without an event or an end extend."""
        await add_servers(seeded_fleet)
        for name in ("engine-1", "desk-1"):
            seeded_fleet.replicas[name].endless = EndlessBytes(place, EndlessPace.SLOW)
        await call_both(seeded_fleet, place, 2)

    @pytest.mark.parametrize(
        "place",
        [EndlessPlace.HEADER_LINE, EndlessPlace.EVENT, EndlessPlace.COMMENTS, EndlessPlace.BODY],
    )
    async def test_is_not_taken_for_silence(self, autojump_clock, seeded_fleet, place):
        """Guards against leaving a server in use because its reports are sound: a server that sends
        part of a response without end isn't silent."""
        await add_servers(seeded_fleet)
        endless = EndlessBytes(place, EndlessPace.SLOW)
        for name in ("engine-1", "engine-2"):
            seeded_fleet.replicas[name].endless = endless
        await seeded_fleet.call("/note/x", prompt=PROMPT)
        causes = attempt_failure_causes(seeded_fleet.kernels[0])
        assert causes
        assert TIMEOUT_DETAIL not in causes

    @pytest.mark.parametrize(
        ("path", "place"),
        [
            ("/book/x", EndlessPlace.BODY),
            ("/note/x", EndlessPlace.EVENT),
            ("/note/x", EndlessPlace.COMMENTS),
        ],
    )
    async def test_of_a_last_attempt_is_a_failure(
        self, autojump_clock, seeded_fleet, monkeypatch, path, place
    ):
        """Guards against a server that stays in use because nobody can take its requests over."""
        await add_servers(seeded_fleet)
        failed = count_failures(seeded_fleet, monkeypatch)
        for replica in seeded_fleet.replicas.values():
            replica.endless = EndlessBytes(place, EndlessPace.SLOW)
        if path == "/book/x":
            await seeded_fleet.call(path)
        else:
            await seeded_fleet.call(path, prompt=PROMPT)
        assert sorted(failed) == sorted(servers_called(seeded_fleet))

    async def test_server_that_hasnt_answered_in_time_does_not_fail(
        self, autojump_clock, seeded_fleet, monkeypatch
    ):
        """Guards against counting a slow server as one whose response has no end."""
        await add_servers(seeded_fleet)
        failed = count_failures(seeded_fleet, monkeypatch)
        for name in ("desk-1", "desk-2"):
            seeded_fleet.replicas[name].work_s = 20.0
        await seeded_fleet.call("/book/x")
        assert len(servers_called(seeded_fleet)) == 1
        assert failed == []

    async def test_silence_inside_an_event_is_silence(self, autojump_clock, seeded_fleet):
        """Guards against counting a sound server that falls silent as one that fails."""
        await add_servers(seeded_fleet)
        for name in ("engine-1", "engine-2"):
            replica = seeded_fleet.replicas[name]
            replica.breaks_by, replica.breaks_after_events = ConnectionEnd.SILENCE, 2
        await seeded_fleet.call("/note/x", prompt=PROMPT)
        assert attempt_failure_causes(seeded_fleet.kernels[0])[0] == TIMEOUT_DETAIL
