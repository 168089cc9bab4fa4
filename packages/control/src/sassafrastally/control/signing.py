"""Operators' signatures over bundle digests and heads.

A signer signs a digest; a roller signs a head. The two use different context prefixes, so that
one kind of signature is never valid as the other.
"""

from __future__ import annotations

import tomllib
from typing import NamedTuple

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from sassafrastally.control.canonical import BadEncoding, canonical_bytes, is_digest, load_object
from sassafrastally.control.rules import name_problems
from sassafrastally.core import CodedError, error
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import check_table, section

BUNDLE_CONTEXT = b"sassafrastally bundle digest v1\0"
"""Context prefix of a signed digest; it makes the signature invalid in any other context."""
KEY_BYTES = 32
SIGNATURE_BYTES = 64
MAX_SIGNATURE_RECORD_BYTES = 1_024
MAX_SIGNATURES = 16
"""Maximum number of signatures in a head."""


@error(4110)
class UnknownSigner(CodedError):
    """The signer isn't among the trusted signers in the settings."""


@error(4111)
class WithdrawnSigner(CodedError):
    """The signer's key has been withdrawn in the settings."""


@error(4112)
class WrongSignature(CodedError):
    """The signature doesn't match the digest and the signer's key."""


@error(4113)
class TooFewSignatures(CodedError):
    """Fewer trusted signers than required have signed the digest."""


@error(4114)
class BadSigningKey(CodedError):
    """A signing key or public key is malformed."""


class TrustedSigner(NamedTuple):
    """A signer whose signatures count."""

    name: str
    public_key: str
    """Ed25519 public key, 64 hexadecimal digits."""


class Signature(NamedTuple):
    """One signer's signature over a bundle digest."""

    signer: str
    signature: str
    """Ed25519 signature, 128 hexadecimal digits."""


@section("bundle")
class BundleSettings(NamedTuple):
    """Trusted signers of bundles, and how bundles reach the process."""

    trusted_signers: tuple[TrustedSigner, ...] = ()
    withdrawn_signers: tuple[str, ...] = ()
    """Names of signers whose keys no longer count, even if they are still listed as trusted."""
    required_signatures: int = 1
    """Number of different signers that must have signed a bundle."""
    watchers_per_data_centre: int = 2
    """Processes of a data centre that watch the KV service on behalf of the others."""
    watch_attempt_s: float = 30.0
    """Mean time between two reads of the KV service by a process that doesn't watch it."""
    watcher_lease_s: float = 15.0
    exchange_s: float = 5.0
    """Mean time between two comparisons of heads with a linked peer."""
    settling_s: float = 3.0
    """How long a new process collects its peers' heads while the KV service doesn't respond."""
    relay_fan_out: int = 6
    """Number of linked peers to which a new head is sent immediately."""


class SigningKey(NamedTuple):
    """A signer's private key; neither `repr` nor logs show it."""

    signer: str
    secret: Secret
    """Ed25519 private key, 64 hexadecimal digits."""

    @property
    def public_key(self) -> str:
        """The public key, 64 hexadecimal digits."""
        return _private_key(self).public_key().public_bytes_raw().hex()


def make_key(signer: str) -> SigningKey:
    """Return a new key for a signer.

    Raises
    ------
    BadSigningKey
        When the name isn't a valid signer name.
    """
    if list(name_problems(signer, "signer")) or "/" in signer:
        raise BadSigningKey(f"not a valid signer name: {signer!r}")
    return SigningKey(signer, Secret(Ed25519PrivateKey.generate().private_bytes_raw().hex()))


def encode_key(key: SigningKey) -> str:
    """Encode a key as the text of a key file."""
    return f'signer = "{key.signer}"\nsecret = "{key.secret!s}"\n'


