"""Settings of the links between processes."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import Address, CodedError, error
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import section
from sassafrastally.wire.messages import MAX_CHUNK_BYTES

CHUNK_OVERHEAD_BYTES = 128
"""What a chunk costs of a stream's credit besides its data. Without it a peer could send empty
chunks without end, and a window of one-token chunks would be held as tens of thousands of
objects."""

MIN_WINDOW_BYTES = 2 * (MAX_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES)
"""Credit is handed back in quarters of a window; at this size what remains still takes the longest
chunk, so that no sender waits for credit that the reader keeps back."""

MIN_SECRET_CHARS = 16
"""Shortest link secret."""


@error(2005)
class PeerSettingsError(CodedError):
    """The settings of the links can't work."""


@section("peer")
class PeerSettings(NamedTuple):
    """Links to other processes."""

    listen_address: Address
    """IP number and port where peers connect."""
    link_secret: Secret
    """Secret that all processes of the fleet share, at least 16 characters."""
    handshake_time_limit_s: float = 5.0
    """How long connecting and proving who one is may take together."""
    ping_interval_s: float = 2.6
    """After how long without a sign of life a peer is asked for one; longer than a sidecar's
    pause between reports, so that reports spare the questions."""
    ping_time_limit_s: float = 2.4
    """How long it may take to answer before the link is cut."""
    stop_time_limit_s: float = 10.0
    """How long a stopping process waits for the streams that are in progress."""
    window_bytes: int = 256 * 1024
    """Chunk bytes that a peer may send ahead on a stream, with 128 bytes counted for each chunk."""
    max_streams: int = 256
    """Most streams that either end may have open on a link."""
    tls_certificate: str = ""
    """Certificate chain as PEM text or the path of a file; empty for links without TLS."""
    tls_key: Secret = Secret("")
    """Private key as PEM text or the path of a file."""
    tls_ca: str = ""
    """Certificates that sign the peers' ones, as PEM text or the path of a file."""


def check_peer_settings(settings: PeerSettings) -> None:
    """Check what types can't say.

    Raises
    ------
    PeerSettingsError
        When the secret is short, a window can't hold two chunks, a time limit or the number of
        streams is not positive or a part of the TLS settings is missing.
    """
    if len(settings.link_secret) < MIN_SECRET_CHARS:
        raise PeerSettingsError(f"peer.link_secret has under {MIN_SECRET_CHARS} characters")
    if settings.window_bytes < MIN_WINDOW_BYTES:
        raise PeerSettingsError(f"peer.window_bytes is under {MIN_WINDOW_BYTES}")
    for name in ("handshake_time_limit_s", "ping_interval_s", "ping_time_limit_s", "max_streams"):
        if getattr(settings, name) <= 0:
            raise PeerSettingsError(f"peer.{name} must be positive")
    tls = (settings.tls_certificate, settings.tls_key, settings.tls_ca)
    if any(tls) and not all(tls):
        raise PeerSettingsError("peer.tls_certificate, tls_key and tls_ca go together")
