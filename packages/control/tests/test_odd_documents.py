"""Odd documents of operators and of other processes' administration replies."""

from __future__ import annotations

import pytest

from sassafrastally.control.compile import compile_bundle
from sassafrastally.control.signing import BadSigningKey, decode_key
from sassafrastally.core import FindingsError
from sassafrastally.core.settings import load_settings

ODD_TOML = [
    "a = " + "[" * 30_000 + "]" * 30_000,
    "a = " + "9" * 5_000,
    "a = 0x" + "f" * 5_000,
    "a = nan\nb = inf",
    'a = "\\ud800"',
    'name = "x"\n[limits]\nmax_attempts = 0x' + "f" * 5_000,
    'name = "x"\n[limits]\nretry_ratio = 0x' + "f" * 5_000,
    'name = "x"\n[limits]\nmax_attempts = ' + "9" * 4_000,
    'name = "x"\n[weights]\nshort_tokens = ' + "-" + "9" * 400,
]


class TestOperatorsDocuments:
    @pytest.mark.parametrize("text", ODD_TOML, ids=range(len(ODD_TOML)))
    def test_odd_toml_is_a_finding(self, text: str) -> None:
        """Guards against an internal error in place of the findings that an operator needs."""
        for read in (compile_bundle, load_settings):
            with pytest.raises(FindingsError):
                read(text, "odd.toml")
        with pytest.raises(BadSigningKey):
            decode_key(text)
