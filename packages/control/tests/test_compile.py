"""From TOML to a bundle, with all findings at their places."""

from __future__ import annotations

import pytest

from sassafrastally.control.compile import compile_bundle
from sassafrastally.core import FindingsError

GOOD = f"""\
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

BAD = f"""\
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
    def test_good(self):
        bundle = compile_bundle(GOOD, "b.toml")
        assert bundle.customers[0].models == ("dossier",)
        assert bundle.weights.long_first_token == 3.0

    def test_all_findings_at_their_places(self):
        with pytest.raises(FindingsError) as caught:
            compile_bundle(BAD, "b.toml")
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

    def test_broken_toml(self):
        with pytest.raises(FindingsError, match=r"b\.toml:2"):
            compile_bundle('name = "x"\n= 3\n', "b.toml")
