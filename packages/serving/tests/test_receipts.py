"""Tests of sealed receipts and their plain-text explanations."""

from __future__ import annotations

import base64
import json
import zlib
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.core.secret import Secret
from sassafrastally.serving.explanations import explain
from sassafrastally.serving.receipts import (
    MAX_RECEIPT_CHARS,
    KeyRing,
    ReceiptFacts,
    ReceiptForged,
    ReceiptKey,
    ReceiptKeysInvalid,
    ReceiptKeyUnknown,
    ReceiptKeyWithdrawn,
    ReceiptMalformed,
    ReceiptService,
    ReceiptSettings,
    open_receipt,
    seal_receipt,
)
from sassafrastally.serving.refusals import REFUSALS

NEW = ReceiptKey("2026-12", Secret("a1" * 32))
OLD = ReceiptKey("2026-06", Secret("b2" * 32))
NONCE = b"n" * 12
ERRORS = (
    ReceiptMalformed,
    ReceiptForged,
    ReceiptKeyUnknown,
    ReceiptKeyWithdrawn,
)


def facts_of(code: str, **changes: object) -> ReceiptFacts:
    kind = REFUSALS[code]
    facts = ReceiptFacts(
        request_id=f"{Random(code).getrandbits(128):032x}",
        code=code,
        outcome=kind.outcome,
        limit=1200.0 if kind.limit_unit else 0.0,
        measured=1532.25 if kind.limit_unit else 0.0,
        unit=kind.limit_unit,
        retry_after_s=2.5 if kind.status in (429, 503) else 0.0,
        generation=418,
        digest=f"{Random(7).getrandbits(256):064x}",
        wall_s=1_796_200_000.125,
        customer="yeso-justo",
        vm="entry-sala-prado-2",
        data_centre="sala-prado",
    )
    return facts._replace(**changes)


RECEIPT = seal_receipt(KeyRing([NEW]), facts_of("rate-limit"), NONCE)


class TestSeal:
    @pytest.mark.parametrize("code", sorted(REFUSALS))
    def test_every_code_opens_on_another_entry(self, code):
        """After all VMs were replaced, the keys in the settings suffice to open a receipt."""
        text = ReceiptService(ReceiptSettings((NEW, OLD))).seal(facts_of(code))
        assert ReceiptService(ReceiptSettings((NEW,))).open(text) == facts_of(code)
        assert len(text) < MAX_RECEIPT_CHARS

    def test_customer_and_figures_are_not_readable(self):
        assert "yeso" not in RECEIPT
        sealed = seal_receipt(KeyRing([NEW]), facts_of("rate-limit"), b"m" * 12)
        assert sealed != RECEIPT

    def test_longest_names_still_fit(self):
        random = Random(1)
        name = "".join(chr(random.randrange(0x1F300, 0x1F5FF)) for _ in range(300))
        facts = facts_of("concurrency-limit", customer=name, vm=name, data_centre=name)
        text = seal_receipt(KeyRing([NEW]), facts, NONCE)
        assert len(text) < MAX_RECEIPT_CHARS
        opened = open_receipt(KeyRing([NEW]), text)
        assert name.startswith(opened.customer)
        assert len(opened.customer) == 12

    def test_first_key_seals_and_all_keys_open(self):
        text = seal_receipt(KeyRing([OLD]), facts_of("stopping"), NONCE)
        assert open_receipt(KeyRing([NEW, OLD]), text) == facts_of("stopping")
        assert KeyRing([NEW, OLD]).sealing_key_id == "2026-12"
        assert KeyRing([NEW._replace(withdrawn=True), OLD]).sealing_key_id == "2026-06"


