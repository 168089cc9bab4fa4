"""Odd records of another writer among those of bundles in the KV service."""

from __future__ import annotations

import json
from typing import Any

import pytest
import trio

from sassafrastally.control.head import Head, encode_head, sign_head
from sassafrastally.control.keys import HEAD, LIVE, SIGNATURES, manifest_key, watcher_key
from sassafrastally.control.signing import sign_digest
from sassafrastally.stores import ANY_REVISION, KvWrite

DIGEST = "ab" * 32
SOUND_HEAD: dict[str, Any] = {
    "generation": 3,
    "digest": DIGEST,
    "previous_generation": 2,
    "roller": "ana",
    "nonce": "n",
    "signatures": [{"signer": "ana", "signature": "00" * 64}],
    "roll_signature": "00" * 64,
}
ODD_VALUES: list[object] = [
    None,
    True,
    -1,
    0,
    2**53,
    2**64,
    10**400,
    1.5,
    1e308,
    "",
    "\0",
    "\ud800",
    "٣",
    "x" * 10_000,
    [],
    ["\ud800"],
    [[]] * 100,
    {},
    {"signer": "\ud800", "signature": "\ud800"},
    [{"signer": "\ud800", "signature": "\ud800"}],
    [{"signer": "ana", "signature": "٠" * 128}] * 100,
]
ODD_BYTES: list[bytes] = [
    b"",
    b"\0",
    b"\xff\xfe",
    b"\xef\xbb\xbf{}",
    b"{}",
    b"null",
    b"[" * 30_000 + b"]" * 30_000,
    b'{"generation": ' + b"[" * 7_000 + b"]" * 7_000 + b"}",
    *(b'{"generation": ' + b"[" * depth + b"]" * depth + b"}" for depth in range(400, 1000, 9)),
    b'{"generation": ' + b"9" * 5_000 + b"}",
    b'{"generation": 1, "generation": 1e400}',
    b'{"generation": NaN}',
    b"x" * 1_000_000,
]


def odd_heads() -> list[bytes]:
    fields = [{**SOUND_HEAD, name: value} for name in SOUND_HEAD for value in ODD_VALUES]
    fields += [{**SOUND_HEAD, "more": 1}, {**SOUND_HEAD, "generation": 2**53}]
    fields.append({**SOUND_HEAD, "generation": 2**53, "previous_generation": 2**53 - 1})
    return [*ODD_BYTES, *(json.dumps(value).encode() for value in fields)]


def odd_signatures() -> list[bytes]:
    sound = {"signer": "ana", "signature": "00" * 64}
    fields = [{**sound, name: value} for name in sound for value in ODD_VALUES]
    return [*ODD_BYTES, *(json.dumps(value).encode() for value in fields)]


def put(fleet: Any, key: str, value: bytes | None) -> None:
    fleet.model.transact([KvWrite(key, value, ANY_REVISION)])


