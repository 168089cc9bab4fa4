"""Typed messages of the peer protocol.

Each message is a `NamedTuple` whose fields match a struct of ``peer.capnp`` by name, in snake
case. `sassafrastally.wire.codec` encodes and decodes them.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from sassafrastally.wire.control_messages import (
    AdminCall,
    AdminReturn,
    ClaimReply,
    ClaimRequest,
    HeadNotice,
    LoadReport,
    PartsReply,
    PartsRequest,
    PlacementOrder,
    PlacementReply,
    SliceReply,
    SliceRequest,
)
from sassafrastally.wire.link_messages import (
    Credit,
    Hello,
    HelloAck,
    HelloConfirm,
    Ping,
    Pong,
    StreamClosed,
)
from sassafrastally.wire.request_messages import (
    Attach,
    Cancel,
    Chunk,
    Commit,
    End,
    Query,
    QueryReply,
    Refused,
    Reserve,
    Reserved,
)

__all__ = [
    "MAX_CHUNK_BYTES",
    "MAX_FRAME_BYTES",
    "SCHEMA_VERSION",
    "AdminCall",
    "AdminReturn",
    "Attach",
    "Cancel",
    "Chunk",
    "ClaimReply",
    "ClaimRequest",
    "Commit",
    "Credit",
    "End",
    "Frame",
    "HeadNotice",
    "Hello",
    "HelloAck",
    "HelloConfirm",
    "LoadReport",
    "Message",
    "PartsReply",
    "PartsRequest",
    "Ping",
    "PlacementOrder",
    "PlacementReply",
    "Pong",
    "Query",
    "QueryReply",
    "Refused",
    "Reserve",
    "Reserved",
    "SliceReply",
    "SliceRequest",
    "StreamClosed",
]

SCHEMA_VERSION = 1
"""Schema version; both ends of a link must have the same one."""

MAX_FRAME_BYTES = 256 * 1024
"""Maximum size of a frame that is sent or accepted."""

MAX_CHUNK_BYTES = 64 * 1024
"""Maximum size of the data in one chunk."""

Message: TypeAlias = (
    Hello
    | HelloAck
    | HelloConfirm
    | Credit
    | StreamClosed
    | Reserve
    | Reserved
    | Refused
    | Commit
    | Chunk
    | End
    | Cancel
    | Query
    | QueryReply
    | Attach
    | LoadReport
    | HeadNotice
    | PartsRequest
    | PartsReply
    | AdminCall
    | AdminReturn
    | Ping
    | Pong
    | ClaimRequest
    | ClaimReply
    | SliceRequest
    | SliceReply
    | PlacementOrder
    | PlacementReply
)
"""Any message of the peer protocol."""


class Frame(NamedTuple):
    """A message on a stream."""

    stream: int
    """Stream id on the link; stream 0 carries control messages and notices."""
    stamp: int
    """Hybrid logical clock timestamp of the sender."""
    message: Message
