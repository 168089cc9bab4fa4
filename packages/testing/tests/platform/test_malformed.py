"""Callers' bytes that are no proper request: a clear error, and nothing is passed on."""

from __future__ import annotations

import json

import h11
import pytest
import trio
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.model import EngineReport
from sassafrastally.proxy.peer_messages import decode_hello
from sassafrastally.stand_ins.documents import HOST_NAME, make_configuration

HEAD = f"POST /look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAuthorization: Bearer key-of-ana\r\n"


async def send_raw(fleet, data: bytes) -> bytes:
    """Send bytes and return what comes until the connection ends or pauses."""
    connection = await fleet.connect()
    received = b""
    await connection.send_bytes(data)
    with trio.move_on_after(1.0):
        while chunk := await connection.stream.receive_some(65_536):
            received += chunk
    await connection.close()
    return received


def status_of(received: bytes) -> int:
    """Return the status of an answer's first line."""
    return int(received.split(b" ", 2)[1])


class TestBytes:
    """Bytes at the parser's boundary."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (HEAD + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
            (HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400),
            (HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
            (HEAD + "Bad\x01Name: 1\r\n\r\n", 400),
            (HEAD + "Host: other\r\n\r\n", 400),
            (HEAD + "Token-Counts: many\r\n\r\n", 400),
            (HEAD + f"X: {'a' * 5000}\r\n\r\n", 431),
            (HEAD + "Content-Length: 200000\r\n\r\n", 413),
            ("\x00\x01\x02\r\n\r\n", 400),
        ],
    )
    async def test_is_answered_and_not_passed_on(self, served, data, status):
        received = await send_raw(served, data.encode("latin-1"))
        assert status_of(received) == status
        assert not any(replica.seen for replica in served.replicas.values())

    async def test_slow_header_is_given_up(self, served):
        received = await send_raw(served, b"POST /look/x HTTP/1.1\r\nHost:")
        assert status_of(received) == 408

    async def test_smuggled_request_is_never_run(self, served):
        """A body that looks like a request follows the one that a length covers. If lengths were
        read differently on the two sides, a server would run it for another customer."""
        inner = f"POST /book/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: evil\r\n\r\n"
        head = HEAD + f"Attempt-Id: good\r\nContent-Length: {len(inner)}\r\n\r\n"
        received = await send_raw(served, (head + inner).encode())
        assert status_of(received) == 200
        assert [run for replica in served.replicas.values() for run in replica.runs] == ["good"]

    async def test_entry_lives_after_all_of_it(self, served):
        for data in (b"\xff" * 100, b"GET", b"\r\n\r\n", HEAD.encode() * 3):
            await send_raw(served, data)
        assert (await served.call("/look/x")).status == 200


class TestHeaderFuzz:
    """Header fields of any content."""

    @settings(max_examples=200, suppress_health_check=[HealthCheck.too_slow], deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [b"deadline-ms", b"token-counts", b"last-event-id", b"authorization", b"host"]
                ),
                st.binary(max_size=30),
            )
        )
    )
    def test_facts_or_a_typed_error(self, fields):
        try:
            facts = PlatformDialect().read_request(fields)
        except DocumentInvalid:
            return
        assert facts.time_left_s is None or facts.time_left_s >= 0

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    def test_documents_of_any_content_give_a_typed_error(self, value):
        dialect = PlatformDialect()
        for decode in (dialect.decode_configuration, lambda raw: dialect.decode_server("k", raw)):
            with pytest.raises(DocumentInvalid):
                decode(value)

    def test_answer_with_two_lengths_is_no_answer(self):
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        connection.send(h11.EndOfMessage())
        connection.receive_data(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"
        )
        with pytest.raises(h11.RemoteProtocolError):
            connection.next_event()


GOOD_ENTRY = {
    "service": "engines",
    "address": "10.0.0.7:8080",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seqNo": 3,
    "born": 1_790_000_000_000,
}

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=12),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=8,
)


class TestForeignDocuments:
    """Entries, configurations and datagrams that somebody else wrote."""

    def test_entry_as_servers_write_it_names_one(self):
        server = PlatformDialect().decode_server("servers/i-1", json.dumps(GOOD_ENTRY).encode())
        assert server.born_ms == GOOD_ENTRY["born"]
        assert str(server.address) == GOOD_ENTRY["address"]

    @pytest.mark.parametrize("name", [name for name in GOOD_ENTRY if name != "born"])
    def test_entry_without_a_field_names_no_server(self, name):
        fields = {key: value for key, value in GOOD_ENTRY.items() if key != name}
        with pytest.raises(DocumentInvalid):
            PlatformDialect().decode_server("servers/i-1", json.dumps(fields).encode())

    @pytest.mark.parametrize(
        "change",
        [
            {"address": 8080},
            {"address": "10.0.0.7"},
            {"address": "host:80"},
            {"address": "10.0.0.7:99999999"},
            {"state": "paused"},
            {"state": None},
            {"slots": "8"},
            {"slots": True},
            {"slots": 0},
            {"born": 1.5},
            {"born": "1790000000000"},
            {"born": None},
            {"service": ["engines"]},
            {"seqNo": "3"},
        ],
    )
    def test_entry_with_a_foreign_field_names_no_server(self, change):
        fields = json.dumps({**GOOD_ENTRY, **change}).encode()
        with pytest.raises(DocumentInvalid):
            PlatformDialect().decode_server("servers/i-1", fields)

    @pytest.mark.parametrize("server_id", ["", "a/b", "i-1\r\nTenant: x", "x" * 200])
    def test_key_that_is_no_id_names_no_server(self, server_id):
        """The id becomes a header field of requests; a line break in it would add fields."""
        with pytest.raises(DocumentInvalid):
            PlatformDialect().decode_server(f"servers/{server_id}", json.dumps(GOOD_ENTRY).encode())

    @pytest.mark.parametrize("value", [b"[" * 50_000, b"[" * 900_000, b'"' + b"a" * 900_000 + b'"'])
    def test_huge_or_deep_document_is_a_typed_error(self, value):
        dialect = PlatformDialect()
        for decode in (dialect.decode_configuration, lambda raw: dialect.decode_server("k", raw)):
            with pytest.raises(DocumentInvalid):
                decode(value)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(GOOD_ENTRY)), ANY_JSON)
    def test_entry_with_any_value_is_a_server_or_a_typed_error(self, name, value):
        fields = json.dumps({**GOOD_ENTRY, name: value}).encode()
        try:
            server = PlatformDialect().decode_server("servers/i-1", fields)
        except DocumentInvalid:
            return
        assert server.slots >= 1
        assert 0 < server.address.port < 65536

    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_configuration_with_any_value_is_one_or_a_typed_error(self, data):
        document = make_configuration(1)
        part = data.draw(st.sampled_from([document, document["routes"][0], document["limits"]]))
        part[data.draw(st.sampled_from(sorted(part)))] = data.draw(ANY_JSON)
        try:
            PlatformDialect().decode_configuration(json.dumps(document).encode())
        except DocumentInvalid:
            return

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=400))
    def test_datagram_of_any_bytes_is_a_message_or_a_typed_error(self, data):
        try:
            decode_hello(data)
        except DocumentInvalid:
            return

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(["pace", "running", "queued", "born"]), ANY_JSON)
    def test_report_with_any_value_is_one_or_a_typed_error(self, name, value):
        body = json.dumps({"pace": 1.0, "running": 2, "queued": 0, name: value}).encode()
        try:
            report = PlatformDialect().read_report(200, body)
        except DocumentInvalid:
            return
        assert not report.pace < 1.0

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    @example(b"{}")
    @example(b"[]")
    def test_report_of_any_bytes_is_a_typed_error_unless_an_object(self, data):
        """Each field may be missing, so that an object without any is the report of an engine that
        works by its figures. Whatever else isn't an object is none."""
        try:
            is_object = isinstance(json.loads(data), dict)
        except ValueError:
            is_object = False
        if not is_object:
            with pytest.raises(DocumentInvalid):
                PlatformDialect().read_report(200, data)
        elif data.strip() == b"{}":
            assert PlatformDialect().read_report(200, data) == EngineReport(1.0, None)
