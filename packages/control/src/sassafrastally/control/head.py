"""The head: the active bundle and its generation, signed so that any peer may relay it.

Notes
-----
Signers sign the digest; the roller signs the generation together with the digest. Without the
roller's signature, a relay could attach a higher generation to an old signed digest and so revert
the fleet. With it, a relay without a trusted key can only replay heads that were rolled.
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
    """A roll of a bundle."""

    generation: int
    """Number of the roll, from 1."""
    digest: str
    """Digest of the bundle."""
    previous_generation: int
    """Generation that the operator saw as active; always one less than `generation`."""
    roller: str
    """Signer who rolled the bundle."""
    nonce: str
    """Identifies this roll, so that a retry after a lost response finds the earlier write."""
    signatures: tuple[Signature, ...]
    """Signatures over the digest that existed at the time of the roll."""
    roll_signature: str = ""
    """The roller's signature over all other fields."""


class ReceivedHead(NamedTuple):
    """A verified head with its bytes, source and time of receipt."""

    head: Head
    data: bytes
    source: str
    """``kv`` or the name of a VM."""
    heard_s: float


def sign_head(key: SigningKey, head: Head) -> Head:
    """Return the head with the roller's signature added."""
    return head._replace(roll_signature=sign_bytes(key, _signed_bytes(head)))


def verify_head(settings: BundleSettings, head: Head) -> None:
    """Raise a coded error unless the roller is trusted and enough trusted signers signed."""
    verify_bytes(settings, head.roller, head.roll_signature, _signed_bytes(head))
    verify_signatures(settings, head.digest, head.signatures)


def encode_head(head: Head) -> bytes:
    """Return the canonical bytes of a head."""
    return canonical_bytes(_as_dict(head))


def decode_head(data: bytes) -> Head:
    """Decode a head without verifying its signatures.

    Raises
    ------
    BadEncoding
        When the bytes don't hold a head or exceed a bound.
    """
    value = load_object(data, MAX_HEAD_BYTES, "head")
    head, problems = check_table(value, Head)
    if head is None:
        raise BadEncoding(f"head: {problems[0]}")
    if not 1 <= head.generation <= MAX_INTEGER:
        raise BadEncoding("the head's generation is out of range")
    if head.previous_generation != head.generation - 1 or not is_digest(head.digest):
        raise BadEncoding("the head's previous generation or digest is invalid")
    if len(head.signatures) > MAX_SIGNATURES or len(head.nonce) > MAX_NONCE_CHARACTERS:
        raise BadEncoding("the head has too many signatures or its nonce is too long")
    return head


def _as_dict(head: Head) -> dict[str, object]:
    value = head._asdict()
    value["signatures"] = [signature._asdict() for signature in head.signatures]
    return value


def _signed_bytes(head: Head) -> bytes:
    return HEAD_CONTEXT + canonical_bytes(_as_dict(head._replace(roll_signature="")))
