"""Patterns with which h11 matches header lines and chunk sizes."""

from __future__ import annotations

import re
import signal
import subprocess
import sys
from contextlib import contextmanager

import h11
import pytest
from h11 import _abnf
from hypothesis import given
from hypothesis import strategies as st

from sassafrastally.core.http_patterns import CHUNK_HEADER, HEADER_FIELD, use_linear_patterns

BLANKS = b" " * 1_000_000
"""With them, a match in quadratic time takes hours."""

GIVE_UP_S = 30
"""CPU time after which a match counts as endless."""

LINES = st.lists(
    st.sampled_from([b"a", b"1", b":", b";", b" ", b"\t", b"\r", b"\n", b"\x00", b"\x0b", b"\xe9"]),
    max_size=12,
).map(b"".join)


@contextmanager
def given_up():
    """Raise `TimeoutError` from an endless match, which lets no other thread run."""

    def give_up(*_):
        raise TimeoutError

    previous = signal.signal(signal.SIGVTALRM, give_up)
    signal.setitimer(signal.ITIMER_VIRTUAL, GIVE_UP_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, previous)


class TestSameLanguage:
    """The patterns match what those of h11 match."""

    @given(LINES)
    def test_header_lines(self, line):
        """Guards against accepting or splitting a header line otherwise than h11."""
        line = b"a:" + line
        expected = re.compile(_abnf.header_field.encode()).fullmatch(line)
        found = HEADER_FIELD.fullmatch(line)
        assert (found and found.groupdict()) == (expected and expected.groupdict())

    @given(LINES)
    def test_chunk_sizes(self, line):
        """Guards against reading a chunked body otherwise than h11."""
        line = b"1" + line + b"\r\n"
        expected = re.compile(_abnf.chunk_header.encode()).fullmatch(line)
        found = CHUNK_HEADER.fullmatch(line)
        assert (found and found.groupdict()) == (expected and expected.groupdict())


class TestLinearTime:
    """Lines on which the patterns of h11 take hours."""

    def setup_method(self):
        use_linear_patterns()

    def test_of_blanks_in_a_header(self):
        """Guards against a header line of one connection that holds the process."""
        connection = h11.Connection(h11.SERVER)
        head = b"GET / HTTP/1.1\r\nhost: a\r\nb:" + BLANKS + b"\x00\r\n\r\n"
        connection.receive_data(head)
        with given_up(), pytest.raises(h11.RemoteProtocolError, match="illegal header line"):
            connection.next_event()

    def test_of_folded_lines_in_a_header(self):
        """Guards against the same with blanks that come from folded lines."""
        connection = h11.Connection(h11.SERVER)
        head = b"GET / HTTP/1.1\r\nhost: a\r\nb:" + b"\r\n " * 300_000 + b"\x00\r\n\r\n"
        connection.receive_data(head)
        with given_up(), pytest.raises(h11.RemoteProtocolError, match="illegal header line"):
            connection.next_event()

    def test_of_blanks_in_a_chunk_extension(self):
        """Guards against a chunk of one connection that holds the process."""
        connection = h11.Connection(h11.SERVER)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        connection.receive_data(head + b"1;" + BLANKS + b"\n\r\n")
        assert isinstance(connection.next_event(), h11.Request)
        with given_up(), pytest.raises(h11.RemoteProtocolError, match="illegal chunk header"):
            connection.next_event()


class TestUse:
    """Where the patterns are in use."""

    @pytest.mark.parametrize(
        "module",
        [
            "sassafrastally.proxy.http_stream",
            "sassafrastally.entry.asgi",
            "sassafrastally.sidecar.dialects",
            "sassafrastally.sidecar.plain_client",
            "sassafrastally.stores.gateway_client",
        ],
    )
    def test_all_that_read_from_outside_use_them(self, module):
        """Guards against a process that reads with the patterns of h11."""
        code = f"import {module}; from h11 import _readers; print(_readers.header_field_re.pattern)"
        printed = subprocess.check_output([sys.executable, "-c", code])
        assert printed.decode().strip() == str(HEADER_FIELD.pattern)

    def test_other_release_of_h11_is_noticed(self, monkeypatch):
        monkeypatch.setattr(_abnf, "header_field", "other")
        with pytest.raises(RuntimeError):
            use_linear_patterns()
