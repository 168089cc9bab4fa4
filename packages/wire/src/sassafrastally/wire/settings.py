"""Settings of the links between processes."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address, CodedError, error
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import section
from sassafrastally.wire.messages import MAX_CHUNK_BYTES

CHUNK_OVERHEAD_BYTES = 128
"""Credit charged for a chunk in addition to its data. Without it a peer could send any number of
empty chunks, and a window of one-token chunks would buffer tens of thousands of objects."""

MIN_WINDOW_BYTES = 2 * (MAX_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES)
"""Minimum stream window. Credit is returned in quarters of a window; at this size the remaining
credit still fits the longest chunk, so a sender never waits for credit held back by the reader."""

MIN_SECRET_CHARS = 16
"""Minimum length of the link secret."""


@error(2005)
class PeerSettingsError(CodedError):
    """The link settings are invalid."""


@section("peer")
class PeerSettings(NamedTuple):
    """Settings of links to other processes."""

    listen_address: Address
    """IP address and port where peers connect."""
    link_secret: Secret
    """Secret shared by all processes of the fleet, at least 16 characters."""
    handshake_time_limit_s: float = 5.0
    """Time limit for connection setup and handshake together."""
    ping_interval_s: float = 2.6
    """Idle time after which a peer is pinged; longer than a sidecar's report interval, so that
    reports make pings unnecessary."""
    ping_time_limit_s: float = 2.4
    """Time limit for a response to a ping before the link is cut."""
    stop_time_limit_s: float = 10.0
    """How long a stopping process waits for open streams."""
    window_bytes: int = 256 * 1024
    """Chunk bytes that a peer may send ahead on a stream, plus 128 bytes for each chunk."""
    max_streams: int = 256
    """Maximum number of open streams on a link, counted at each end."""
    tls_certificate: str = ""
    """Certificate chain as PEM text or a file path; empty for links without TLS."""
    tls_key: Secret = Secret("")
    """Private key as PEM text or a file path."""
    tls_ca: str = ""
    """CA certificates of the peers, as PEM text or a file path."""


def check_peer_settings(settings: PeerSettings) -> None:
    """Validate constraints that the types don't express.

    Raises
    ------
    PeerSettingsError
        If the secret is too short, a window can't hold two chunks, a time limit or the number of
        streams isn't positive, or a TLS setting is missing.
    """
    if len(settings.link_secret) < MIN_SECRET_CHARS:
        raise PeerSettingsError(f"peer.link_secret has fewer than {MIN_SECRET_CHARS} characters")
    if settings.window_bytes < MIN_WINDOW_BYTES:
        raise PeerSettingsError(f"peer.window_bytes must be at least {MIN_WINDOW_BYTES}")
    for name in ("handshake_time_limit_s", "ping_interval_s", "ping_time_limit_s", "max_streams"):
        if getattr(settings, name) <= 0:
            raise PeerSettingsError(f"peer.{name} must be positive")
    tls = (settings.tls_certificate, settings.tls_key, settings.tls_ca)
    if any(tls) and not all(tls):
        raise PeerSettingsError("peer.tls_certificate, tls_key and tls_ca must be set together")
