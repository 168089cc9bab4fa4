"""Mutual TLS under a link, with keys from the settings."""

from __future__ import annotations

import os
import ssl
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.wire.settings import PeerSettingsError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.wire.settings import PeerSettings

_PEM_MARK = "-----BEGIN"


class TlsContexts(NamedTuple):
    """What both directions of a connection are wrapped with."""

    dialler: ssl.SSLContext
    acceptor: ssl.SSLContext


def tls_contexts(settings: PeerSettings) -> TlsContexts | None:
    """Return the contexts of the settings, ``None`` for links without TLS.

    Raises
    ------
    PeerSettingsError
        When a certificate or key can't be read.
    """
    if not settings.tls_certificate:
        return None
    try:
        return TlsContexts(
            _context(settings, ssl.PROTOCOL_TLS_CLIENT), _context(settings, ssl.PROTOCOL_TLS_SERVER)
        )
    except (OSError, ssl.SSLError) as cause:
        raise PeerSettingsError(f"peer.tls_*: {cause}") from cause


def wrap_dialled(stream: trio.abc.Stream, contexts: TlsContexts | None) -> trio.abc.Stream:
    """Return the stream, under TLS if there is any."""
    return trio.SSLStream(stream, contexts.dialler) if contexts else stream


def wrap_accepted(stream: trio.abc.Stream, contexts: TlsContexts | None) -> trio.abc.Stream:
    """Return the stream, under TLS if there is any."""
    return trio.SSLStream(stream, contexts.acceptor, server_side=True) if contexts else stream


def _context(settings: PeerSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    # VMs come and go under changing addresses, so certificates don't name them: the fleet's own
    # authority vouches for a peer, and the handshake of the link says which VM it is.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_verify_locations(cadata=_pem_text(settings.tls_ca))
    with _as_path(settings.tls_certificate) as certificate, _as_path(settings.tls_key) as key:
        context.load_cert_chain(certificate, key)
    return context


def _pem_text(value: str) -> str:
    return value if _PEM_MARK in value else Path(value).read_text()


@contextmanager
def _as_path(value: str) -> Iterator[str]:
    """Give a path for PEM text: the library loads keys from files alone, and VMs have no disks.

    The file is anonymous and private to the process, so a key never lies in a file system.
    """
    if _PEM_MARK not in value:
        yield value
        return
    descriptor = os.memfd_create("pem")
    try:
        os.write(descriptor, value.encode())
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
