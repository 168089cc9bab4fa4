"""Publishing, signing and rolling, with concurrent operators and lost responses."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

import pytest
import trio

from sassafrastally.control.keys import HEAD, group_key, manifest_key, signature_key
from sassafrastally.control.operations import diff_stored, read_status
from sassafrastally.control.parts import DigestMismatch, decode_manifest, pack_bundle
from sassafrastally.control.publish import (
    StoredAltered,
    UnknownBundle,
    publish_bundle,
    sign_bundle,
)
from sassafrastally.control.rolling import (
    RollLost,
    RollOrder,
    read_head,
    read_history,
    roll_bundle,
)
from sassafrastally.control.signing import (
    TooFewSignatures,
    UnknownSigner,
    WithdrawnSigner,
    make_key,
)
from sassafrastally.stores import KvUnavailable, KvWrite, MaybeApplied
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel


class Desk(NamedTuple):
    """KV service, keys and settings of two operators."""

    model: KvModel
    kv: FakeKv
    ana: Any
    bruno: Any
    settings: Any

    async def publish(self, bundle, *signers):
        digest = (await publish_bundle(self.kv, bundle)).digest
        for signer in signers:
            await sign_bundle(self.kv, digest, signer, self.settings)
        return digest

    async def roll(self, digest, seen, roller, nonce: str = ""):
        order = RollOrder(digest, seen, nonce)
        return await roll_bundle(self.kv, order, roller, self.settings)


@pytest.fixture
async def desk(trust) -> Desk:
    ana, bruno = make_key("ana"), make_key("bruno")
    model = KvModel(Random(1))
    return Desk(model, FakeKv(model), ana, bruno, trust([ana, bruno]))


class TestPublishing:
    async def test_publishing_twice_writes_once(self, autojump_clock, desk, make_bundle_of):
        first = await publish_bundle(desk.kv, make_bundle_of())
        again = await publish_bundle(desk.kv, make_bundle_of())
        assert again.digest == first.digest
        assert (first.written, again.written) == (first.values, 0)

    async def test_lost_responses(self, autojump_clock, desk, make_bundle_of):
        desk.model.set_faults(KvFaults(lose_answers=2, drop_writes=1))
        assert (await publish_bundle(desk.kv, make_bundle_of())).digest
        desk.model.set_faults(KvFaults())
        assert await desk.publish(make_bundle_of(), desk.ana)

    async def test_altered_part_is_detected(self, autojump_clock, desk, make_bundle_of):
        """Bytes in the KV service are altered between publishing and signing or rolling."""
        digest = await desk.publish(make_bundle_of(), desk.ana)
        packed = pack_bundle(make_bundle_of())
        group = decode_manifest(digest, packed.manifest).groups[1]
        altered = packed.parts[group[0]].replace(b"c00001", b"c00009")
        await desk.kv.write([KvWrite(group_key(group), altered, -1)], purpose="admin")
        with pytest.raises(DigestMismatch):
            await sign_bundle(desk.kv, digest, desk.bruno, desk.settings)
        with pytest.raises(DigestMismatch):
            await desk.roll(digest, 0, desk.ana)
        with pytest.raises(StoredAltered):
            await publish_bundle(desk.kv, make_bundle_of())
        assert await read_head(desk.kv) is None


class TestRolling:
    async def test_concurrent_rolls(self, autojump_clock, desk, make_bundle_of):
        """Ana and Bruno both see generation 0 and roll different bundles at the same moment.

        One roll succeeds; the other operator is told who won and that their roll had no effect.
        """
        digests = {
            "ana": await desk.publish(make_bundle_of(), desk.ana),
            "bruno": await desk.publish(make_bundle_of(share=2.0), desk.bruno),
        }
        desk.model.set_faults(KvFaults(delay_s=0.05))
        results: dict[str, Any] = {}

        async def roll(key):
            try:
                results[key.signer] = await desk.roll(digests[key.signer], 0, key)
            except RollLost as lost:
                results[key.signer] = lost

        async with trio.open_nursery() as nursery:
            nursery.start_soon(roll, desk.ana)
            nursery.start_soon(roll, desk.bruno)
        head = await read_head(desk.kv)
        assert head is not None
        assert head.generation == 1
        loser = "bruno" if head.roller == "ana" else "ana"
        assert results[head.roller].head == head
        assert isinstance(results[loser], RollLost)
        assert results[loser].winner == head
        assert head.roller in str(results[loser])

    async def test_repeat_after_lost_response(self, autojump_clock, desk, make_bundle_of):
        """A roll succeeds, its response is lost, and another roll follows before it is repeated.

        A blind repeat would reactivate the older bundle; reporting `RollLost` would wrongly imply
        that the roll never took effect. The repeat finds its own nonce under its generation.
        """
        first = await desk.publish(make_bundle_of(), desk.ana)
        second = await desk.publish(make_bundle_of(share=2.0), desk.bruno)
        desk.model.set_faults(KvFaults(lose_answers=1))
        result = await desk.roll(first, 0, desk.ana)
        assert result.head.generation == 1
        await desk.roll(second, 1, desk.bruno)
        repeat = await desk.roll(first, 0, desk.ana)
        assert repeat.repeated
        assert repeat.head.generation == 1
        assert [head.generation for head in await read_history(desk.kv)] == [2, 1]

    async def test_lost_response_and_service_down(self, autojump_clock, desk, make_bundle_of):
        """The response is lost and the service goes down: the outcome is reported as unknown."""
        digest = await desk.publish(make_bundle_of(), desk.ana)
        kv = desk.kv

        async def write_and_go_down(writes, *, purpose) -> int:
            desk.model.set_faults(KvFaults(lose_answers=1))
            try:
                return await FakeKv.write(kv, writes, purpose=purpose)
            finally:
                desk.model.set_faults(KvFaults(down=True))

        kv.write = write_and_go_down  # type: ignore[method-assign]
        with pytest.raises(MaybeApplied):
            await desk.roll(digest, 0, desk.ana)
        del kv.write
        with pytest.raises(KvUnavailable):
            await desk.roll(digest, 0, desk.ana)
        desk.model.set_faults(KvFaults())
        assert (await desk.roll(digest, 0, desk.ana)).repeated

    async def test_signing_during_a_roll(self, autojump_clock, desk, make_bundle_of):
        """Bruno signs while Ana rolls: both succeed and neither overwrites the other."""
        digest = await desk.publish(make_bundle_of(), desk.ana)
        desk.model.set_faults(KvFaults(delay_s=0.05))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(desk.roll, digest, 0, desk.ana)
            nursery.start_soon(sign_bundle, desk.kv, digest, desk.bruno, desk.settings)
        status = await read_status(desk.kv, desk.settings)
        assert status.head is not None
        assert status.head.generation == 1
        assert {item.signer for item in status.signatures if item.counts} == {"ana", "bruno"}

    async def test_rerolled_bundle_gets_a_new_generation(
        self, autojump_clock, desk, make_bundle_of
    ):
        first = await desk.publish(make_bundle_of(), desk.ana)
        second = await desk.publish(make_bundle_of(share=2.0), desk.ana)
        for seen, digest in enumerate((first, second, first)):
            await desk.roll(digest, seen, desk.ana)
        history = await read_history(desk.kv)
        assert [(head.generation, head.digest) for head in history] == [
            (3, first),
            (2, second),
            (1, first),
        ]
        changes = await diff_stored(desk.kv, "2", "head")
        assert [change.key for change in changes] == ["customers.c00000.share"]


class TestRefusedRoll:
    async def test_unsigned_or_unknown(self, autojump_clock, desk, make_bundle_of):
        digest = await desk.publish(make_bundle_of())
        with pytest.raises(TooFewSignatures):
            await desk.roll(digest, 0, desk.ana)
        with pytest.raises(UnknownBundle):
            await sign_bundle(desk.kv, "0" * 64, desk.ana, desk.settings)
        with pytest.raises(UnknownSigner):
            await sign_bundle(desk.kv, digest, make_key("mallory"), desk.settings)
        assert await read_head(desk.kv) is None

    async def test_withdrawn_signer_and_roller(self, autojump_clock, desk, make_bundle_of):
        """Ana's key is withdrawn after she signed: neither her signature nor her roll counts."""
        digest = await desk.publish(make_bundle_of(), desk.ana)
        withdrawn = desk._replace(settings=desk.settings._replace(withdrawn_signers=("ana",)))
        with pytest.raises(WithdrawnSigner):
            await withdrawn.roll(digest, 0, desk.bruno)
        await sign_bundle(desk.kv, digest, desk.bruno, withdrawn.settings)
        with pytest.raises(WithdrawnSigner):
            await withdrawn.roll(digest, 0, desk.ana)
        assert (await withdrawn.roll(digest, 0, desk.bruno)).head.generation == 1

    async def test_two_signatures_required(self, autojump_clock, desk, make_bundle_of):
        strict = desk._replace(settings=desk.settings._replace(required_signatures=2))
        digest = await strict.publish(make_bundle_of(), desk.ana)
        copied = await desk.kv.get(signature_key(digest, "ana"), purpose="admin")
        assert copied is not None
        await desk.kv.write(
            [KvWrite(signature_key(digest, "zoe"), copied.value, 0)], purpose="admin"
        )
        with pytest.raises(TooFewSignatures, match="1 of 2"):
            await strict.roll(digest, 0, desk.ana)
        await sign_bundle(desk.kv, digest, desk.bruno, strict.settings)
        assert (await strict.roll(digest, 0, desk.ana)).head.generation == 1

    async def test_missing_part(self, autojump_clock, desk, make_bundle_of):
        digest = await desk.publish(make_bundle_of(), desk.ana)
        await desk.kv.write([KvWrite(manifest_key(digest), None, -1)], purpose="admin")
        with pytest.raises(UnknownBundle):
            await desk.roll(digest, 0, desk.ana)
        assert await desk.kv.get(HEAD, purpose="admin") is None
