"""Splits a bundle into content-addressed parts and assembles it again.

The manifest lists the digests of the parts; the bundle's digest is the digest of the manifest.
Customers are sharded by a hash of their names, so that changing one customer changes only one
shard and the manifest.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from sassafrastally.control.bundle import (
    Bundle,
    Customer,
    Drain,
    Limits,
    Model,
    PlainService,
    Weights,
)
from sassafrastally.control.canonical import (
    BadEncoding,
    canonical_bytes,
    digest_of,
    is_digest,
    load_object,
)
from sassafrastally.control.rules import bundle_problems, entry_problems, name_problems
from sassafrastally.core import CodedError, error
from sassafrastally.core.kv import MAX_VALUE_BYTES
from sassafrastally.core.settings import check_table

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

V = TypeVar("V")

FORMAT = 1
MAX_PART_BYTES = 128 * 1024
"""Maximum size of a part; it fits in a frame of the peer protocol and a value of the KV service."""
MAX_MANIFEST_BYTES = 128 * 1024
MAX_PARTS = 1_024
MAX_BUNDLE_BYTES = 4 * 1024 * 1024
"""Maximum total size of the parts; a process holds up to three bundles in its memory budget."""
GROUP_SHARDS = 8
"""Shards in one value of the KV service; fewer need more calls, more make larger values."""
GROUP_SEPARATOR = b"\n"
"""Separator between the parts of a group; canonical JSON never contains it."""
SHARD_TARGET_BYTES = 12 * 1024
"""Target size of a shard.

Changing a customer sends one shard and the manifest; at 5,000 customers their total size is
smallest near this value.
"""


@error(4101)
class DigestMismatch(CodedError):
    """Bytes don't match the digest under which they came: they were altered or truncated."""


@error(4102)
class BundleTooLarge(CodedError):
    """A bundle exceeds a bound on the size or number of its parts."""


class Manifest(NamedTuple):
    """Digests of the parts of one bundle."""

    name: str
    models: str
    policy: str
    """Services, weights and limits."""
    customers: tuple[str, ...]
    """Digests of the customer shards; their number is a power of two."""

    @property
    def groups(self) -> tuple[tuple[str, ...], ...]:
        """The digests grouped by KV value: a value holds several parts, since calls are limited."""
        shards = self.customers
        return (
            (self.models, self.policy),
            *(shards[at : at + GROUP_SHARDS] for at in range(0, len(shards), GROUP_SHARDS)),
        )

    @property
    def digests(self) -> tuple[str, ...]:
        """The digests of all parts, without duplicates."""
        return tuple(dict.fromkeys((self.models, self.policy, *self.customers)))


class PackedBundle(NamedTuple):
    """A bundle in its stored and transmitted form."""

    digest: str
    manifest: bytes
    parts: dict[str, bytes]
    """Bytes of each part by its digest."""

    @property
    def size_bytes(self) -> int:
        """Total size of the manifest and all parts."""
        return len(self.manifest) + sum(len(part) for part in self.parts.values())


class DecodedPart(NamedTuple):
    """The decoded content of one part; which fields are set depends on the part."""

    models: tuple[Model, ...] = ()
    customers: tuple[Customer, ...] = ()
    services: tuple[PlainService, ...] = ()
    weights: Weights = Weights()
    limits: Limits = Limits()
    drain: Drain = Drain()


def pack_bundle(bundle: Bundle) -> PackedBundle:
    """Split a bundle into parts.

    Raises
    ------
    BundleTooLarge
        When a part, a group, the manifest or the whole bundle exceeds its bound.
    """
    models = canonical_bytes({"models": _dicts(bundle.models)})
    policy = canonical_bytes(
        {
            "services": _dicts(bundle.services),
            "weights": bundle.weights._asdict(),
            "limits": bundle.limits._asdict(),
            "drain": bundle.drain._asdict(),
        }
    )
    shards = _shards(bundle.customers)
    manifest = Manifest(
        bundle.name, digest_of(models), digest_of(policy), tuple(map(digest_of, shards))
    )
    parts = {digest_of(part): part for part in (models, policy, *shards)}
    encoded = canonical_bytes({"format": FORMAT, **manifest._asdict()})
    _check_sizes(encoded, parts)
    longest = max(len(join_group(group, parts)) for group in manifest.groups)
    if longest > MAX_VALUE_BYTES:
        raise BundleTooLarge(f"a group of parts has {longest} bytes")
    return PackedBundle(digest_of(encoded), encoded, parts)


def decode_manifest(digest: str, data: bytes) -> Manifest:
    """Verify and decode a manifest.

    Raises
    ------
    DigestMismatch
        When the bytes don't match the digest.
    BadEncoding
        When they don't hold a manifest or exceed a bound.
    """
    check_digest(digest, data)
    value = load_object(data, MAX_MANIFEST_BYTES, "manifest")
    if value.pop("format", None) != FORMAT:
        raise BadEncoding(f"manifest is not of format {FORMAT}")
    manifest, problems = check_table(value, Manifest)
    if manifest is None:
        raise BadEncoding(f"manifest: {problems[0]}")
    count = len(manifest.customers)
    if not 1 <= count <= MAX_PARTS or count & (count - 1):
        raise BadEncoding(f"manifest lists {count} shards")
    if not all(map(is_digest, manifest.digests)) or list(name_problems(manifest.name, "name")):
        raise BadEncoding("manifest contains an invalid digest or name")
    return manifest


