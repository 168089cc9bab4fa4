"""Fetching a bundle's parts from peers and from the KV service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from sassafrastally.control.bundle_events import BundlePartRefused
from sassafrastally.control.canonical import BadEncoding
from sassafrastally.control.keys import PURPOSE_SPREAD, group_key, manifest_key
from sassafrastally.control.parts import (
    MAX_BUNDLE_BYTES,
    BundleTooLarge,
    DigestMismatch,
    split_group,
)
from sassafrastally.control.publish import within_budget
from sassafrastally.core import CodedError, error
from sassafrastally.core.kv import KvUnavailable
from sassafrastally.wire.codec import BadFrame
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import PartsReply, PartsRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.control.bundle import Bundle
    from sassafrastally.control.parts import Manifest
    from sassafrastally.control.store import PartStore
    from sassafrastally.core import EventLog
    from sassafrastally.core.kv import Kv
    from sassafrastally.wire.link import Link

MAX_REPLY_BYTES = 192 * 1024
"""Parts in one reply: with its framing it stays under the longest frame."""
MAX_REQUEST_DIGESTS = 64
CALL_TIME_LIMIT_S = 5.0


@error(4140)
class PartsMissing(CodedError):
    """No source has all the parts of a bundle at the moment."""

    def __init__(self, message: str, missing: int) -> None:
        super().__init__(message)
        self.missing = missing


class PartSource(Protocol):
    """Where manifests and parts come from."""

    @property
    def name(self) -> str:
        """``kv`` or the name of a VM."""
        ...

    async def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes, unverified; empty when there are none."""
        ...

    async def parts(self, manifest: Manifest, digests: Sequence[str]) -> Sequence[bytes]:
        """Return the parts' bytes, unverified; empty ones aren't had or come with a later call."""
        ...


class KvSource:
    """The KV service as a source."""

    name = "kv"

    def __init__(self, kv: Kv) -> None:
        self._kv = kv

    async def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes."""
        return await self._value(manifest_key(digest))

    async def parts(self, manifest: Manifest, digests: Sequence[str]) -> Sequence[bytes]:
        """Return the parts of the first one's group; the others come with later calls."""
        group = next(group for group in manifest.groups if digests[0] in group)
        data = await self._value(group_key(group))
        found = split_group(group, data) if data else {}
        return [found.get(digest, b"") for digest in digests]

    async def _value(self, key: str) -> bytes:
        entry = await within_budget(lambda: self._kv.get(key, purpose=PURPOSE_SPREAD))
        return entry.value if entry else b""


class PeerSource:
    """A linked peer as a source."""

    def __init__(self, link: Link) -> None:
        self._link = link

    @property
    def name(self) -> str:
        """Name of the peer's VM."""
        return self._link.peer.vm

    async def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes."""
        parts = await self._ask([digest])
        return parts[0] if parts else b""

    async def parts(self, manifest: Manifest, digests: Sequence[str]) -> Sequence[bytes]:
        """Return what the peer sends of the parts in one reply."""
        return await self._ask(digests)

    async def _ask(self, digests: Sequence[str]) -> Sequence[bytes]:
        reply = await self._link.call(PartsRequest(tuple(digests)))
        return reply.parts if isinstance(reply, PartsReply) else ()


def reply_to(request: PartsRequest, store: PartStore) -> PartsReply:
    """Return as many of the parts asked for as fit one frame, at least one if it is held."""
    parts: list[bytes] = []
    size_bytes = 0
    for digest in request.digests[:MAX_REQUEST_DIGESTS]:
        data = store.encoded(digest)
        if size_bytes + len(data) > MAX_REPLY_BYTES:
            data = b""
        size_bytes += len(data)
        parts.append(data)
    return PartsReply(tuple(parts))


async def fetch_bundle(
    digest: str, sources: Sequence[PartSource], store: PartStore, events: EventLog
) -> Bundle:
    """Return the bundle of a digest, fetching what the store lacks from one source after another.

    Raises
    ------
    PartsMissing
        When the sources together don't have it all.
    BadEncoding, BundleTooLarge
        When the bundle that was signed breaks a bound.
    """
    for source in sources:
        await _fill_from(digest, source, store, events)
        manifest = store.manifest(digest)
        if manifest is not None and not store.missing(manifest):
            return store.assemble(manifest)
    manifest = store.manifest(digest)
    if manifest is not None and not store.missing(manifest):
        return store.assemble(manifest)
    missing = len(store.missing(manifest)) if manifest else 1
    raise PartsMissing(f"{missing} parts of {digest} are missing", missing)


async def _fill_from(digest: str, source: PartSource, store: PartStore, events: EventLog) -> None:
    """Take what one source has; one that fails or sends altered bytes is left."""
    try:
        manifest = store.manifest(digest)
        if manifest is None:
            with trio.fail_after(CALL_TIME_LIMIT_S):
                data = await source.manifest(digest)
            if not data:
                return
            manifest = store.add_manifest(digest, data)
        while await _take_some(manifest, source, store):
            pass
    except (DigestMismatch, BadEncoding) as refused:
        events.emit(BundlePartRefused(source.name, digest, refused.detail))
    except (LinkCut, LinkRefused, StreamEnded, BadFrame, KvUnavailable, trio.TooSlowError):
        # The next source or a later attempt brings the rest; what came so far is kept.
        return


async def _take_some(manifest: Manifest, source: PartSource, store: PartStore) -> bool:
    """Take the parts of one call; return whether another call may bring more."""
    missing = store.missing(manifest)[:MAX_REQUEST_DIGESTS]
    if not missing:
        return False
    with trio.fail_after(CALL_TIME_LIMIT_S):
        parts = await source.parts(manifest, missing)
    took_any = False
    for digest, data in zip(missing, parts, strict=False):
        if data:
            store.add_part(digest, data)
            took_any = True
    if store.bundle_size_bytes(manifest) > MAX_BUNDLE_BYTES:
        raise BundleTooLarge(f"the parts have over {MAX_BUNDLE_BYTES} bytes")
    return took_any
