"""Compilation of TOML into a bundle, with the location of every finding."""

from __future__ import annotations

import pytest

from sassafrastally.control.compile import compile_bundle
from sassafrastally.core import FindingsError

VALID = f"""\
name = "sondrio"

[[models]]
name = "dossier"
version = "3"
max_context_tokens = 1000000

[[customers]]
name = "tirano"
key_digests = ["{"a" * 64}"]
models = ["dossier"]

[weights]
long_first_token = 3
"""

INVALID = f"""\
name = "a b"
extra = 1

[[models]]
name = "dossier"
version = "3"
max_context_tokens = -5

[[models]]
name = "reader"
version = "1"
max_context_tokens = 10
color = "red"

[[customers]]
name = "tirano"
key_digests = ["hunter2"]
models = ["writer"]

[[customers]]
name = "tirano"
key_digests = ["{"b" * 64}"]
max_concurrent = -1

[limits]
retry_ratio = 7
"""


class TestCompile:
    def test_valid_document(self):
        bundle = compile_bundle(VALID, "b.toml")
        assert bundle.customers[0].models == ("dossier",)
        assert bundle.weights.long_first_token == 3.0

    def test_reports_location_of_every_finding(self):
        with pytest.raises(FindingsError) as caught:
            compile_bundle(INVALID, "b.toml")
        places = {(item.place.line, item.place.key) for item in caught.value.findings}
        assert places == {
            (1, "name"),
            (2, "extra"),
            (7, "models[0].max_context_tokens"),
            (13, "models[1].color"),
            (17, "customers[0].key_digests"),
            (18, "customers[0].models"),
            (21, "customers[1].name"),
            (23, "customers[1].max_concurrent"),
            (26, "limits.retry_ratio"),
        }
        assert "hunter2" not in str(caught.value)

    def test_malformed_toml(self):
        with pytest.raises(FindingsError, match=r"b\.toml:2"):
            compile_bundle('name = "x"\n= 3\n', "b.toml")
