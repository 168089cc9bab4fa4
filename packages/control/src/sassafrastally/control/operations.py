"""Bundle operations offered to operators by the command line and the admin interface.

Private keys are never sent over the network: the admin interface accepts signatures and heads that
the operator's local command has signed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from sassafrastally.control.canonical import is_digest
from sassafrastally.control.compile import compile_bundle
from sassafrastally.control.diff import Change, diff_bundles
from sassafrastally.control.keys import PURPOSE_OPERATOR, ROOT
from sassafrastally.control.parts import pack_bundle
from sassafrastally.control.publish import (
    Published,
    UnknownBundle,
    add_signature,
    load_bundle,
    load_signatures,
    publish_bundle,
    sign_bundle,
    within_budget,
)
from sassafrastally.control.rolling import (
    RollOrder,
    RollResult,
    read_generation,
    read_head,
    read_history,
    roll_bundle,
    submit_head,
)
from sassafrastally.control.signing import verify_signature
from sassafrastally.core import CodedError

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Bundle
    from sassafrastally.control.head import Head
    from sassafrastally.control.signing import BundleSettings
    from sassafrastally.core.kv import Kv

WATCHERS = ROOT + "watcher/"

MAX_GENERATION_DIGITS = 16


class CheckedBundle(NamedTuple):
    """Summary of a document without findings."""

    name: str
    digest: str
    models: int
    customers: int
    services: int
    parts: int
    size_bytes: int


class SignatureState(NamedTuple):
    """A signature over a digest and whether it counts."""

    signer: str
    counts: bool
    reason: str
    """Why it doesn't count; empty if it counts."""


class WatcherState(NamedTuple):
    """A process that watches the KV service for its data centre."""

    data_centre: str
    vm: str


class BundleStatus(NamedTuple):
    """State in the KV service: the accepted head, its signatures and the watchers."""

    head: Head | None
    signatures: tuple[SignatureState, ...]
    watchers: tuple[WatcherState, ...]


def check_document(text: str, file: str) -> CheckedBundle:
    """Compile a document and return its summary; raises `FindingsError`, `BundleTooLarge`."""
    bundle = compile_bundle(text, file)
    packed = pack_bundle(bundle)
    return CheckedBundle(
        bundle.name,
        packed.digest,
        len(bundle.models),
        len(bundle.customers),
        len(bundle.services),
        len(packed.parts),
        packed.size_bytes,
    )


async def publish_document(kv: Kv, text: str, file: str) -> Published:
    """Compile and publish a document; raises the errors of `compile_bundle`, `publish_bundle`."""
    return await publish_bundle(kv, compile_bundle(text, file))


async def read_status(kv: Kv, settings: BundleSettings) -> BundleStatus:
    """Return the accepted head, the signatures over its digest and the watchers."""
    head = await read_head(kv)
    signatures = await read_signatures(kv, head.digest, settings) if head else ()
    entries = await within_budget(lambda: kv.get_prefix(WATCHERS, purpose=PURPOSE_OPERATOR))
    watchers = tuple(
        WatcherState(entry.key.split("/")[-2], entry.value.decode(errors="replace"))
        for entry in entries
    )
    return BundleStatus(head, signatures, watchers)


async def read_signatures(
    kv: Kv, digest: str, settings: BundleSettings
) -> tuple[SignatureState, ...]:
    """Return the signatures over a digest, with a reason for each that doesn't count."""
    states: list[SignatureState] = []
    for signature in await load_signatures(kv, digest):
        try:
            verify_signature(settings, digest, signature)
            states.append(SignatureState(signature.signer, True, ""))
        except CodedError as cause:
            states.append(SignatureState(signature.signer, False, str(cause)))
    return tuple(states)


async def resolve_bundle(kv: Kv, reference: str) -> Bundle:
    """Return the bundle identified by a digest, a generation or ``head``.

    Raises
    ------
    UnknownBundle
        When there is no such bundle.
    """
    if is_digest(reference):
        return (await load_bundle(kv, reference)).bundle
    head: Head | None = None
    if reference == "head":
        head = await read_head(kv)
    elif reference.isdecimal() and len(reference) <= MAX_GENERATION_DIGITS:
        head = await read_generation(kv, int(reference))
    if head is None:
        raise UnknownBundle(f"no bundle has the digest or generation {reference!r}")
    return (await load_bundle(kv, head.digest)).bundle


async def diff_stored(kv: Kv, before: str, after: str) -> list[Change]:
    """Return the differences between two stored bundles."""
    return diff_bundles(await resolve_bundle(kv, before), await resolve_bundle(kv, after))


def plain(value: Any) -> Any:
    """Convert a result to JSON values, with named tuples as objects."""
    if hasattr(value, "_asdict"):
        return {key: plain(item) for key, item in value._asdict().items()}
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value


__all__ = [
    "BundleStatus",
    "CheckedBundle",
    "Published",
    "RollOrder",
    "RollResult",
    "SignatureState",
    "WatcherState",
    "add_signature",
    "check_document",
    "diff_stored",
    "plain",
    "publish_document",
    "read_history",
    "read_signatures",
    "read_status",
    "resolve_bundle",
    "roll_bundle",
    "sign_bundle",
    "submit_head",
]
