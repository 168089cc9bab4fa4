"""Sealed receipts: what made a refusal true, for whoever is asked about it later.

A receipt is the facts themselves, encrypted and authenticated under a key of the fleet. Nothing
is stored: every entry that has the key opens it, also after all VMs were replaced.
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
"""Format of a receipt: ``sr1.<key id>.<length of what follows>.<sealed>``."""

NONCE_BYTES = 12
TAG_BYTES = 16
KEY_HEX_DIGITS = 64
MAX_RECEIPT_CHARS = 600
MAX_NAME_BYTES = 48
"""Longest name of a customer, VM or data centre that a receipt keeps; the rest is left out."""

FIGURE_DIGITS = 9
"""Significant digits of a figure."""

WALL_DIGITS = 3
"""Decimals of the wall time in seconds."""

MAX_FACTS_BYTES = 4_096
"""Most bytes that a receipt may unpack to."""

_KEY_ID = re.compile(r"[a-z0-9][a-z0-9-]{0,15}")
_RECEIPT = re.compile(rf"{PREFIX}\.({_KEY_ID.pattern})\.([1-9][0-9]{{0,3}})\.([A-Za-z0-9_-]+)")


@error(5201)
class ReceiptMalformed(CodedError):
    """The text isn't a whole receipt: it was cut, or it never was one."""


@error(5202)
class ReceiptKeyUnknown(CodedError):
    """The receipt names a key that isn't in the key ring."""


@error(5203)
class ReceiptKeyWithdrawn(CodedError):
    """The receipt is sealed by a key that was withdrawn, so it proves nothing any more."""


@error(5204)
class ReceiptForged(CodedError):
    """The receipt wasn't sealed by the key that it names, or was changed afterwards."""


@error(5205)
class ReceiptKeysInvalid(CodedError):
    """The key ring of the settings can't be used."""


class ReceiptKey(NamedTuple):
    """One key of the key ring."""

    key_id: str
    """Lower case letters, digits and hyphens, 16 at most."""
    secret: Secret
    """32 bytes as 64 hexadecimal digits; empty only for a withdrawn key."""
    withdrawn: bool = False
    """Whether receipts under the key are no longer believed, as after a theft of the secret."""


@section("receipts", "entry")
class ReceiptSettings(NamedTuple):
    """Keys of the receipts that are given with refusals."""

    keys: tuple[ReceiptKey, ...] = ()
    """The first key that isn't withdrawn seals; all open."""


class ReceiptFacts(NamedTuple):
    """What a receipt says."""

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
    """When the refusal was given, by the entry's clock, in seconds since 1970."""
    customer: str
    vm: str
    """Entry that gave the refusal."""
    data_centre: str


_EXAMPLE = ReceiptFacts("", "", "", 0.0, 0.0, "", 0.0, 0, "", 0.0, "", "", "")
"""Type of each field as it comes out of a receipt."""


class KeyRing:
    """The keys that seal and open receipts.

    Parameters
    ----------
    keys
        The keys, the sealing one first.

    Raises
    ------
    ReceiptKeysInvalid
        When an id is doubled or a secret isn't 32 bytes.
    """

    def __init__(self, keys: Iterable[ReceiptKey]) -> None:
        self._ciphers: dict[str, AESGCM] = {}
        self._withdrawn: set[str] = set()
        for key in keys:
            self._add(key)

    @property
    def sealing_key_id(self) -> str:
        """Id of the key that seals; raises `ReceiptKeysInvalid` when there is none."""
        if not self._ciphers:
            raise ReceiptKeysInvalid("no key that isn't withdrawn")
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
            raise ReceiptKeysInvalid(f"not a key id: {key.key_id!r}")
        if key.key_id in self._ciphers or key.key_id in self._withdrawn:
            raise ReceiptKeysInvalid(f"key id {key.key_id!r} is doubled")
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
    """Return the receipt of some facts.

    Parameters
    ----------
    keys
        The key ring.
    facts
        What the receipt says.
    nonce
        `NONCE_BYTES` that were never used before with the key.
    """
    key_id = keys.sealing_key_id
    packed = _pack(facts)
    size_bytes = NONCE_BYTES + len(packed) + TAG_BYTES
    header = f"{PREFIX}.{key_id}.{_encoded_chars(size_bytes)}"
    sealed = keys.cipher(key_id).encrypt(nonce, packed, header.encode())
    return f"{header}.{_encode(nonce + sealed)}"


