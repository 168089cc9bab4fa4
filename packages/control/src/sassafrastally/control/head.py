"""The head: which bundle is in force, under which generation, signed so that any peer may relay it.

Notes
-----
Signers sign the digest, the roller signs the generation together with the digest. Without the
roller's signature a relay could put an old signed digest under a higher generation and so revert
the fleet; with it, who holds no trusted key can only repeat heads that were rolled.
"""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.control.canonical import BadEncoding, canonical_bytes, is_digest, load_object
from sassafrastally.control.rules import MAX_INTEGER
from sassafrastally.control.signing import (
    MAX_SIGNATURES,
    BundleSettings,
    Signature,
    SigningKey,
    sign_bytes,
    verify_bytes,
    verify_signatures,
)
from sassafrastally.core.settings import check_table

HEAD_CONTEXT = b"sassafrastally bundle head v1\0"
MAX_HEAD_BYTES = 16 * 1024
MAX_NONCE_CHARACTERS = 64


class Head(NamedTuple):
    """One roll."""

    generation: int
    """Number of the roll, from 1."""
    digest: str
    """Digest of the bundle."""
    previous_generation: int
    """Generation that the operator saw; always one less."""
    roller: str
    """Signer who rolled."""
    nonce: str
    """Names this roll, so that its repeat after a lost answer finds itself."""
    signatures: tuple[Signature, ...]
    """Signatures over the digest that stood when it was rolled."""
    roll_signature: str = ""
    """The roller's signature over everything else."""


class HeardHead(NamedTuple):
    """A verified head with its bytes, and where and when it was heard."""

    head: Head
    data: bytes
    source: str
    """``kv`` or the name of a VM."""
    heard_s: float


def sign_head(key: SigningKey, head: Head) -> Head:
    """Return the head with its roller's signature."""
    return head._replace(roll_signature=sign_bytes(key, _signed_bytes(head)))


def verify_head(settings: BundleSettings, head: Head) -> None:
    """Raise a coded error unless the roller is trusted and enough signers signed the digest."""
    verify_bytes(settings, head.roller, head.roll_signature, _signed_bytes(head))
    verify_signatures(settings, head.digest, head.signatures)


def encode_head(head: Head) -> bytes:
    """Return the canonical bytes of a head."""
    return canonical_bytes(_as_dict(head))


def decode_head(data: bytes) -> Head:
    """Return the head that the bytes hold, unverified.

    Raises
    ------
    BadEncoding
        When they hold none or break a bound.
    """
    value = load_object(data, MAX_HEAD_BYTES, "head")
    head, problems = check_table(value, Head)
    if head is None:
        raise BadEncoding(f"head: {problems[0]}")
    if not 1 <= head.generation <= MAX_INTEGER:
        raise BadEncoding("head has a generation out of bounds")
    if head.previous_generation != head.generation - 1 or not is_digest(head.digest):
        raise BadEncoding("head has a wrong previous generation or digest")
    if len(head.signatures) > MAX_SIGNATURES or len(head.nonce) > MAX_NONCE_CHARACTERS:
        raise BadEncoding("head has too many signatures or too long a nonce")
    return head


def _as_dict(head: Head) -> dict[str, object]:
    value = head._asdict()
    value["signatures"] = [signature._asdict() for signature in head.signatures]
    return value


def _signed_bytes(head: Head) -> bytes:
    return HEAD_CONTEXT + canonical_bytes(_as_dict(head._replace(roll_signature="")))
