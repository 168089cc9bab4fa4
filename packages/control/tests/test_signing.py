"""Signing keys, signatures and signed heads."""

from __future__ import annotations

import pytest

from sassafrastally.control.head import Head, sign_head, verify_head
from sassafrastally.control.signing import (
    BadSigningKey,
    Signature,
    TooFewSignatures,
    WrongSignature,
    decode_key,
    encode_key,
    make_key,
    sign_digest,
    verify_signature,
    verify_signatures,
)

DIGEST = "ab" * 32
OTHER = "cd" * 32


class TestKey:
    def test_secret_is_never_in_repr(self):
        key = make_key("ana")
        secret = str(key.secret)
        assert secret not in repr(key)
        assert secret not in f"{key}"
        read = decode_key(encode_key(key))
        assert read == key
        assert secret not in repr(read)

    @pytest.mark.parametrize(
        "text", ["=", "signer = 1\nsecret = 7", 'signer = "a"\nsecret = "hush"', 'signer = "a"']
    )
    def test_error_for_malformed_file_contains_no_content(self, text):
        with pytest.raises(BadSigningKey) as caught:
            decode_key(text)
        assert "hush" not in str(caught.value)

    def test_invalid_signer_name(self):
        for name in ("", "a b", "a/b", 'a"'):
            with pytest.raises(BadSigningKey):
                make_key(name)


class TestSignature:
    def test_duplicate_signature_counts_once(self, trust):
        """A roller includes one signature twice so that the head seems signed by two signers."""
        ana = make_key("ana")
        signature = sign_digest(ana, DIGEST)
        with pytest.raises(TooFewSignatures):
            verify_signatures(trust([ana], required_signatures=2), DIGEST, (signature, signature))

    def test_signature_is_bound_to_digest_signer_and_context(self, trust):
        ana, bruno = make_key("ana"), make_key("bruno")
        settings = trust([ana, bruno])
        signature = sign_digest(ana, DIGEST)
        verify_signature(settings, DIGEST, signature)
        head = sign_head(ana, Head(1, DIGEST, 0, "ana", "n", (signature,)))
        verify_head(settings, head)
        for digest, wrong in (
            (OTHER, signature),
            (DIGEST, signature._replace(signer="bruno")),
            (DIGEST, Signature("ana", head.roll_signature)),
            (DIGEST, Signature("ana", "zz")),
        ):
            with pytest.raises(WrongSignature):
                verify_signature(settings, digest, wrong)

    @pytest.mark.parametrize(
        "change", [{"generation": 2, "previous_generation": 1}, {"nonce": "m"}, {"digest": OTHER}]
    )
    def test_changed_head_fails_verification(self, trust, change):
        """If a relay could raise the generation of an old signed digest, it could revert nodes."""
        ana = make_key("ana")
        head = sign_head(ana, Head(1, DIGEST, 0, "ana", "n", (sign_digest(ana, DIGEST),)))
        with pytest.raises(WrongSignature):
            verify_head(trust([ana]), head._replace(**change))