def open_receipt(keys: KeyRing, text: str) -> ReceiptFacts:
    """Return what a receipt says.

    Raises
    ------
    ReceiptMalformed
        When it was cut or isn't a receipt.
    ReceiptKeyUnknown, ReceiptKeyWithdrawn
        When the key that it names can't open it.
    ReceiptForged
        When the key that it names did not seal it as it is.
    """
    parts = _split(text)
    cipher = keys.cipher(parts.key_id)
    nonce, sealed = parts.sealed[:NONCE_BYTES], parts.sealed[NONCE_BYTES:]
    try:
        packed = cipher.decrypt(nonce, sealed, parts.header.encode())
    except InvalidTag:
        raise ReceiptForged(
            f"key {parts.key_id!r} did not seal this receipt, or it was changed afterwards"
        ) from None
    return _unpack(packed)


class ReceiptService(Service):
    """Seals and opens receipts with the key ring of the settings.

    Parameters
    ----------
    settings
        The entry's part of the settings; without keys no receipt can be given.
    """

    name: ClassVar[str] = "receipts"

    def __init__(self, settings: ReceiptSettings) -> None:
        self.keys = KeyRing(settings.keys)

    def seal(self, facts: ReceiptFacts) -> str:
        """Return the receipt of some facts; raises `ReceiptKeysInvalid` without a sealing key."""
        # A nonce used twice under one key would give the key stream away, so it comes from the
        # system even where the process's own random source is seeded.
        return seal_receipt(self.keys, facts, os.urandom(NONCE_BYTES))

    def open(self, text: str) -> ReceiptFacts:
        """Return what a receipt says; raises as `open_receipt` does."""
        return open_receipt(self.keys, text)


class _Parts(NamedTuple):
    header: str
    key_id: str
    sealed: bytes


def _split(text: str) -> _Parts:
    match = _RECEIPT.fullmatch(text.strip()[: MAX_RECEIPT_CHARS + 1])
    if match is None:
        raise ReceiptMalformed("the text is not a receipt, or its beginning or end is missing")
    key_id, length, encoded = match.groups()
    if int(length) != len(encoded):
        raise ReceiptMalformed(
            f"the receipt is cut: {len(encoded)} of {length} characters are there"
        )
    try:
        sealed = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
    except binascii.Error:
        raise ReceiptMalformed("the receipt's characters don't form whole bytes") from None
    # Several texts could stand for the same bytes; only the one that was given is a receipt.
    if len(sealed) < NONCE_BYTES + TAG_BYTES or _encode(sealed) != encoded:
        raise ReceiptMalformed("the receipt's characters are not as they were given")
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
    # The seal shows that the fleet made these bytes; the bounds hold all the same, since a stolen
    # key must not let its holder fill an entry's memory.
    try:
        unpacker = zlib.decompressobj()
        fields = json.loads(unpacker.decompress(packed, MAX_FACTS_BYTES))
        facts = ReceiptFacts(*fields)
    except (zlib.error, ValueError, TypeError, RecursionError) as cause:
        raise ReceiptMalformed("the receipt's content can't be read") from cause
    kinds = [type(value) for value in facts]
    if kinds != [type(value) for value in _EXAMPLE]:
        raise ReceiptMalformed("the receipt's content has other fields")
    return facts


def _rounded(value: float) -> float:
    return float(f"{value:.{FIGURE_DIGITS}g}")


def _truncated(name: str) -> str:
    return name.encode()[:MAX_NAME_BYTES].decode(errors="ignore")