def decode_key(text: str) -> SigningKey:
    """Decode the text of a key file.

    Raises
    ------
    BadSigningKey
        When the text is malformed; the message never contains the file's content.
    """
    try:
        key, problems = check_table(tomllib.loads(text), SigningKey)
    except (ValueError, RecursionError):
        raise BadSigningKey("the key file is not valid TOML") from None
    if key is None:
        raise BadSigningKey(f"the key file's {problems[0][0] or 'content'} is invalid")
    _private_key(key)
    return key


def sign_digest(key: SigningKey, digest: str) -> Signature:
    """Sign a bundle digest; Ed25519 signatures are deterministic."""
    return Signature(key.signer, sign_bytes(key, _signed_digest(digest)))


def sign_bytes(key: SigningKey, data: bytes) -> str:
    """Sign bytes that start with a context prefix; return 128 hexadecimal digits."""
    return _private_key(key).sign(data).hex()


def verify_bytes(settings: BundleSettings, signer: str, signature: str, data: bytes) -> None:
    """Raise a coded error unless the signature matches the bytes and its signer is trusted."""
    if signer in settings.withdrawn_signers:
        raise WithdrawnSigner(f"the key of signer {signer!r} has been withdrawn")
    public_key = next(
        (item.public_key for item in settings.trusted_signers if item.name == signer), None
    )
    if public_key is None:
        raise UnknownSigner(f"signer {signer!r} is not trusted here")
    try:
        key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key))
    except ValueError:
        raise BadSigningKey(f"the public key of signer {signer!r} is malformed") from None
    try:
        key.verify(bytes.fromhex(signature), data)
    except (InvalidSignature, ValueError):
        raise WrongSignature(f"the signature of {signer!r} doesn't match") from None


def verify_signature(settings: BundleSettings, digest: str, signature: Signature) -> None:
    """Raise a coded error unless the signature matches the digest and its signer is trusted."""
    if not is_digest(digest):
        raise WrongSignature("the signed value is not a digest")
    verify_bytes(settings, signature.signer, signature.signature, _signed_digest(digest))


def verify_signatures(
    settings: BundleSettings, digest: str, signatures: tuple[Signature, ...]
) -> None:
    """Raise a coded error unless enough different trusted signers have signed the digest.

    Signatures that don't count, such as those of a signer withdrawn since, are ignored as long as
    enough others count. If too few count, the message gives the reason for each that doesn't.
    """
    valid_signers: set[str] = set()
    reasons: list[CodedError] = []
    for signature in signatures[:MAX_SIGNATURES]:
        try:
            verify_signature(settings, digest, signature)
            valid_signers.add(signature.signer)
        except (UnknownSigner, WithdrawnSigner, WrongSignature, BadSigningKey) as reason:
            reasons.append(reason)
    if len(valid_signers) >= max(1, settings.required_signatures):
        return
    if len(reasons) == 1 and not valid_signers:
        raise reasons[0]
    needed = max(1, settings.required_signatures)
    details = "; ".join(str(reason) for reason in reasons)
    raise TooFewSignatures(
        f"{len(valid_signers)} of {needed} signatures count; {details}".rstrip("; ")
    )


def encode_signature(signature: Signature) -> bytes:
    """Return the stored form of a signature."""
    return canonical_bytes(signature._asdict())


def decode_signature(data: bytes) -> Signature:
    """Decode a stored signature; raises `BadEncoding`."""
    value = load_object(data, MAX_SIGNATURE_RECORD_BYTES, "signature")
    signature, problems = check_table(value, Signature)
    if signature is None:
        raise BadEncoding(f"signature: {problems[0]}")
    return signature


def _signed_digest(digest: str) -> bytes:
    return BUNDLE_CONTEXT + bytes.fromhex(digest)


def _private_key(key: SigningKey) -> Ed25519PrivateKey:
    try:
        return Ed25519PrivateKey.from_private_bytes(bytes.fromhex(str(key.secret)))
    except ValueError:
        raise BadSigningKey(f"the secret of signer {key.signer!r} is malformed") from None