class TestOpen:
    def test_truncated_receipt(self):
        for length in range(len(RECEIPT)):
            with pytest.raises(ReceiptMalformed):
                open_receipt(KeyRing([NEW]), RECEIPT[:length])

    def test_forged_by_another_secret(self):
        """An attacker seals a receipt with another secret under the ID of the fleet's key."""
        other = KeyRing([NEW._replace(secret=Secret("c3" * 32))])
        with pytest.raises(ReceiptForged):
            open_receipt(KeyRing([NEW]), seal_receipt(other, facts_of("stopping"), NONCE))

    def test_each_changed_character_is_detected(self):
        for index, old in enumerate(RECEIPT):
            new = "A" if old != "A" else "B"
            with pytest.raises(ERRORS):
                open_receipt(KeyRing([NEW]), RECEIPT[:index] + new + RECEIPT[index + 1 :])

    def test_changed_content_is_forged(self):
        middle = len(RECEIPT) - 30
        new = "A" if RECEIPT[middle] != "A" else "B"
        with pytest.raises(ReceiptForged):
            open_receipt(KeyRing([NEW]), RECEIPT[:middle] + new + RECEIPT[middle + 1 :])

    def test_non_canonical_base64(self):
        """The last character has unused bits; a receipt must have only one valid text."""
        assert RECEIPT.endswith("Q")
        with pytest.raises(ReceiptMalformed):
            open_receipt(KeyRing([NEW]), RECEIPT[:-1] + "R")

    def test_changed_key_id_is_forged(self):
        keys = KeyRing([NEW, OLD])
        with pytest.raises(ReceiptForged):
            open_receipt(keys, RECEIPT.replace(NEW.key_id, OLD.key_id))

    def test_unknown_key(self):
        with pytest.raises(ReceiptKeyUnknown):
            open_receipt(KeyRing([OLD]), RECEIPT)

    def test_withdrawn_key(self):
        """Receipts of a withdrawn key are rejected, as its secret may have been stolen."""
        with pytest.raises(ReceiptKeyWithdrawn):
            open_receipt(KeyRing([NEW._replace(withdrawn=True), OLD]), RECEIPT)

    def test_contents_are_limited_even_if_authenticated(self):
        ring = KeyRing([NEW])
        for content in (b"[" * 100_000, json.dumps(["x"] * 13).encode(), b"{}", b"\xff"):
            packed = zlib.compress(content, 9)
            length = (12 + len(packed) + 16) * 4 + 2
            header = f"sr1.{NEW.key_id}.{length // 3}"
            sealed = ring.cipher(NEW.key_id).encrypt(NONCE, packed, header.encode())
            with pytest.raises(ReceiptMalformed):
                open_receipt(ring, f"{header}.{_base64(NONCE + sealed)}")

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.one_of(st.text(), st.from_regex(r"sr1\.2026-12\.\d{1,4}\.[\w-]*")))
    def test_arbitrary_text_raises_receipt_errors(self, text):
        with pytest.raises(ERRORS):
            open_receipt(KeyRing([NEW]), text)


class TestKeyRing:
    @pytest.mark.parametrize(
        "keys",
        [
            (NEW, NEW),
            (NEW._replace(key_id="Has.Dot"),),
            (NEW._replace(secret=Secret("a1" * 16)),),
            (NEW._replace(secret=Secret("zz" * 32)),),
        ],
    )
    def test_invalid_keys_are_rejected_without_leaking_secrets(self, keys):
        with pytest.raises(ReceiptKeysInvalid) as caught:
            KeyRing(keys)
        assert keys[0].secret not in str(caught.value)

    def test_without_keys_nothing_is_sealed(self):
        with pytest.raises(ReceiptKeysInvalid):
            ReceiptService(ReceiptSettings()).seal(facts_of("stopping"))


class TestExplain:
    @pytest.mark.parametrize("code", sorted(REFUSALS))
    def test_plain_words(self, code, snapshot):
        assert explain(facts_of(code)) == snapshot

    def test_facts_of_a_later_version(self, snapshot):
        later = facts_of("stopping")._replace(
            code="new-code", outcome="new", generation=0, customer=""
        )
        assert explain(later) == snapshot


def _base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")
