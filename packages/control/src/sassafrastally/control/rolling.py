"""Rolls a signed bundle: one compare-and-swap activates it under the next generation."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.control.canonical import BadEncoding, canonical_bytes
from sassafrastally.control.head import Head, decode_head, encode_head, sign_head, verify_head
from sassafrastally.control.keys import HEAD, PURPOSE_OPERATOR, history_key
from sassafrastally.control.publish import load_bundle, load_signatures, within_budget
from sassafrastally.control.signing import BundleSettings, Signature, SigningKey, verify_signature
from sassafrastally.core import CodedError, error
from sassafrastally.core.kv import KvConflict, KvUnavailable, KvWrite, MaybeApplied

if TYPE_CHECKING:
    from sassafrastally.core.kv import Kv, KvEntry

MAX_ROLL_ATTEMPTS = 5
NONCE_CHARACTERS = 32
DEFAULT_HISTORY = 20


@error(4130)
class RollLost(KvConflict):
    """Another roll succeeded first; this one has not taken effect and never will."""

    def __init__(self, message: str, winner: Head | None = None) -> None:
        super().__init__(message)
        self.winner = winner
        """The head that has the generation; ``None`` if unknown."""


class RollOrder(NamedTuple):
    """An operator's request to roll a bundle."""

    digest: str
    from_generation: int
    """Generation that the operator saw as active; 0 if there was none."""
    nonce: str = ""
    """Identifies the roll. If empty, it is derived from the digest, generation and roller, so that
    a repeated order finds its first run."""


class RollResult(NamedTuple):
    """An accepted roll."""

    head: Head
    repeated: bool
    """Whether an earlier run of the same order had already succeeded."""


class _StoredHead(NamedTuple):
    """The stored head and its revision when read."""

    head: Head | None
    mod_revision: int

    @property
    def generation(self) -> int:
        return self.head.generation if self.head else 0


async def roll_bundle(
    kv: Kv, order: RollOrder, key: SigningKey, settings: BundleSettings
) -> RollResult:
    """Roll a published and signed bundle; raises the same errors as `submit_head`."""
    nonce = order.nonce or _derived_nonce(order, key.signer)
    # If an earlier run of this order succeeded, the roll is done, even if a signer's key has been
    # withdrawn since.
    if (own_head := await _find_own_roll(kv, order.from_generation + 1, nonce)) is not None:
        return RollResult(own_head, repeated=True)
    await _check_generation(kv, order.from_generation)
    signatures = await load_signatures(kv, order.digest)
    head = Head(
        generation=order.from_generation + 1,
        digest=order.digest,
        previous_generation=order.from_generation,
        roller=key.signer,
        nonce=nonce,
        signatures=tuple(item for item in signatures if _counts(settings, order.digest, item))
        or signatures,
    )
    return await submit_head(kv, sign_head(key, head), settings)


async def submit_head(kv: Kv, head: Head, settings: BundleSettings) -> RollResult:
    """Write a head signed by its roller.

    Raises
    ------
    RollLost
        When the active generation isn't the one that the operator saw; it names who rolled.
    UnknownBundle, DigestMismatch, BadEncoding
        When the stored bundle is incomplete or altered.
    TooFewSignatures, UnknownSigner, WithdrawnSigner, WrongSignature
        When the roller isn't trusted or too few trusted signers have signed.
    MaybeApplied
        When the response was lost and reading back failed too; the order can be repeated safely.

    Notes
    -----
    A write whose response was lost may still take effect later, so not finding it proves nothing.
    The same write is sent again. It expects the revision that was read, so at most one copy takes
    effect. Its nonce is looked up under the history key of its generation, which is immutable, so
    it is found even if other operators have rolled since.
    """
    verify_head(settings, head)
    await load_bundle(kv, head.digest)
    lost_response: MaybeApplied | None = None
    for attempt in range(MAX_ROLL_ATTEMPTS):
        try:
            if (own_head := await _find_own_roll(kv, head.generation, head.nonce)) is not None:
                return RollResult(own_head, repeated=attempt == 0)
            stored = await _check_generation(kv, head.previous_generation)
            await _write_head(kv, head, stored.mod_revision)
            return RollResult(head, repeated=False)
        except MaybeApplied as cause:
            lost_response = cause
        except KvUnavailable as cause:
            if lost_response is None:
                raise
            lost_response.__context__ = cause
        except RollLost:
            raise
        except KvConflict:
            continue
    raise MaybeApplied("the roll may have taken effect; repeat the same order") from lost_response


async def read_head(kv: Kv) -> Head | None:
    """Return the stored head, unverified; ``None`` before the first roll."""
    return (await _read_stored_head(kv)).head


async def read_generation(kv: Kv, generation: int) -> Head | None:
    """Return the head of a generation, unverified; ``None`` if it was never rolled."""
    entry = await within_budget(lambda: kv.get(history_key(generation), purpose=PURPOSE_OPERATOR))
    return decode_head(entry.value) if entry else None


async def read_history(kv: Kv, limit: int = DEFAULT_HISTORY) -> list[Head]:
    """Return the latest heads, newest first; those that can't be decoded are left out."""
    newest = (await _read_stored_head(kv)).generation
    heads: list[Head] = []
    for generation in range(newest, max(newest - limit, 0), -1):
        try:
            head = await read_generation(kv, generation)
        except BadEncoding:
            continue
        if head is not None:
            heads.append(head)
    return heads


async def _check_generation(kv: Kv, generation: int) -> _StoredHead:
    """Read the head; raises `RollLost` if it has another generation."""
    stored = await _read_stored_head(kv)
    if stored.generation != generation:
        raise await _roll_lost_error(kv, generation, stored)
    return stored


async def _write_head(kv: Kv, head: Head, expected_revision: int) -> None:
    data = encode_head(head)
    writes = [
        KvWrite(history_key(head.generation), data, expected_revision=0),
        KvWrite(HEAD, data, expected_revision=expected_revision),
    ]
    await within_budget(lambda: kv.write(writes, purpose=PURPOSE_OPERATOR))


async def _find_own_roll(kv: Kv, generation: int, nonce: str) -> Head | None:
    found = await read_generation(kv, generation)
    return found if found is not None and found.nonce == nonce else None


async def _read_stored_head(kv: Kv) -> _StoredHead:
    entry: KvEntry | None = await within_budget(lambda: kv.get(HEAD, purpose=PURPOSE_OPERATOR))
    return (
        _StoredHead(decode_head(entry.value), entry.mod_revision) if entry else _StoredHead(None, 0)
    )


async def _roll_lost_error(kv: Kv, generation: int, stored: _StoredHead) -> RollLost:
    winner = await read_generation(kv, generation + 1)
    if winner is None:
        return RollLost(f"generation {stored.generation} is active, not {generation}", stored.head)
    return RollLost(
        f"{winner.roller} rolled {winner.digest} as generation {winner.generation} first;"
        f" generation {stored.generation} is active",
        winner,
    )


def _counts(settings: BundleSettings, digest: str, signature: Signature) -> bool:
    try:
        verify_signature(settings, digest, signature)
    except CodedError:
        return False
    return True


def _derived_nonce(order: RollOrder, roller: str) -> str:
    named = canonical_bytes([order.digest, order.from_generation, roller])
    return hashlib.sha256(named).hexdigest()[:NONCE_CHARACTERS]
