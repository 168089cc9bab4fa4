"""Mutual TLS for links, with keys from the settings."""

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

_PEM_HEADER = "-----BEGIN"


class TlsContexts(NamedTuple):
    """TLS contexts of both roles of a connection."""

    dialler: ssl.SSLContext
    acceptor: ssl.SSLContext


def tls_contexts(settings: PeerSettings) -> TlsContexts | None:
    """Create the TLS contexts from the settings; ``None`` for links without TLS.

    Raises
    ------
    PeerSettingsError
        If a certificate or key can't be read.
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
    """Wrap a dialled stream in TLS if it is configured."""
    return trio.SSLStream(stream, contexts.dialler) if contexts else stream


def wrap_accepted(stream: trio.abc.Stream, contexts: TlsContexts | None) -> trio.abc.Stream:
    """Wrap an accepted stream in TLS if it is configured."""
    return trio.SSLStream(stream, contexts.acceptor, server_side=True) if contexts else stream


def _context(settings: PeerSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    # VMs are replaced and change addresses, so certificates don't contain host names. The fleet's
    # certificate authority authenticates a peer, and the link handshake identifies the VM.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_verify_locations(cadata=_pem_text(settings.tls_ca))
    with _as_path(settings.tls_certificate) as certificate, _as_path(settings.tls_key) as key:
        context.load_cert_chain(certificate, key)
    return context


def _pem_text(value: str) -> str:
    return value if _PEM_HEADER in value else Path(value).read_text()


@contextmanager
def _as_path(value: str) -> Iterator[str]:
    """Yield a file path for PEM text; the library loads keys only from files and VMs have no disks.

    The file is anonymous and private to the process, so the key is never stored in a file system.
    """
    if _PEM_HEADER not in value:
        yield value
        return
    descriptor = os.memfd_create("pem")
    try:
        os.write(descriptor, value.encode())
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
