"""Store of the verified manifests and parts that a process serves to its peers."""

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
    """Stores verified parts by digest.

    Decoded parts are cached with their bytes, so that a new bundle decodes only changed parts.
    `keep_only` drops parts that no kept bundle references, which bounds memory use.
    """

    def __init__(self) -> None:
        self._bytes: dict[str, bytes] = {}
        self._manifests: dict[str, Manifest] = {}
        self._parts: dict[str, DecodedPart] = {}

    @property
    def size_bytes(self) -> int:
        """Encoded size of all stored manifests and parts."""
        return sum(map(len, self._bytes.values()))

    def add_manifest(self, digest: str, data: bytes) -> Manifest:
        """Verify and store a manifest; raises `DigestMismatch`, `BadEncoding`."""
        manifest = decode_manifest(digest, data)
        self._bytes[digest] = data
        self._manifests[digest] = manifest
        return manifest

    def add_part(self, digest: str, data: bytes) -> None:
        """Verify and store a part; raises `DigestMismatch`, `BadEncoding`."""
        if digest not in self._parts:
            self._parts[digest] = decode_part(digest, data)
            self._bytes[digest] = data

    def manifest(self, digest: str) -> Manifest | None:
        """Return a stored manifest, ``None`` if it isn't stored."""
        return self._manifests.get(digest)

    def encoded(self, digest: str) -> bytes:
        """Return the bytes of a manifest or part; empty if it isn't stored."""
        return self._bytes.get(digest, b"")

    def missing(self, manifest: Manifest) -> list[str]:
        """Return the digests of the parts that aren't stored."""
        return [digest for digest in manifest.digests if digest not in self._parts]

    def bundle_size_bytes(self, manifest: Manifest) -> int:
        """Return the total size of those parts of a bundle that are stored."""
        return sum(len(self.encoded(digest)) for digest in manifest.digests)

    def assemble(self, manifest: Manifest) -> Bundle:
        """Assemble a bundle whose parts are all stored; raises `BadEncoding`."""
        return assemble_bundle(manifest, self._parts)

    def keep_only(self, digests: Iterable[str]) -> None:
        """Drop all bundles except those with these digests."""
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