def decode_part(digest: str, data: bytes) -> DecodedPart:
    """Verify and decode a part.

    Raises
    ------
    DigestMismatch
        When the bytes don't match the digest.
    BadEncoding
        When they don't hold a part or exceed a bound.
    """
    check_digest(digest, data)
    value = load_object(data, MAX_PART_BYTES, "part")
    part, problems = check_table(value, DecodedPart)
    if part is None:
        raise BadEncoding(f"part: {problems[0]}")
    tables = (part.weights, part.limits, part.drain)
    entries = (*part.models, *part.customers, *part.services, *tables)
    for entry in entries:
        for problem in entry_problems(entry, type(entry).__name__):
            raise BadEncoding(f"part: {problem.key} {problem.message}")
    return part


def assemble_bundle(manifest: Manifest, parts: Mapping[str, DecodedPart]) -> Bundle:
    """Assemble a bundle from its decoded parts.

    Raises
    ------
    BadEncoding
        When the parts are inconsistent with each other.
    """
    policy = parts[manifest.policy]
    shards = [parts[digest].customers for digest in manifest.customers]
    customers = sorted(
        (customer for shard in shards for customer in shard), key=lambda entry: entry.name
    )
    bundle = Bundle(
        manifest.name,
        parts[manifest.models].models,
        tuple(customers),
        policy.services,
        policy.weights,
        policy.limits,
        policy.drain,
    )
    for problem in bundle_problems(bundle):
        raise BadEncoding(f"bundle: {problem.key} {problem.message}")
    return bundle


def unpack_bundle(packed: PackedBundle) -> Bundle:
    """Verify and decode a whole bundle; raises `DigestMismatch`, `BadEncoding`."""
    manifest = decode_manifest(packed.digest, packed.manifest)
    missing = [digest for digest in manifest.digests if digest not in packed.parts]
    if missing:
        raise BadEncoding(f"{len(missing)} parts of the bundle are missing")
    decoded = {digest: decode_part(digest, packed.parts[digest]) for digest in manifest.digests}
    return assemble_bundle(manifest, decoded)


def join_group(group: Sequence[str], parts: Mapping[str, bytes]) -> bytes:
    """Return the concatenated parts of a group."""
    return GROUP_SEPARATOR.join(parts[digest] for digest in group)


def split_group(group: Sequence[str], data: bytes) -> dict[str, bytes]:
    """Return the parts of a group, unverified; raises `BadEncoding`."""
    parts = data.split(GROUP_SEPARATOR)
    if len(parts) != len(group):
        raise BadEncoding(f"a group of {len(group)} parts holds {len(parts)}")
    return dict(zip(group, parts, strict=True))


def check_digest(digest: str, data: bytes) -> None:
    """Raise `DigestMismatch` unless the bytes match the digest."""
    found = digest_of(data)
    if found != digest:
        raise DigestMismatch(f"expected {digest}, found {found}")


def _shards(customers: Sequence[Customer]) -> list[bytes]:
    """Return the encoded customer shards.

    Their number is the smallest power of two that brings the mean size under the target and each
    shard under its bound. It depends only on the customers, so equal bundles have equal digests.
    """
    encoded = {customer.name: canonical_bytes(customer._asdict()) for customer in customers}
    total = sum(map(len, encoded.values()))
    count = 1
    while count < MAX_PARTS // 2 and total / count > SHARD_TARGET_BYTES:
        count *= 2
    groups: list[list[Any]] = [[] for _ in range(count)]
    for customer in sorted(customers, key=lambda entry: entry.name):
        groups[_shard_of(customer.name, count)].append(customer._asdict())
    return [canonical_bytes({"customers": group}) for group in groups]


def _shard_of(name: str, count: int) -> int:
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:8], "big") % count


def _check_sizes(manifest: bytes, parts: Mapping[str, bytes]) -> None:
    if len(manifest) > MAX_MANIFEST_BYTES:
        raise BundleTooLarge(f"the manifest has {len(manifest)} bytes")
    largest = max(map(len, parts.values()))
    if largest > MAX_PART_BYTES or len(parts) > MAX_PARTS:
        raise BundleTooLarge(f"{len(parts)} parts, the largest of {largest} bytes")
    total = sum(map(len, parts.values()))
    if total > MAX_BUNDLE_BYTES:
        raise BundleTooLarge(f"the parts have {total} bytes, more than {MAX_BUNDLE_BYTES}")


def _dicts(entries: Sequence[Any]) -> list[dict[str, Any]]:
    return [entry._asdict() for entry in sorted(entries, key=lambda entry: str(entry.name))]
