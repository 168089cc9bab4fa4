"""Messages for link setup, keep-alive and flow control."""

from __future__ import annotations

from typing import NamedTuple


class Hello(NamedTuple):
    """Opens a link with the identity of the dialler."""

    schema_version: int = 0
    vm: str = ""
    role: str = ""
    data_centre: str = ""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    nonce: bytes = b""


class HelloAck(NamedTuple):
    """Response to `Hello` with the identity of the acceptor and its proof of the link secret."""

    schema_version: int = 0
    vm: str = ""
    role: str = ""
    data_centre: str = ""
    incarnation: str = ""
    """Incarnation of the process that the message refers to."""
    nonce: bytes = b""
    proof: bytes = b""


class HelloConfirm(NamedTuple):
    """Completes the handshake with the proof of the dialler."""

    proof: bytes = b""


class Credit(NamedTuple):
    """Grants the peer credit to send more chunk data on the stream."""

    size_bytes: int = 0


class StreamClosed(NamedTuple):
    """Closes the stream; a code other than 0 is an error."""

    code: int = 0
    """Code of the refusal or failure; 0 if there is none."""
    reason: str = ""


class Ping(NamedTuple):
    """Liveness probe."""

    nonce: int = 0


class Pong(NamedTuple):
    """Response to `Ping`."""

    nonce: int = 0
