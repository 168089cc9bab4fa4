"""Mutual proof of the fleet's link secret before anything else passes a connection.

The dialler sends `Hello` with a nonce, the acceptor answers `HelloAck` with its own nonce and a
proof, and the dialler ends with `HelloConfirm`. A proof is an HMAC-SHA256 under the link secret
over both nonces, both identities and the direction, so that it stands for this one connection.
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, TypeVar

import trio

from sassafrastally.core import Incarnation
from sassafrastally.wire.codec import BadFrame
from sassafrastally.wire.framing import FrameReader, frame_bytes
from sassafrastally.wire.link import LinkCut, LinkRefused, PeerIdentity
from sassafrastally.wire.messages import (
    MAX_FRAME_BYTES,
    SCHEMA_VERSION,
    Frame,
    Hello,
    HelloAck,
    HelloConfirm,
    StreamClosed,
)

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core import HybridClock
    from sassafrastally.core.secret import Secret
    from sassafrastally.wire.messages import Message

NONCE_BYTES = 32
MAX_HANDSHAKE_FRAME_BYTES = 4096
"""Longest frame taken from a peer that has not yet proved itself."""

MAX_REASON_CHARS = 200
"""How much of an unproved peer's reason is repeated."""

_PROOF_CONTEXT = b"sassafrastally peer link 1"
_BY_DIALLER = b"dialler"
_BY_ACCEPTOR = b"acceptor"

M = TypeVar("M")


class Handshake:
    """Proves both ends of one connection to each other.

    Parameters
    ----------
    stream
        The new connection.
    me
        This process.
    secret
        The fleet's link secret.
    random
        Source of the nonce.
    hybrid
        Source of the frames' stamps.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        me: PeerIdentity,
        secret: Secret,
        random: Random,
        hybrid: HybridClock,
    ) -> None:
        self.reader = FrameReader(stream, MAX_HANDSHAKE_FRAME_BYTES)
        """Holds what the peer sent after the handshake; the link reads on from it."""
        self._stream = stream
        self._me = me
        self._key = secret.encode()
        self._nonce = random.getrandbits(NONCE_BYTES * 8).to_bytes(NONCE_BYTES, "big")
        self._hybrid = hybrid

    async def dial(self, vm: str) -> PeerIdentity:
        """Prove this end as the dialler and return who answered.

        Parameters
        ----------
        vm
            Name of the VM that is meant to answer.

        Raises
        ------
        LinkRefused
            When the peer has another schema, no valid proof or another name.
        """
        await self._send(Hello(SCHEMA_VERSION, *self._me, self._nonce))
        ack = await self._receive(HelloAck)
        peer = self._check_peer(ack)
        # A VM's address may have gone to another VM since the list was read. Its answer would be
        # taken for the first one's, so the link stands only with the VM that was meant.
        if peer.vm != vm:
            raise LinkRefused(f"{peer.vm} answered in place of {vm}")
        self._check_proof(ack.proof, self._proof(_BY_ACCEPTOR, ack.nonce, self._me, peer))
        await self._send(HelloConfirm(self._proof(_BY_DIALLER, ack.nonce, self._me, peer)))
        self.reader.max_frame_bytes = MAX_FRAME_BYTES
        return peer

    async def accept(self) -> PeerIdentity:
        """Prove this end as the acceptor and return who dialled.

        Raises
        ------
        LinkRefused
            When the peer has another schema or no valid proof; it is told the reason.
        """
        try:
            return await self._accept()
        except LinkRefused as refusal:
            await self._send(StreamClosed(LinkRefused.code, refusal.detail))
            raise

    async def _accept(self) -> PeerIdentity:
        hello = await self._receive(Hello)
        peer = self._check_peer(hello)
        proof = self._proof(_BY_ACCEPTOR, hello.nonce, peer, self._me)
        await self._send(HelloAck(SCHEMA_VERSION, *self._me, self._nonce, proof))
        confirm = await self._receive(HelloConfirm)
        self._check_proof(confirm.proof, self._proof(_BY_DIALLER, hello.nonce, peer, self._me))
        self.reader.max_frame_bytes = MAX_FRAME_BYTES
        return peer

    def _check_peer(self, hello: Hello | HelloAck) -> PeerIdentity:
        if hello.schema_version != SCHEMA_VERSION:
            raise LinkRefused(f"schema version {hello.schema_version}, not {SCHEMA_VERSION}")
        if len(hello.nonce) != NONCE_BYTES or hello.nonce == self._nonce:
            raise LinkRefused("the nonce has a wrong length or is this end's own")
        # Without the secret one could open a second connection to the dialler, send it its own
        # Hello there and hand the answer back on the first: the proof would be right. Such an
        # answer names the dialler itself, which no other process does.
        if hello.incarnation == self._me.incarnation:
            raise LinkRefused("the peer has this process's own identity")
        return PeerIdentity(hello.vm, hello.role, hello.data_centre, Incarnation(hello.incarnation))

    def _proof(
        self, direction: bytes, peer_nonce: bytes, dialler: PeerIdentity, acceptor: PeerIdentity
    ) -> bytes:
        is_dialler = dialler == self._me
        nonces = (self._nonce, peer_nonce) if is_dialler else (peer_nonce, self._nonce)
        names = [part.encode() for part in (*dialler, *acceptor)]
        mac = hmac.new(self._key, digestmod="sha256")
        for part in (_PROOF_CONTEXT, direction, *nonces, *names):
            # The length before each part keeps two lists of parts from running together alike.
            mac.update(len(part).to_bytes(4, "big"))
            mac.update(part)
        return mac.digest()

    def _check_proof(self, given: bytes, wanted: bytes) -> None:
        if not hmac.compare_digest(given, wanted):
            raise LinkRefused("the proof of the link secret is wrong")

    async def _send(self, message: Message) -> None:
        frame = Frame(0, self._hybrid.tick(), message)
        try:
            await self._stream.send_all(frame_bytes(frame))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
            raise LinkRefused("the connection broke in the handshake") from cause

    async def _receive(self, kind: type[M]) -> M:
        try:
            frame = await self.reader.read()
        except (BadFrame, LinkCut) as cause:
            raise LinkRefused(f"no handshake: {cause.detail}") from cause
        message = frame.message
        if isinstance(message, StreamClosed):
            raise LinkRefused(f"the peer says: {message.reason[:MAX_REASON_CHARS]}")
        if not isinstance(message, kind):
            raise LinkRefused(f"{type(message).__name__} in place of {kind.__name__}")
        return message
