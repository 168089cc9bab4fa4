"""Messages by which a link is made, kept alive and paced."""

from __future__ import annotations

from typing import NamedTuple


class Hello(NamedTuple):
    """Opens a link: who dials."""

    schema_version: int = 0
    vm: str = ""
    role: str = ""
    data_centre: str = ""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    nonce: bytes = b""


class HelloAck(NamedTuple):
    """Answers `Hello`: who was dialled, and proof that it knows the link secret."""

    schema_version: int = 0
    vm: str = ""
    role: str = ""
    data_centre: str = ""
    incarnation: str = ""
    """Life of the process that the message speaks of."""
    nonce: bytes = b""
    proof: bytes = b""


class HelloConfirm(NamedTuple):
    """Ends the handshake with the dialler's proof."""

    proof: bytes = b""


class Credit(NamedTuple):
    """Allows the peer to send that many further bytes of chunk data on the stream."""

    size_bytes: int = 0


class StreamClosed(NamedTuple):
    """The sender has closed the stream; a code other than 0 says why."""

    code: int = 0
    """Code of the refusal or failure; empty when there is none."""
    reason: str = ""


class Ping(NamedTuple):
    """Asks for a sign of life."""

    nonce: int = 0


class Pong(NamedTuple):
    """Answers `Ping`."""

    nonce: int = 0
