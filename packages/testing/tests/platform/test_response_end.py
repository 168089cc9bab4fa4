"""How responses of backend servers end, and what the caller is told of it."""

from __future__ import annotations

import json
from functools import partial
from itertools import product

import pytest
import trio

from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import attempt_failure_causes

BREAKS = [ConnectionEnd.CLOSE, ConnectionEnd.RESET]
EVENTS = 10
PROMPT = f"1000,{34 * EVENTS}"


def event_ids(body: bytes) -> list[int]:
    """Return the ids of a stream's events, in order."""
    return [int(line[3:]) for line in body.decode().splitlines() if line.startswith("id:")]


async def read_to_end(fleet, prompt: str, on_event=lambda: None) -> tuple[bytes, bool]:
    """Return the bytes that a caller with HTTP/1.0 gets, and whether they end with a reset.

    `on_event` is called once, after the first event.
    """
    fields = request_fields({"Content-Length": "0"}, prompt)
    lines = ["POST /note/x HTTP/1.0", *(f"{name}: {fields[name]}" for name in fields), "", ""]
    connection = await fleet.connect()
    await connection.send_bytes("\r\n".join(lines).encode())
    received = b""
    try:
        while data := await connection.stream.receive_some():
            if b"data:" in data and b"data:" not in received:
                on_event()
            received += data
    except trio.BrokenResourceError:
        return received, True
    finally:
        await connection.close()
    return received, False


async def configure(fleet, *routes) -> None:
    """Put routes in force."""
    fleet.configure(make_configuration(2, routes=routes))
    await trio.sleep(0.1)


def break_streams(fleet, framing, how, names=("engine-1", "engine-2")) -> None:
    """Let engines break off each stream inside its fifth event."""
    for name in names:
        replica = fleet.replicas[name]
        replica.framing, replica.breaks_by, replica.breaks_after_events = framing, how, 4


def interruption_causes(fleet) -> list[str]:
    """Return why attempts of the first entry failed."""
    return attempt_failure_causes(fleet.kernels[0])


@pytest.mark.parametrize("framing", BodyFraming)
class TestWholeResponses:
    """Responses that aren't broken off."""

    async def test_stream_stays_whole(self, small_fleet, framing):
        for replica in small_fleet.replicas.values():
            replica.framing = framing
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert answer.is_whole
        assert event_ids(answer.body) == list(range(EVENTS))
        assert len(small_fleet.received_requests()) == 1

    async def test_plain_response_stays_whole(self, small_fleet, framing):
        for replica in small_fleet.replicas.values():
            replica.framing = framing
        answer = await small_fleet.call("/book/x")
        assert answer.is_whole
        assert json.loads(answer.body) == {"target": "/book/x", "length": 2}


@pytest.mark.parametrize(("framing", "how"), list(product(BodyFraming, BREAKS)))
class TestStreamsBrokenInsideAnEvent:
    """Streams that a backend server breaks off inside an event."""

    async def test_is_not_forwarded_as_complete(self, small_fleet, framing, how):
        """Guards against taking the end of a connection for the end of a stream's last event.

        Nothing can be resumed. The caller must see that the response is broken, and no part of the
        event that was broken off.
        """
        await configure(
            small_fleet, make_route("note", "streaming", "engines", gapGoalMs=250, resumable=False)
        )
        break_streams(small_fleet, framing, how)
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert event_ids(answer.body) == [0, 1, 2, 3]
        assert answer.body.endswith(b"\n\n")

    async def test_is_resumed_at_another_engine(self, small_fleet, framing, how):
        """Guards against ending a stream for which another engine still has the rest."""
        break_streams(small_fleet, framing, how, ["engine-1"])
        for _ in range(4):
            answer = await small_fleet.call("/note/x", prompt=PROMPT)
            assert answer.is_whole
            assert event_ids(answer.body) == list(range(EVENTS))

    async def test_is_not_complete_on_its_last_attempt(self, small_fleet, framing, how):
        """Guards against completing a response because no attempt is left."""
        break_streams(small_fleet, framing, how)
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert event_ids(answer.body) == [0, 1, 2, 3]


