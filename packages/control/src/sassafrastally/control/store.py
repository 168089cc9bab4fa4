"""Verified manifests and parts that a process holds and serves to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control.parts import (
    DecodedPart,
    Manifest,
    assemble_bundle,
    decode_manifest,
    decode_part,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.control.bundle import Bundle


class PartStore:
    """Holds parts by digest; nothing enters it unverified.

    Decoded parts are kept beside their bytes, so that a change decodes only what changed. Parts
    that no kept bundle names are dropped by `keep_only`, which bounds the memory.
    """

    def __init__(self) -> None:
        self._bytes: dict[str, bytes] = {}
        self._manifests: dict[str, Manifest] = {}
        self._parts: dict[str, DecodedPart] = {}

    @property
    def size_bytes(self) -> int:
        """Bytes of all held manifests and parts, as encoded."""
        return sum(map(len, self._bytes.values()))

    def add_manifest(self, digest: str, data: bytes) -> Manifest:
        """Verify and keep a manifest; raises `DigestMismatch`, `BadEncoding`."""
        manifest = decode_manifest(digest, data)
        self._bytes[digest] = data
        self._manifests[digest] = manifest
        return manifest

    def add_part(self, digest: str, data: bytes) -> None:
        """Verify and keep a part; raises `DigestMismatch`, `BadEncoding`."""
        if digest not in self._parts:
            self._parts[digest] = decode_part(digest, data)
            self._bytes[digest] = data

    def manifest(self, digest: str) -> Manifest | None:
        """Return a held manifest."""
        return self._manifests.get(digest)

    def encoded(self, digest: str) -> bytes:
        """Return the bytes of a manifest or part; empty when it isn't held."""
        return self._bytes.get(digest, b"")

    def missing(self, manifest: Manifest) -> list[str]:
        """Return the digests of the parts that aren't held."""
        return [digest for digest in manifest.digests if digest not in self._parts]

    def bundle_size_bytes(self, manifest: Manifest) -> int:
        """Return the bytes of a bundle's parts as far as they are held."""
        return sum(len(self.encoded(digest)) for digest in manifest.digests)

    def assemble(self, manifest: Manifest) -> Bundle:
        """Put a bundle together whose parts are all held; raises `BadEncoding`."""
        return assemble_bundle(manifest, self._parts)

    def keep_only(self, digests: Iterable[str]) -> None:
        """Drop all but the bundles of these digests."""
        self._manifests = {
            digest: manifest
            for digest in digests
            if (manifest := self._manifests.get(digest)) is not None
        }
        kept = set(self._manifests)
        for manifest in self._manifests.values():
            kept.update(manifest.digests)
        self._parts = {digest: part for digest, part in self._parts.items() if digest in kept}
        self._bytes = {digest: data for digest, data in self._bytes.items() if digest in kept}
