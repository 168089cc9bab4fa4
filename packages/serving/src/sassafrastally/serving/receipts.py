"""Sealed receipts, which record why a request was refused.

A receipt contains the facts of a refusal, encrypted and authenticated with a key of the fleet.
Nothing is stored: every entry that has the key can open it, even after all VMs were replaced.
"""

from __future__ import annotations

import base64
import binascii
import json
import os
import re
import zlib
from typing import TYPE_CHECKING, ClassVar, NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from sassafrastally.core import CodedError, Service, error
from sassafrastally.core.secret import Secret
from sassafrastally.core.settings import section

if TYPE_CHECKING:
    from collections.abc import Iterable

PREFIX = "sr1"
"""Format prefix of a receipt: ``sr1.<key id>.<length of sealed>.<sealed>``."""

NONCE_BYTES = 12
TAG_BYTES = 16
KEY_HEX_DIGITS = 64
MAX_RECEIPT_CHARS = 600
MAX_NAME_BYTES = 48
"""Maximum length of a customer, VM or data centre name in a receipt; longer names are truncated."""

FIGURE_DIGITS = 9
"""Number of significant digits of a figure."""

WALL_DIGITS = 3
"""Number of decimal places of the wall time in seconds."""

MAX_FACTS_BYTES = 4_096
"""Maximum size of the decompressed facts."""

_KEY_ID = re.compile(r"[a-z0-9][a-z0-9-]{0,15}")
_RECEIPT = re.compile(rf"{PREFIX}\.({_KEY_ID.pattern})\.([1-9][0-9]{{0,3}})\.([A-Za-z0-9_-]+)")


@error(5201)
class ReceiptMalformed(CodedError):
    """The text is not a complete receipt: it is truncated, or it is not a receipt at all."""


@error(5202)
class ReceiptKeyUnknown(CodedError):
    """The receipt names a key that is not in the key ring."""


@error(5203)
class ReceiptKeyWithdrawn(CodedError):
    """The receipt is sealed with a withdrawn key, so it is no longer proof of anything."""


@error(5204)
class ReceiptForged(CodedError):
    """The receipt was not sealed with the key that it names, or was modified afterwards."""


@error(5205)
class ReceiptKeysInvalid(CodedError):
    """The key ring in the settings is invalid."""


class ReceiptKey(NamedTuple):
    """One key of the key ring."""

    key_id: str
    """At most 16 lowercase letters, digits and hyphens."""
    secret: Secret
    """32 bytes as 64 hexadecimal digits; empty only for a withdrawn key."""
    withdrawn: bool = False
    """Whether receipts sealed with the key are rejected, for example after a leak of the secret."""


@section("receipts", "entry")
class ReceiptSettings(NamedTuple):
    """Keys of the receipts that are sent with refusals."""

    keys: tuple[ReceiptKey, ...] = ()
    """The first key that is not withdrawn seals new receipts; every such key opens receipts."""


class ReceiptFacts(NamedTuple):
    """Contents of a receipt."""

    request_id: str
    code: str
    """Code of the refusal."""
    outcome: str
    limit: float
    measured: float
    unit: str
    """Unit of the limit and the measured figure; empty when the code has none."""
    retry_after_s: float
    generation: int
    """Generation of the bundle in force; 0 when there was none."""
    digest: str
    """Digest of that bundle."""
    wall_s: float
    """Time of the refusal by the entry's clock, in seconds since the Unix epoch."""
    customer: str
    vm: str
    """Entry that refused the request."""
    data_centre: str


_EXAMPLE = ReceiptFacts("", "", "", 0.0, 0.0, "", 0.0, 0, "", 0.0, "", "", "")
"""Example whose field types an opened receipt must match."""


class KeyRing:
    """The keys that seal and open receipts.

    Parameters
    ----------
    keys
        The keys, the sealing one first.

    Raises
    ------
    ReceiptKeysInvalid
        When a key ID is invalid or duplicate, or a secret is not 32 bytes.
    """

    def __init__(self, keys: Iterable[ReceiptKey]) -> None:
        self._ciphers: dict[str, AESGCM] = {}
        self._withdrawn: set[str] = set()
        for key in keys:
            self._add(key)

    @property
    def sealing_key_id(self) -> str:
        """ID of the sealing key; raises `ReceiptKeysInvalid` when there is none."""
        if not self._ciphers:
            raise ReceiptKeysInvalid("the key ring has no key that can seal receipts")
        return next(iter(self._ciphers))

    def cipher(self, key_id: str) -> AESGCM:
        """Return a key's cipher; raises `ReceiptKeyUnknown`, `ReceiptKeyWithdrawn`."""
        if key_id in self._withdrawn:
            raise ReceiptKeyWithdrawn(f"key {key_id!r} was withdrawn")
        if key_id not in self._ciphers:
            raise ReceiptKeyUnknown(f"key {key_id!r} is not in the key ring")
        return self._ciphers[key_id]

    def _add(self, key: ReceiptKey) -> None:
        if not _KEY_ID.fullmatch(key.key_id):
            raise ReceiptKeysInvalid(f"invalid key id: {key.key_id!r}")
        if key.key_id in self._ciphers or key.key_id in self._withdrawn:
            raise ReceiptKeysInvalid(f"duplicate key id: {key.key_id!r}")
        if key.withdrawn:
            self._withdrawn.add(key.key_id)
            return
        if len(key.secret) != KEY_HEX_DIGITS:
            raise ReceiptKeysInvalid(f"the secret of {key.key_id!r} is not 64 hexadecimal digits")
        try:
            self._ciphers[key.key_id] = AESGCM(bytes.fromhex(key.secret))
        except ValueError:
            raise ReceiptKeysInvalid(
                f"the secret of {key.key_id!r} is not 64 hexadecimal digits"
            ) from None


