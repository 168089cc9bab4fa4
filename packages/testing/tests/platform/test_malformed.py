"""Malformed input: it gets a clear error and never reaches a backend server."""

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
from sassafrastally.stand_ins.documents import HOST_NAME, REGISTRATION, make_configuration

HEAD = f"POST /look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAuthorization: Bearer key-of-ana\r\n"


async def send_raw(fleet, data: bytes) -> bytes:
    """Send bytes and return what arrives until the connection closes or 1 s passes."""
    connection = await fleet.connect()
    received = b""
    await connection.send_bytes(data)
    with trio.move_on_after(1.0):
        while chunk := await connection.stream.receive_some(65_536):
            received += chunk
    await connection.close()
    return received


def status_of(received: bytes) -> int:
    """Return the status code of a raw response."""
    return int(received.split(b" ", 2)[1])


class TestMalformedRequests:
    """Malformed and ambiguous requests on the wire."""

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
    async def test_is_rejected_and_not_forwarded(self, small_fleet, data, status):
        received = await send_raw(small_fleet, data.encode("latin-1"))
        assert status_of(received) == status
        assert not any(replica.seen for replica in small_fleet.replicas.values())

    @pytest.mark.parametrize(
        ("line", "status"),
        [
            ("Token-Counts: many", 400),
            ("Content-Length: 4\r\nTransfer-Encoding: chunked", 400),
            ("Content-Length: 200000", 413),
        ],
    )
    async def test_is_rejected_without_a_body_for_head(self, small_fleet, line, status):
        """Guards against a whole HEAD request whose connection is closed without an answer, since
        its refusal would have a body."""
        data = HEAD.replace("POST", "HEAD", 1) + line + "\r\n\r\n"
        received = await send_raw(small_fleet, data.encode())
        assert status_of(received) == status
        assert received.endswith(b"\r\n\r\n")

    async def test_slow_header_times_out(self, small_fleet):
        received = await send_raw(small_fleet, b"POST /look/x HTTP/1.1\r\nHost:")
        assert status_of(received) == 408

    async def test_smuggled_request_is_never_run(self, small_fleet):
        """Guards against request smuggling.

        The body is itself a valid request. If proxy and server disagreed on the body length, the
        server would run it for another customer.
        """
        inner = f"POST /book/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: evil\r\n\r\n"
        head = HEAD + f"Attempt-Id: good\r\nContent-Length: {len(inner)}\r\n\r\n"
        received = await send_raw(small_fleet, (head + inner).encode())
        assert status_of(received) == 200
        assert [run for replica in small_fleet.replicas.values() for run in replica.runs] == [
            "good"
        ]

    async def test_entry_survives_malformed_input(self, small_fleet):
        for data in (b"\xff" * 100, b"GET", b"\r\n\r\n", HEAD.encode() * 3):
            await send_raw(small_fleet, data)
        assert (await small_fleet.call("/look/x")).status == 200


class TestHeaderFuzz:
    """Arbitrary header fields and documents."""

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
    def test_fields_are_decoded_or_raise_a_typed_error(self, fields):
        try:
            facts = PlatformDialect().decode_request(fields)
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

    def test_response_with_two_lengths_is_rejected(self):
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        connection.send(h11.EndOfMessage())
        connection.receive_data(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"
        )
        with pytest.raises(h11.RemoteProtocolError):
            connection.next_event()


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=12),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=8,
)


class TestForeignDocuments:
    """Registrations, configurations, datagrams and reports from foreign writers."""

    def test_valid_registration_is_decoded(self):
        server = PlatformDialect().decode_server("servers/i-1", json.dumps(REGISTRATION).encode())
        assert server.born_ms == REGISTRATION["born"]
        assert str(server.address) == REGISTRATION["address"]

    @pytest.mark.parametrize("name", [name for name in REGISTRATION if name != "born"])
    def test_registration_with_a_missing_field_is_rejected(self, name):
        fields = {key: value for key, value in REGISTRATION.items() if key != name}
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
    def test_registration_with_an_invalid_field_is_rejected(self, change):
        fields = json.dumps({**REGISTRATION, **change}).encode()
        with pytest.raises(DocumentInvalid):
            PlatformDialect().decode_server("servers/i-1", fields)

    @pytest.mark.parametrize("server_id", ["", "a/b", "i-1\r\nTenant: x", "x" * 200])
    def test_registration_with_an_invalid_id_is_rejected(self, server_id):
        """Guards against header injection by a server id.

        The id is sent in a header field, and a line break in it would add fields.
        """
        with pytest.raises(DocumentInvalid):
            PlatformDialect().decode_server(
                f"servers/{server_id}", json.dumps(REGISTRATION).encode()
            )

    @pytest.mark.parametrize("value", [b"[" * 50_000, b"[" * 900_000, b'"' + b"a" * 900_000 + b'"'])
    def test_huge_or_deep_document_is_a_typed_error(self, value):
        dialect = PlatformDialect()
        for decode in (dialect.decode_configuration, lambda raw: dialect.decode_server("k", raw)):
            with pytest.raises(DocumentInvalid):
                decode(value)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(REGISTRATION)), ANY_JSON)
    def test_registration_with_any_value_is_a_server_or_a_typed_error(self, name, value):
        fields = json.dumps({**REGISTRATION, name: value}).encode()
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
            report = PlatformDialect().decode_report(200, body)
        except DocumentInvalid:
            return
        assert not report.pace < 1.0

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    @example(b"{}")
    @example(b"[]")
    def test_report_of_any_bytes_is_a_typed_error_unless_an_object(self, data):
        """Guards against accepting a report that isn't a JSON object.

        Every field is optional, so an empty object is valid: an engine at its configured speed.
        """
        try:
            is_object = isinstance(json.loads(data), dict)
        except ValueError:
            is_object = False
        if not is_object:
            with pytest.raises(DocumentInvalid):
                PlatformDialect().decode_report(200, data)
        elif data.strip() == b"{}":
            assert PlatformDialect().decode_report(200, data) == EngineReport(1.0, None)
