"""Fetches a bundle's parts from peers and from the KV service."""

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
from sassafrastally.core import CodedError, error, time_limit
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
"""Maximum size of the parts in one reply; with framing it stays below the frame size limit."""
MAX_REQUEST_DIGESTS = 64
CALL_TIME_LIMIT_S = 5.0


@error(4140)
class PartsMissing(CodedError):
    """The sources together don't have all parts of a bundle at the moment."""

    def __init__(self, message: str, missing: int) -> None:
        super().__init__(message)
        self.missing = missing


class PartSource(Protocol):
    """A source of manifests and parts."""

    @property
    def name(self) -> str:
        """``kv`` or the name of a VM."""
        ...

    async def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes, unverified; empty if the source doesn't have it."""
        ...

    async def parts(self, manifest: Manifest, digests: Sequence[str]) -> Sequence[bytes]:
        """Return the parts' bytes, unverified.

        Empty bytes mean that the source doesn't have the part or returns it in a later call.
        """
        ...


class KvSource:
    """Reads manifests and parts from the KV service."""

    name = "kv"

    def __init__(self, kv: Kv) -> None:
        self._kv = kv

    async def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes."""
        return await self._value(manifest_key(digest))

    async def parts(self, manifest: Manifest, digests: Sequence[str]) -> Sequence[bytes]:
        """Return the parts in the group of the first digest; later calls return the others."""
        group = next(group for group in manifest.groups if digests[0] in group)
        data = await self._value(group_key(group))
        found = split_group(group, data) if data else {}
        return [found.get(digest, b"") for digest in digests]

    async def _value(self, key: str) -> bytes:
        entry = await within_budget(lambda: self._kv.get(key, purpose=PURPOSE_SPREAD))
        return entry.value if entry else b""


class PeerSource:
    """Requests manifests and parts from a linked peer."""

    def __init__(self, link: Link) -> None:
        self._link = link

    @property
    def name(self) -> str:
        """Name of the peer's VM."""
        return self._link.peer.vm

    async def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes."""
        parts = await self._request([digest])
        return parts[0] if parts else b""

    async def parts(self, manifest: Manifest, digests: Sequence[str]) -> Sequence[bytes]:
        """Return those parts that the peer sends in one reply."""
        return await self._request(digests)

    async def _request(self, digests: Sequence[str]) -> Sequence[bytes]:
        reply = await self._link.call(PartsRequest(tuple(digests)))
        return reply.parts if isinstance(reply, PartsReply) else ()


def make_reply(request: PartsRequest, store: PartStore) -> PartsReply:
    """Return as many of the requested parts as fit in one frame, at least one if any is held."""
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
    """Return the bundle of a digest, fetching missing parts from the sources in order.

    Raises
    ------
    PartsMissing
        When the sources together don't have all parts.
    BadEncoding, BundleTooLarge
        When the signed bundle exceeds a bound.
    """
    for source in sources:
        await _fetch_from(digest, source, store, events)
        manifest = store.manifest(digest)
        if manifest is not None and not store.missing(manifest):
            return store.assemble(manifest)
    manifest = store.manifest(digest)
    if manifest is not None and not store.missing(manifest):
        return store.assemble(manifest)
    missing = len(store.missing(manifest)) if manifest else 1
    raise PartsMissing(f"{missing} parts of {digest} are missing", missing)


async def _fetch_from(digest: str, source: PartSource, store: PartStore, events: EventLog) -> None:
    """Fetch missing parts from one source until it has no more, fails or sends altered bytes."""
    try:
        manifest = store.manifest(digest)
        if manifest is None:
            async with time_limit(trio.current_time() + CALL_TIME_LIMIT_S) as limit:
                data = await source.manifest(digest)
            if limit.scope.cancelled_caught:
                return
            if not data:
                return
            manifest = store.add_manifest(digest, data)
        while await _fetch_batch(manifest, source, store):
            pass
    except (DigestMismatch, BadEncoding) as cause:
        events.emit(BundlePartRefused(source.name, digest, cause.detail))
    except (LinkCut, LinkRefused, StreamEnded, BadFrame, KvUnavailable):
        # The parts fetched so far are kept; the next source or a retry fetches the rest.
        return


async def _fetch_batch(manifest: Manifest, source: PartSource, store: PartStore) -> bool:
    """Fetch the parts of one call; return whether another call may return more."""
    missing = store.missing(manifest)[:MAX_REQUEST_DIGESTS]
    if not missing:
        return False
    async with time_limit(trio.current_time() + CALL_TIME_LIMIT_S) as limit:
        parts = await source.parts(manifest, missing)
    if limit.scope.cancelled_caught:
        return False
    has_new_parts = False
    for digest, data in zip(missing, parts, strict=False):
        if data:
            store.add_part(digest, data)
            has_new_parts = True
    if store.bundle_size_bytes(manifest) > MAX_BUNDLE_BYTES:
        raise BundleTooLarge(f"the parts exceed {MAX_BUNDLE_BYTES} bytes")
    return has_new_parts
