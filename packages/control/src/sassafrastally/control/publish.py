"""Publishes, signs and reads bundles in the KV service.

Parts, manifests and signatures are written once, each under a key derived from its content.
Publishing and signing are therefore idempotent, also when two operators do so concurrently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import trio

from sassafrastally.control.canonical import BadEncoding, is_digest
from sassafrastally.control.keys import (
    PURPOSE_OPERATOR,
    group_key,
    manifest_key,
    signature_key,
    signature_prefix,
)
from sassafrastally.control.parts import (
    PackedBundle,
    decode_manifest,
    join_group,
    pack_bundle,
    split_group,
    unpack_bundle,
)
from sassafrastally.control.signing import (
    MAX_SIGNATURES,
    BundleSettings,
    Signature,
    SigningKey,
    decode_signature,
    encode_signature,
    sign_digest,
    verify_signature,
)
from sassafrastally.core import CodedError, error
from sassafrastally.core.kv import KvBudgetSpent, KvConflict, KvWrite, MaybeApplied

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.control.bundle import Bundle
    from sassafrastally.core.kv import Kv, KvEntry

MAX_WRITE_ATTEMPTS = 5
T = TypeVar("T")

DEFAULT_BUDGET_WAIT_S = 0.1


@error(4120)
class StoredAltered(CodedError):
    """The KV service holds bytes that don't match their key: they were altered."""


@error(4121)
class UnknownBundle(CodedError):
    """The KV service doesn't hold the bundle or lacks some of its parts."""


class Published(NamedTuple):
    """Result of publishing a bundle."""

    digest: str
    values: int
    """Number of KV values that hold the bundle."""
    written: int
    """Number of KV values that were newly written."""
    written_bytes: int


class StoredBundle(NamedTuple):
    """A verified bundle from the KV service, packed and decoded."""

    packed: PackedBundle
    bundle: Bundle


async def publish_bundle(kv: Kv, bundle: Bundle) -> Published:
    """Write a bundle's parts and then its manifest, skipping those that are already stored.

    Raises
    ------
    BundleTooLarge
        When the bundle exceeds a bound on parts.
    StoredAltered
        When the key of a part holds other bytes.
    KvUnavailable, MaybeApplied
        When the KV service fails; publishing again is safe.
    """
    packed = pack_bundle(bundle)
    written = 0
    written_bytes = 0
    manifest = decode_manifest(packed.digest, packed.manifest)
    stored = {group_key(group): join_group(group, packed.parts) for group in manifest.groups}
    stored[manifest_key(packed.digest)] = packed.manifest
    for key, data in stored.items():
        if await write_once(kv, key, data):
            written += 1
            written_bytes += len(data)
    return Published(packed.digest, len(stored), written, written_bytes)


async def sign_bundle(kv: Kv, digest: str, key: SigningKey, settings: BundleSettings) -> Signature:
    """Sign a published bundle; raises the same errors as `add_signature`."""
    if not is_digest(digest):
        raise UnknownBundle(f"not a valid digest: {digest!r}")
    signature = sign_digest(key, digest)
    await add_signature(kv, digest, signature, settings)
    return signature


async def add_signature(
    kv: Kv, digest: str, signature: Signature, settings: BundleSettings
) -> None:
    """Verify a published bundle and a signature over its digest, and write the signature.

    Raises
    ------
    UnknownBundle, StoredAltered, DigestMismatch, BadEncoding
        When the stored bundle is incomplete or altered.
    UnknownSigner, WithdrawnSigner, WrongSignature
        When the signature isn't that of a trusted signer.
    """
    verify_signature(settings, digest, signature)
    await load_bundle(kv, digest)
    await write_once(kv, signature_key(digest, signature.signer), encode_signature(signature))


async def load_bundle(kv: Kv, digest: str, purpose: str = PURPOSE_OPERATOR) -> StoredBundle:
    """Return a published bundle after verifying every digest and bound.

    Raises
    ------
    UnknownBundle
        When the manifest or a part isn't stored.
    DigestMismatch, BadEncoding
        When stored bytes were altered.
    """
    if not is_digest(digest):
        raise UnknownBundle(f"not a valid digest: {digest!r}")
    encoded = await _load_value(kv, manifest_key(digest), purpose)
    manifest = decode_manifest(digest, encoded)
    parts: dict[str, bytes] = {}
    for group in manifest.groups:
        parts |= split_group(group, await _load_value(kv, group_key(group), purpose))
    packed = PackedBundle(digest, encoded, parts)
    return StoredBundle(packed, unpack_bundle(packed))


async def load_signatures(kv: Kv, digest: str) -> tuple[Signature, ...]:
    """Return the stored signatures over a digest, unverified; malformed ones are left out."""
    entries = await within_budget(
        lambda: kv.get_prefix(
            signature_prefix(digest), purpose=PURPOSE_OPERATOR, limit=MAX_SIGNATURES
        )
    )
    return tuple(signature for entry in entries if (signature := _signature_of(entry)) is not None)


async def write_once(kv: Kv, key: str, data: bytes) -> bool:
    """Write an immutable key; return whether it was newly written.

    A lost response needs no token to resolve, because every writer of the key writes the same
    bytes.
    """
    writes = [KvWrite(key, data, expected_revision=0)]
    for _ in range(MAX_WRITE_ATTEMPTS):
        entry = await within_budget(lambda: kv.get(key, purpose=PURPOSE_OPERATOR))
        if entry is not None:
            if entry.value != data:
                raise StoredAltered(f"{key} holds other bytes")
            return False
        try:
            await within_budget(lambda: kv.write(writes, purpose=PURPOSE_OPERATOR))
        except (KvConflict, MaybeApplied):
            continue
        return True
    raise MaybeApplied(f"{key}: no answer after {MAX_WRITE_ATTEMPTS} attempts")


async def within_budget(call: Callable[[], Awaitable[T]]) -> T:
    """Call the KV service, waiting while this process's call budget is exhausted."""
    while True:
        try:
            return await call()
        except KvBudgetSpent as spent:
            await trio.sleep(spent.retry_after_s or DEFAULT_BUDGET_WAIT_S)


async def _load_value(kv: Kv, key: str, purpose: str) -> bytes:
    entry = await within_budget(lambda: kv.get(key, purpose=purpose))
    if entry is None:
        raise UnknownBundle(f"the KV service doesn't hold {key}")
    return entry.value


def _signature_of(entry: KvEntry) -> Signature | None:
    try:
        signature = decode_signature(entry.value)
    except BadEncoding:
        return None
    return signature if entry.key.endswith(f"/{signature.signer}") else None
