"""Mutual authentication with the fleet's link secret at the start of a connection.

The dialler sends `Hello` with a nonce, the acceptor replies with `HelloAck` containing its own
nonce and a proof, and the dialler finishes with `HelloConfirm`. A proof is an HMAC-SHA256 keyed
with the link secret over both nonces, both identities and the direction, so that it is valid for
one connection only.
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
"""Maximum frame size accepted from an unauthenticated peer."""

MAX_REASON_CHARS = 200
"""Length to which the reason sent by an unauthenticated peer is truncated."""

_PROOF_CONTEXT = b"sassafrastally peer link 1"
_DIALLER_LABEL = b"dialler"
_ACCEPTOR_LABEL = b"acceptor"

M = TypeVar("M")


class Handshake:
    """Handshake that authenticates both ends of one connection.

    Parameters
    ----------
    stream
        The new connection.
    identity
        Identity of this process.
    secret
        Link secret of the fleet.
    random
        Random number generator for the nonce.
    hybrid
        Hybrid logical clock that stamps the frames.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        identity: PeerIdentity,
        secret: Secret,
        random: Random,
        hybrid: HybridClock,
    ) -> None:
        self.reader = FrameReader(stream, MAX_HANDSHAKE_FRAME_BYTES)
        """Frame reader that the link keeps using; it may hold data sent after the handshake."""
        self._stream = stream
        self._identity = identity
        self._key = secret.encode()
        self._nonce = random.getrandbits(NONCE_BYTES * 8).to_bytes(NONCE_BYTES, "big")
        self._hybrid = hybrid

    async def dial(self, vm: str) -> PeerIdentity:
        """Authenticate as the dialler and return the identity of the acceptor.

        Parameters
        ----------
        vm
            Name of the VM expected to answer.

        Raises
        ------
        LinkRefused
            If the peer has another schema version, no valid proof or another name.
        """
        await self._send(Hello(SCHEMA_VERSION, *self._identity, self._nonce))
        ack = await self._receive(HelloAck)
        peer = self._check_peer(ack)
        # The address may have been reassigned to another VM since the VM list was read, so the link
        # is only accepted if the expected VM answered.
        if peer.vm != vm:
            raise LinkRefused(f"{peer.vm} answered in place of {vm}")
        self._check_proof(ack.proof, self._proof(_ACCEPTOR_LABEL, ack.nonce, self._identity, peer))
        await self._send(HelloConfirm(self._proof(_DIALLER_LABEL, ack.nonce, self._identity, peer)))
        self.reader.max_frame_bytes = MAX_FRAME_BYTES
        return peer

    async def accept(self) -> PeerIdentity:
        """Authenticate as the acceptor and return the identity of the dialler.

        Raises
        ------
        LinkRefused
            If the peer has another schema version or no valid proof; the reason is sent to it.
        """
        try:
            return await self._accept()
        except LinkRefused as refusal:
            await self._send(StreamClosed(LinkRefused.code, refusal.detail))
            raise

    async def _accept(self) -> PeerIdentity:
        hello = await self._receive(Hello)
        peer = self._check_peer(hello)
        proof = self._proof(_ACCEPTOR_LABEL, hello.nonce, peer, self._identity)
        await self._send(HelloAck(SCHEMA_VERSION, *self._identity, self._nonce, proof))
        confirm = await self._receive(HelloConfirm)
        self._check_proof(
            confirm.proof, self._proof(_DIALLER_LABEL, hello.nonce, peer, self._identity)
        )
        self.reader.max_frame_bytes = MAX_FRAME_BYTES
        return peer

    def _check_peer(self, hello: Hello | HelloAck) -> PeerIdentity:
        if hello.schema_version != SCHEMA_VERSION:
            raise LinkRefused(f"schema version {hello.schema_version}, not {SCHEMA_VERSION}")
        if len(hello.nonce) != NONCE_BYTES or hello.nonce == self._nonce:
            raise LinkRefused("the nonce has a wrong length or is this end's own")
        # Prevents a reflection attack: an attacker without the secret could open a second
        # connection to the dialler, send the dialler's own Hello on it and relay the response,
        # which has a valid proof, to the first connection. Such a response contains the dialler's
        # own incarnation, which no other process has.
        if hello.incarnation == self._identity.incarnation:
            raise LinkRefused("the peer has this process's own identity")
        return PeerIdentity(hello.vm, hello.role, hello.data_centre, Incarnation(hello.incarnation))

    def _proof(
        self, direction: bytes, peer_nonce: bytes, dialler: PeerIdentity, acceptor: PeerIdentity
    ) -> bytes:
        is_dialler = dialler == self._identity
        nonces = (self._nonce, peer_nonce) if is_dialler else (peer_nonce, self._nonce)
        names = [part.encode() for part in (*dialler, *acceptor)]
        mac = hmac.new(self._key, digestmod="sha256")
        for part in (_PROOF_CONTEXT, direction, *nonces, *names):
            # The length prefix of each part prevents ambiguity between different lists of parts.
            mac.update(len(part).to_bytes(4, "big"))
            mac.update(part)
        return mac.digest()

    def _check_proof(self, actual: bytes, expected: bytes) -> None:
        if not hmac.compare_digest(actual, expected):
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