class TestOddHeads:
    async def test_odd_heads_end_no_process(self, autojump_clock, fleet, make_bundle_of):
        """Guards against processes that end, or read without a pause, by one odd head.

        An unpaired surrogate passed the decoder and failed in the encoding of the signed bytes, in
        a task of the kernel. A starting process read a head that it couldn't decode again at once.
        """
        await fleet.add(4)
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        sound = fleet.model.range(HEAD).value
        for number, odd in enumerate(odd_heads()):
            put(fleet, HEAD, odd)
            await trio.sleep(0.2)
            if number % 20 == 0:
                fleet.nodes[number // 20 % 4].kill()
                await fleet.nodes[number // 20 % 4].start()
        put(fleet, HEAD, sound)
        await fleet.wait_everywhere(1, within_s=10.0)
        await trio.sleep(90)  # The restarted processes claim their slots of the watch again.
        await fleet.roll(make_bundle_of(share=2.0))
        await fleet.wait_everywhere(2, within_s=5.0)

    async def test_a_forged_generation_does_not_outlast_its_head(
        self, autojump_clock, fleet, make_bundle_of
    ):
        """Guards against processes that ignore all later rolls after one forged head.

        The generation of each head of the KV service became the least that a process accepts,
        before the head was verified; the operators' next rolls had a lower one.
        """
        await fleet.add(3)
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        await trio.sleep(5)
        sound = fleet.model.range(HEAD).value
        forged = {**SOUND_HEAD, "generation": 2**53, "previous_generation": 2**53 - 1}
        put(fleet, HEAD, json.dumps(forged).encode())
        await trio.sleep(1)
        put(fleet, HEAD, sound)
        await fleet.roll(make_bundle_of(share=2.0))
        await fleet.wait_everywhere(2, within_s=5.0)

    async def test_an_odd_head_that_comes_and_goes_delays_no_roll(
        self, autojump_clock, fleet, make_bundle_of
    ):
        """Guards against a watch that stops at odd changes between sound ones."""
        await fleet.add(4)
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        await trio.sleep(5)
        for generation in range(2, 7):
            sound = fleet.model.range(HEAD).value
            for odd in odd_heads()[::7]:
                put(fleet, HEAD, odd)
                put(fleet, HEAD, sound)
                put(fleet, HEAD, None)
                put(fleet, HEAD, sound)
                await trio.sleep(0)
            await fleet.roll(make_bundle_of(share=float(generation)))
            await fleet.wait_everywhere(generation, within_s=5.0)

    async def test_refused_heads_are_logged_within_a_bound(
        self, autojump_clock, fleet, make_bundle_of
    ):
        """Guards against a log that grows with each change of an odd head."""
        await fleet.add(2, ["cordon"])
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        await trio.sleep(5)
        began_s = trio.current_time()
        for number in range(3_000):
            put(fleet, HEAD, json.dumps({**SOUND_HEAD, "roller": f"r{number}"}).encode())
            await trio.sleep(0.01)
        elapsed_s = trio.current_time() - began_s
        for node in fleet.nodes:
            refused = fleet.events(node, "BundleHeadRefused")
            assert 0 < len(refused) <= 60 + elapsed_s / 5
            assert all(len(fields["reason"]) < 1_000 for fields in refused)

    async def test_odd_heads_of_peers_end_no_process(self, autojump_clock, fleet, make_bundle_of):
        """Guards against a fleet that ends by the notices of one faulty process."""
        await fleet.add(3)
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        faulty = fleet.nodes[2].service
        head = faulty._head_bytes
        for odd in odd_heads():
            faulty._head_bytes = odd[:10_000]
            for link in faulty._links():
                await faulty._notify(link, faulty._head_bytes)
        faulty._head_bytes = head
        await fleet.roll(make_bundle_of(share=2.0))
        await fleet.wait_everywhere(2, within_s=5.0)


class TestOddSignatures:
    async def test_odd_signatures_end_no_process_and_delay_no_roll(
        self, autojump_clock, fleet, make_bundle_of
    ):
        """Guards against processes that end by a signature, a key or a part of another writer."""
        await fleet.add(3)
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        await trio.sleep(5)
        keys = [f"{SIGNATURES}{DIGEST}/ana", SIGNATURES + "x", SIGNATURES + DIGEST, LIVE + "odd"]
        keys += [SIGNATURES + "ä" * 90, SIGNATURES + "//", f"{SIGNATURES}{DIGEST}/ana/b"]
        for value in odd_signatures():
            for key in keys:
                put(fleet, key, value)
            await trio.sleep(0.05)
        for key in keys:
            put(fleet, key, None)
        await fleet.roll(make_bundle_of(share=2.0))
        await fleet.wait_everywhere(2, within_s=5.0)
        for node in fleet.nodes:
            assert len(fleet.events(node, "BundleHeadRefused")) <= 60

    @pytest.mark.parametrize("part", [b"[" * 30_000, b"", b"\xff", b"{}", b"9" * 5_000])
    async def test_a_signed_bundle_that_cannot_be_decoded_leaves_the_present_one(
        self, autojump_clock, fleet, make_bundle_of, part
    ):
        """Guards against processes that end by parts that don't match their digests."""
        await fleet.add(3)
        await fleet.roll(make_bundle_of())
        await fleet.wait_everywhere(1, within_s=10.0)
        key = fleet.keys[0]
        sound = fleet.model.range(HEAD).value
        put(fleet, manifest_key(DIGEST), part)
        signed = Head(2, DIGEST, 1, key.signer, "odd", (sign_digest(key, DIGEST),))
        put(fleet, HEAD, encode_head(sign_head(key, signed)))
        await trio.sleep(10)
        assert {node.service.generation for node in fleet.nodes} == {1}
        put(fleet, HEAD, sound)
        await fleet.roll(make_bundle_of(share=2.0))
        await fleet.roll(make_bundle_of(share=3.0))
        await fleet.wait_everywhere(3, within_s=20.0)


class TestOddWatchers:
    async def test_slots_of_another_writer_leave_no_data_centre_without_a_watch(
        self, autojump_clock, fleet, make_bundle_of
    ):
        """Guards against a fleet that learns of a roll a minute late.

        Entries without a lease in all slots of a data centre kept its processes from watching the
        KV service for good.
        """
        for data_centre in ("cordon", "prado"):
            for index in range(2):
                put(fleet, watcher_key(data_centre, index), b"\xff" * 10)
            put(fleet, watcher_key(data_centre, 7) + "/odd", b"odd")
        await fleet.add(4)
        await fleet.roll(make_bundle_of())
        await trio.sleep(90)
        watchers = [node for node in fleet.nodes if node.service.status()["is_watcher"]]
        assert len(watchers) == 4
        await fleet.roll(make_bundle_of(share=2.0))
        await fleet.wait_everywhere(2, within_s=5.0)