def seal_receipt(keys: KeyRing, facts: ReceiptFacts, nonce: bytes) -> str:
    """Encrypt facts as a receipt.

    Parameters
    ----------
    keys
        The key ring.
    facts
        Contents of the receipt.
    nonce
        `NONCE_BYTES` bytes; must never be reused with the same key.
    """
    key_id = keys.sealing_key_id
    packed = _pack(facts)
    size_bytes = NONCE_BYTES + len(packed) + TAG_BYTES
    header = f"{PREFIX}.{key_id}.{_encoded_chars(size_bytes)}"
    sealed = keys.cipher(key_id).encrypt(nonce, packed, header.encode())
    return f"{header}.{_encode(nonce + sealed)}"


def open_receipt(keys: KeyRing, text: str) -> ReceiptFacts:
    """Verify and decrypt a receipt.

    Raises
    ------
    ReceiptMalformed
        When the text is truncated or not a receipt.
    ReceiptKeyUnknown, ReceiptKeyWithdrawn
        When the key that it names is not available for opening.
    ReceiptForged
        When it fails authentication with the key that it names.
    """
    parts = _split(text)
    cipher = keys.cipher(parts.key_id)
    nonce, sealed = parts.sealed[:NONCE_BYTES], parts.sealed[NONCE_BYTES:]
    try:
        packed = cipher.decrypt(nonce, sealed, parts.header.encode())
    except InvalidTag:
        raise ReceiptForged(
            f"receipt was not sealed with key {parts.key_id!r}, or was modified afterwards"
        ) from None
    return _unpack(packed)


class ReceiptService(Service):
    """Seals and opens receipts with the key ring of the settings.

    Parameters
    ----------
    settings
        Receipt settings of the entry; without keys no receipt can be sealed.
    """

    name: ClassVar[str] = "receipts"

    def __init__(self, settings: ReceiptSettings) -> None:
        self.keys = KeyRing(settings.keys)

    def seal(self, facts: ReceiptFacts) -> str:
        """Encrypt facts as a receipt; raises `ReceiptKeysInvalid` without a sealing key."""
        # Reusing a nonce with the same key would reveal the key stream, so the nonce comes from the
        # operating system even if the random source of the process is seeded.
        return seal_receipt(self.keys, facts, os.urandom(NONCE_BYTES))

    def open(self, text: str) -> ReceiptFacts:
        """Verify and decrypt a receipt; raises the errors of `open_receipt`."""
        return open_receipt(self.keys, text)


class _Parts(NamedTuple):
    header: str
    key_id: str
    sealed: bytes


def _split(text: str) -> _Parts:
    match = _RECEIPT.fullmatch(text.strip()[: MAX_RECEIPT_CHARS + 1])
    if match is None:
        raise ReceiptMalformed("text is not a receipt, or its beginning or end is missing")
    key_id, length, encoded = match.groups()
    if int(length) != len(encoded):
        raise ReceiptMalformed(
            f"receipt is truncated: {len(encoded)} of {length} characters are present"
        )
    try:
        sealed = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
    except binascii.Error:
        raise ReceiptMalformed("receipt is not valid base64") from None
    # Several base64 texts decode to the same bytes; only the canonical one is accepted.
    if len(sealed) < NONCE_BYTES + TAG_BYTES or _encode(sealed) != encoded:
        raise ReceiptMalformed("receipt is too short or not in canonical base64 form")
    return _Parts(f"{PREFIX}.{key_id}.{length}", key_id, sealed)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _encoded_chars(size_bytes: int) -> int:
    return (size_bytes * 4 + 2) // 3


def _pack(facts: ReceiptFacts) -> bytes:
    short = facts._replace(
        limit=_rounded(facts.limit),
        measured=_rounded(facts.measured),
        retry_after_s=_rounded(facts.retry_after_s),
        wall_s=round(facts.wall_s, WALL_DIGITS),
        customer=_truncated(facts.customer),
        vm=_truncated(facts.vm),
        data_centre=_truncated(facts.data_centre),
    )
    return zlib.compress(json.dumps(short, ensure_ascii=False, allow_nan=False).encode(), level=9)


def _unpack(packed: bytes) -> ReceiptFacts:
    # The data is authenticated, but its size is limited all the same, so that the holder of a
    # stolen key cannot exhaust the memory of an entry.
    try:
        unpacker = zlib.decompressobj()
        fields = json.loads(unpacker.decompress(packed, MAX_FACTS_BYTES))
        facts = ReceiptFacts(*fields)
    except (zlib.error, ValueError, TypeError, RecursionError) as cause:
        raise ReceiptMalformed("cannot decode the receipt contents") from cause
    kinds = [type(value) for value in facts]
    if kinds != [type(value) for value in _EXAMPLE]:
        raise ReceiptMalformed("receipt contents have unexpected field types")
    return facts


def _rounded(value: float) -> float:
    return float(f"{value:.{FIGURE_DIGITS}g}")


def _truncated(name: str) -> str:
    return name.encode()[:MAX_NAME_BYTES].decode(errors="ignore")
