"""Canonical bytes, parts and the decoders of all untrusted input."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model, PlainService, Weights
from sassafrastally.control.canonical import BadEncoding, canonical_bytes, digest_of
from sassafrastally.control.head import decode_head
from sassafrastally.control.parts import (
    MAX_PART_BYTES,
    BundleTooLarge,
    DigestMismatch,
    decode_manifest,
    decode_part,
    pack_bundle,
    unpack_bundle,
)
from sassafrastally.control.signing import decode_signature
from sassafrastally.wire.codec import encode_frame
from sassafrastally.wire.messages import Frame, PartsReply

FIXED = settings(derandomize=True, deadline=None, max_examples=40, database=None)

names = st.text("Az09._/-", min_size=1, max_size=8).map(lambda text: f"n{text}")
counts = st.integers(0, 2**53)
digests = st.lists(st.integers(0, 2**256 - 1), max_size=2, unique=True).map(
    lambda numbers: tuple(f"{number:064x}" for number in numbers)
)
weights = st.floats(1e-6, 1e6)
models = st.tuples(names, names, st.integers(1, 2**53), st.integers(1, 100)).map(
    lambda fields: Model(*fields)
)
customers = st.tuples(names, digests, weights, st.floats(0, 1e9), counts, counts).map(
    lambda fields: Customer(*fields)
)
services = st.tuples(names, counts, st.floats(0.001, 86_400)).map(
    lambda fields: PlainService(*fields)
)


def unique(entries):
    return st.lists(entries, max_size=4, unique_by=lambda entry: entry.name).map(
        lambda found: tuple(sorted(found, key=lambda entry: entry.name))
    )


bundles = st.tuples(
    names,
    unique(models),
    unique(customers).filter(
        lambda found: len({d for c in found for d in c.key_digests})
        == sum(len(c.key_digests) for c in found)
    ),
    unique(services),
    st.tuples(weights, weights, st.integers(0, 10), st.integers(11, 2**53)).map(
        lambda fields: Weights(*fields)
    ),
    st.tuples(st.floats(0.001, 10), st.floats(10, 86_400)).map(lambda fields: Limits(*fields)),
).map(lambda fields: Bundle(*fields))


class TestRoundTrip:
    @FIXED
    @given(bundles)
    def test_any_bundle(self, bundle):
        packed = pack_bundle(bundle)
        assert unpack_bundle(packed) == bundle
        assert pack_bundle(unpack_bundle(packed)) == packed

    def test_digest_is_independent_of_entry_order(self, make_bundle_of):
        bundle = make_bundle_of(customers=50)
        reversed_bundle = bundle._replace(customers=bundle.customers[::-1])
        assert pack_bundle(reversed_bundle) == pack_bundle(bundle)

    def test_changing_one_customer_changes_one_shard(self, make_bundle_of):
        before = pack_bundle(make_bundle_of(customers=5_000))
        after = pack_bundle(make_bundle_of(customers=5_000, share=2.0))
        assert len(after.parts.keys() - before.parts.keys()) == 1
        largest = max(map(len, after.parts.values()))
        assert largest <= MAX_PART_BYTES
        encode_frame(Frame(1, 1, PartsReply((after.manifest,))))

    def test_too_large(self, make_bundle_of):
        with pytest.raises(BundleTooLarge):
            pack_bundle(make_bundle_of(customers=30_000))


class TestDecoders:
    def test_altered_bytes(self, make_bundle_of):
        packed = pack_bundle(make_bundle_of())
        with pytest.raises(DigestMismatch):
            decode_manifest(packed.digest, packed.manifest + b" ")
        digest, data = next(iter(packed.parts.items()))
        with pytest.raises(DigestMismatch):
            decode_part(digest, data[:-1])

    @pytest.mark.parametrize(
        "value",
        [
            {"customers": [{"name": "a", "key_digests": ["x"]}]},
            {"customers": [{"name": "a", "key_digests": [], "share": -1.0}]},
            {"customers": [{"name": "a", "key_digests": [], "max_concurrent": -1}]},
            {"models": [{"name": "a", "version": "1", "max_context_tokens": 10**30}]},
            {"models": [{"name": "a"}]},
            {"unknown": 1},
        ],
    )
    def test_part_out_of_bounds(self, value):
        data = canonical_bytes(value)
        with pytest.raises(BadEncoding):
            decode_part(digest_of(data), data)

    @FIXED
    @given(
        st.one_of(
            st.binary(max_size=80),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["generation", "digest", "signatures", "models", "format"]),
                    inner,
                    max_size=4,
                ),
                max_leaves=8,
            ).map(lambda value: json.dumps(value).encode()),
            st.sampled_from([b"[" * 100_000, b'{"a":' * 5_000, b"9" * 5_000, b'{"a":NaN}']),
        )
    )
    def test_malformed_bytes_are_rejected(self, data):
        for decode in (decode_head, decode_signature):
            with pytest.raises(BadEncoding):
                decode(data)
        with pytest.raises(BadEncoding):
            decode_manifest(digest_of(data), data)
        try:
            decode_part(digest_of(data), data)
        except BadEncoding:
            return
        assert json.loads(data).keys() <= {"models"}