class TestStreamsBrokenElsewhere:
    """Streams that a backend server breaks off between two events or before the first one."""

    @pytest.mark.parametrize(("framing", "how"), list(product(BodyFraming, BREAKS)))
    async def test_between_events_is_resumed(self, small_fleet, framing, how):
        """Guards against losing the rest of a stream whose framing shows that it was broken off.

        Without length and chunks, a close after an event is the regular end of the body.
        """
        break_streams(small_fleet, framing, how, ["engine-1"])
        small_fleet.replicas["engine-1"].breaks_inside_event = False
        is_regular_end = (framing, how) == (BodyFraming.CLOSE, ConnectionEnd.CLOSE)
        ends = {4, EVENTS} if is_regular_end else {EVENTS}
        for _ in range(4):
            answer = await small_fleet.call("/note/x", prompt=PROMPT)
            assert answer.is_whole
            ids = event_ids(answer.body)
            assert len(ids) in ends
            assert ids == list(range(len(ids)))

    async def test_before_the_first_event_is_resumed(self, small_fleet):
        """Guards against an empty response from an engine that crashes after its header."""
        break_streams(small_fleet, BodyFraming.CLOSE, ConnectionEnd.CLOSE, ["engine-1"])
        small_fleet.replicas["engine-1"].breaks_inside_event = False
        small_fleet.replicas["engine-1"].breaks_after_events = 0
        for _ in range(4):
            answer = await small_fleet.call("/note/x", prompt=PROMPT)
            assert event_ids(answer.body) == list(range(EVENTS))

    @pytest.mark.parametrize("framing", BodyFraming)
    async def test_silence_is_resumed(self, small_fleet, framing):
        """Guards against waiting for the end of a connection that stays open without a word."""
        break_streams(small_fleet, framing, ConnectionEnd.SILENCE, ["engine-1"])
        for _ in range(2):
            answer = await small_fleet.call("/note/x", prompt=PROMPT)
            assert answer.is_whole
            assert event_ids(answer.body) == list(range(EVENTS))

    @pytest.mark.parametrize("framing", BodyFraming)
    async def test_resumed_stream_that_breaks_is_not_complete(self, small_fleet, framing):
        """Guards against completing a response that a second engine breaks off as well."""
        break_streams(small_fleet, framing, ConnectionEnd.CLOSE)
        for name, number in (("engine-1", 3), ("engine-2", 6)):
            small_fleet.replicas[name].breaks_after_events = number
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert event_ids(answer.body) in ([0, 1, 2], [0, 1, 2, 3, 4, 5])
        assert len(interruption_causes(small_fleet)) == 2

    @pytest.mark.parametrize("framing", BodyFraming)
    async def test_stream_without_ids_is_not_joined_from_two_runs(self, small_fleet, framing):
        """Guards against sending events again when nothing tells where to resume."""
        break_streams(small_fleet, framing, ConnectionEnd.RESET)
        for replica in small_fleet.replicas.values():
            replica.numbers_events = False
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert answer.body.count(b"data:") == 4
        assert len(small_fleet.received_requests()) == 1


@pytest.mark.parametrize("framing", BodyFraming)
class TestMissingBlankLine:
    """Bodies that end, by whatever framing, without a blank line."""

    async def test_event_stream_is_not_complete(self, small_fleet, framing):
        """Guards against a last event that the caller's parser must discard."""
        for replica in small_fleet.replicas.values():
            replica.framing, replica.omits_last_blank_line = framing, True
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert not answer.is_whole
        assert event_ids(answer.body) == list(range(EVENTS - 1))

    async def test_body_of_another_type_stays_whole(self, small_fleet, framing):
        """Guards against looking for events in a body that isn't an event stream."""
        for replica in small_fleet.replicas.values():
            replica.framing, replica.omits_last_blank_line = framing, True
            replica.content_type = "application/json"
        answer = await small_fleet.call("/note/x", prompt=PROMPT)
        assert answer.is_whole
        assert event_ids(answer.body) == list(range(EVENTS))


@pytest.mark.parametrize(("framing", "how"), list(product(BodyFraming, BREAKS)))
class TestPlainResponses:
    """Responses of plain services, which are read as a whole before they are forwarded."""

    async def test_broken_body_is_not_forwarded(self, small_fleet, framing, how):
        """Guards against a part of a body that is forwarded as the whole.

        Without length and chunks, a close is the regular end of the body.
        """
        desks = [small_fleet.replicas[name] for name in ("desk-1", "desk-2")]
        for desk in desks:
            desk.framing, desk.breaks_by, desk.breaks_after_bytes = framing, how, 5
        is_regular_end = (framing, how) == (BodyFraming.CLOSE, ConnectionEnd.CLOSE)
        answer = await small_fleet.call("/book/x")
        assert answer.status == (200 if is_regular_end else 502)
        assert answer.is_whole
        assert len(small_fleet.received_requests()) == 1

    async def test_broken_stream_is_not_forwarded(self, small_fleet, framing, how):
        """Guards against a stream that is read as a whole and ends inside an event."""
        desks = [small_fleet.replicas[name] for name in ("desk-1", "desk-2")]
        for desk in desks:
            desk.framing, desk.breaks_by, desk.breaks_after_bytes = framing, how, 20
            desk.sends_plain_streams = True
        assert (await small_fleet.call("/look/x")).status == 502
        desks[0].breaks_after_bytes = -1
        for _ in range(3):
            answer = await small_fleet.call("/look/x")
            assert answer.status == 200
            assert answer.body.endswith(b"\n\n")


