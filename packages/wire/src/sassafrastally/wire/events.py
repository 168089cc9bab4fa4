"""Events and metrics of links."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event, gauge

LINKS_UP = gauge("sassafrastally.peer.links", "{link}", "Links to peers that stand.")


@event(2001)
class PeersListening(NamedTuple):
    """The process accepts connections from peers."""

    address: str


@event(2002)
class LinkUp(NamedTuple):
    """A link is up: both ends are authenticated."""

    peer_vm: str
    peer_incarnation: str
    direction: str
    """``dialled`` or ``accepted``."""


@event(2003)
class LinkDown(NamedTuple):
    """A link is down."""

    peer_vm: str
    peer_incarnation: str
    reason: str


@event(2004, "warning")
class HandshakeRefused(NamedTuple):
    """The handshake of a connection failed."""

    direction: str
    """``dialled`` or ``accepted``."""
    peer_vm: str
    """VM that was dialled; empty for an accepted connection, whose peer isn't authenticated."""
    reason: str
    """Reason of the last one."""
    occasions: int = 1
    """How often since the last such line for the same direction and VM."""


@event(2005, "warning")
class StreamFailed(NamedTuple):
    """A stream was closed with an error code."""

    peer_vm: str
    code: int
    reason: str


@event(2006, "warning")
class NoticeDropped(NamedTuple):
    """A peer sends notices faster than they are handled, and the oldest one was dropped."""

    peer_vm: str
    notice: str


@event(2007, "warning")
class PeerHandlerFailed(NamedTuple):
    """A handler of notices or new links raised an error."""

    peer_vm: str
    code: int
    reason: str


@event(2008, "warning")
class HandshakesTurnedAway(NamedTuple):
    """Connections of peers were closed unread, before a handshake."""

    reason: str
    connections: int
    """Their number since the last such line."""


@event(2009, "warning")
class PeersUnaccepted(NamedTuple):
    """Connections of peers wait to be accepted: the process or system lacks resources for them."""

    cause: str
    occasions: int
    """How often since the last such line."""
