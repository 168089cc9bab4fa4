"""Rolling: one compare-and-swap that puts a signed bundle in force under the next generation."""

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
    """Another roll came first: this one had no effect and will have none."""

    def __init__(self, message: str, winner: Head | None = None) -> None:
        super().__init__(message)
        self.winner = winner
        """The head that took the generation; ``None`` when it isn't known."""


class RollOrder(NamedTuple):
    """What an operator wants to roll."""

    digest: str
    from_generation: int
    """Generation that the operator saw in force; 0 when there was none."""
    nonce: str = ""
    """Names the roll; derived from digest, generation and roller when empty, so that the same
    order given again finds its own first run."""


class RollResult(NamedTuple):
    """An accepted roll."""

    head: Head
    repeated: bool
    """Whether an earlier run of the same order had already taken effect."""


class _Seen(NamedTuple):
    """The head key as it was read."""

    head: Head | None
    mod_revision: int

    @property
    def generation(self) -> int:
        return self.head.generation if self.head else 0


async def roll_bundle(
    kv: Kv, order: RollOrder, key: SigningKey, settings: BundleSettings
) -> RollResult:
    """Put a published and signed bundle in force; raises as `submit_head` does."""
    nonce = order.nonce or _derived_nonce(order, key.signer)
    # A repeat that finds itself is done, whatever has become of its signers since.
    if (own := await _own_roll(kv, order.from_generation + 1, nonce)) is not None:
        return RollResult(own, repeated=True)
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
    """Write a head that its roller has signed.

    Raises
    ------
    RollLost
        When another generation than the operator saw is in force; it names who rolled it.
    UnknownBundle, DigestMismatch, BadEncoding
        When the bundle isn't stored whole and unaltered.
    TooFewSignatures, UnknownSigner, WithdrawnSigner, WrongSignature
        When the roller or the signers don't count.
    MaybeApplied
        When the answer was lost and reading back fails too; the same order may be given again.

    Notes
    -----
    A write whose answer was lost may still take effect later, so its absence proves nothing. The
    same write is sent again: it expects the revision that was read, so of all its copies one at
    most has an effect. Its nonce is looked for under the key of its generation, which nobody
    replaces: it is found there even when others have rolled since.
    """
    verify_head(settings, head)
    await load_bundle(kv, head.digest)
    lost_answer: MaybeApplied | None = None
    for attempt in range(MAX_ROLL_ATTEMPTS):
        try:
            if (own := await _own_roll(kv, head.generation, head.nonce)) is not None:
                return RollResult(own, repeated=attempt == 0)
            seen = await _check_generation(kv, head.previous_generation)
            await _write_head(kv, head, seen.mod_revision)
            return RollResult(head, repeated=False)
        except MaybeApplied as cause:
            lost_answer = cause
        except KvUnavailable as cause:
            if lost_answer is None:
                raise
            lost_answer.__context__ = cause
        except RollLost:
            raise
        except KvConflict:
            continue
    raise MaybeApplied("the roll may have taken effect: give the same order again") from lost_answer


async def read_head(kv: Kv) -> Head | None:
    """Return the head that the KV service holds, unverified; ``None`` before the first roll."""
    return (await _read_head(kv)).head


async def read_generation(kv: Kv, generation: int) -> Head | None:
    """Return the head of a generation, unverified; ``None`` when it was never rolled."""
    entry = await within_budget(lambda: kv.get(history_key(generation), purpose=PURPOSE_OPERATOR))
    return decode_head(entry.value) if entry else None


async def read_history(kv: Kv, limit: int = DEFAULT_HISTORY) -> list[Head]:
    """Return the last heads, newest first; generations that can't be decoded are left out."""
    newest = (await _read_head(kv)).generation
    heads: list[Head] = []
    for generation in range(newest, max(newest - limit, 0), -1):
        try:
            head = await read_generation(kv, generation)
        except BadEncoding:
            continue
        if head is not None:
            heads.append(head)
    return heads


async def _check_generation(kv: Kv, generation: int) -> _Seen:
    """Return the head as read; raises `RollLost` when it has another generation."""
    seen = await _read_head(kv)
    if seen.generation != generation:
        raise await _lost(kv, generation, seen)
    return seen


async def _write_head(kv: Kv, head: Head, expected_revision: int) -> None:
    data = encode_head(head)
    writes = [
        KvWrite(history_key(head.generation), data, expected_revision=0),
        KvWrite(HEAD, data, expected_revision=expected_revision),
    ]
    await within_budget(lambda: kv.write(writes, purpose=PURPOSE_OPERATOR))


async def _own_roll(kv: Kv, generation: int, nonce: str) -> Head | None:
    found = await read_generation(kv, generation)
    return found if found is not None and found.nonce == nonce else None


async def _read_head(kv: Kv) -> _Seen:
    entry: KvEntry | None = await within_budget(lambda: kv.get(HEAD, purpose=PURPOSE_OPERATOR))
    return _Seen(decode_head(entry.value), entry.mod_revision) if entry else _Seen(None, 0)


async def _lost(kv: Kv, generation: int, seen: _Seen) -> RollLost:
    winner = await read_generation(kv, generation + 1)
    if winner is None:
        return RollLost(f"generation {seen.generation} is in force, not {generation}", seen.head)
    return RollLost(
        f"{winner.roller} rolled {winner.digest} as generation {winner.generation} first;"
        f" generation {seen.generation} is in force",
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