class TestMissingBodies:
    """Responses without length, chunks and body, whose connection is closed."""

    async def test_of_plain_services_are_not_forwarded(self, small_fleet):
        """Guards against an empty success from a server that crashes after its header."""
        desks = [small_fleet.replicas[name] for name in ("desk-1", "desk-2")]
        for desk in desks:
            desk.framing, desk.breaks_after_bytes = BodyFraming.CLOSE, 0
        assert (await small_fleet.call("/book/x")).status == 502
        desks[0].breaks_after_bytes = -1
        for _ in range(3):
            answer = await small_fleet.call("/look/x")
            assert (answer.status, json.loads(answer.body)["target"]) == (200, "/look/x")

    async def test_of_engines_are_resumed_whatever_their_type(self, small_fleet):
        """Guards against an empty success on a streaming route whose type is no event stream."""
        break_streams(small_fleet, BodyFraming.CLOSE, ConnectionEnd.CLOSE, ["engine-1"])
        for replica in small_fleet.replicas.values():
            replica.content_type, replica.framing = "application/json", BodyFraming.CLOSE
        broken = small_fleet.replicas["engine-1"]
        broken.breaks_inside_event, broken.breaks_after_events = False, 0
        for _ in range(4):
            answer = await small_fleet.call("/note/x", prompt=PROMPT)
            assert event_ids(answer.body) == list(range(EVENTS))


class TestComments:
    """Comments in streams, which are forwarded and are no events."""

    async def test_comment_is_not_the_first_event(self, small_fleet):
        """Guards against measuring the time to a comment as the time to the first event."""
        for replica in small_fleet.replicas.values():
            replica.sends_comments = True
        answer = await small_fleet.call("/dossier/x", prompt="60000,340")
        assert answer.is_whole
        assert answer.body.startswith(b": ")
        (answered,) = [
            record["fields"]
            for record in small_fleet.kernels[0].events.records()
            if record["name"] == "RequestAnswered"
        ]
        assert answered["first_s"] > 0.2


class TestCallersWithoutChunks:
    """Streams to callers with HTTP/1.0, whose end only the connection shows."""

    async def test_whole_stream_ends_with_a_close(self, small_fleet):
        received, is_reset = await read_to_end(small_fleet, PROMPT)
        assert event_ids(received) == list(range(EVENTS))
        assert not is_reset

    @pytest.mark.parametrize(("framing", "how"), list(product(BodyFraming, BREAKS)))
    async def test_broken_stream_ends_with_a_reset(self, small_fleet, framing, how):
        """Guards against a stream that was broken off and looks complete to its caller."""
        break_streams(small_fleet, framing, how)
        received, is_reset = await read_to_end(small_fleet, PROMPT)
        assert event_ids(received) == [0, 1, 2, 3]
        assert is_reset

    async def test_stream_of_an_entry_that_is_killed_ends_with_a_reset(self, small_fleet):
        """Guards against an end that the operating system sends for a process that is gone."""
        for name in ("engine-1", "engine-2"):
            small_fleet.replicas[name].engine.pace = 5.0
        received, is_reset = await read_to_end(
            small_fleet, "1000,3400", on_event=partial(small_fleet.kill_entry, 1)
        )
        assert 0 < len(event_ids(received)) < 100
        assert is_reset


class TestHeadRequests:
    """Responses to HEAD requests, which end with their header."""

    async def test_stream_without_framing_has_no_body_to_miss(self, small_fleet):
        """Guards against looking for events where a response has none by its method."""
        for name in ("desk-1", "desk-2"):
            desk = small_fleet.replicas[name]
            desk.framing, desk.sends_plain_streams = BodyFraming.CLOSE, True
        assert (await small_fleet.call("/look/x", method="HEAD", body=b"")).status == 200

    @pytest.mark.parametrize(("path", "status"), [("/look/x", 200), ("/nowhere/x", 404)])
    async def test_header_is_the_whole_response(self, small_fleet, path, status):
        """Guards against a response with a body, which nobody expects, instead of its length."""
        connection = await small_fleet.connect()
        for _ in range(2):
            answer = await exchange_on(connection, "HEAD", path, request_fields(), b"")
            assert (answer.status, answer.body) == (status, b"")
            assert int(answer.headers["content-length"]) > 0
            connection.http.start_next_cycle()
        await connection.close()
