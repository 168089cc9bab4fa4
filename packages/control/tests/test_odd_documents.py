"""Odd documents of operators and of other processes' administration replies."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from sassafrastally.control.admin import AdminCallFailed, AdminService
from sassafrastally.control.compile import compile_bundle
from sassafrastally.control.signing import BadSigningKey, decode_key
from sassafrastally.core import Address, FindingsError, Kernel, Service
from sassafrastally.core.settings import load_settings
from sassafrastally.stores import VmState
from sassafrastally.wire.messages import AdminCall, AdminReturn

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
ODD_BODIES = [b"[" * 30_000, b"[]", b"null", b"\xff", b"9" * 5_000, b"{", b'{"a": ' + b"[" * 9_999]


class FakePeers(Service):
    """Peers that give one reply to every call."""

    name = "peers"

    def __init__(self, reply: object) -> None:
        self.reply = reply

    def on_stream(self, *_: object) -> None:
        """Accept no streams."""

    async def link_to(self, *_: object) -> FakePeers:
        return self

    async def call(self, _: object) -> object:
        return self.reply


class TestOperatorsDocuments:
    @pytest.mark.parametrize("text", ODD_TOML, ids=range(len(ODD_TOML)))
    def test_odd_toml_is_a_finding(self, text: str) -> None:
        """Guards against an internal error in place of the findings that an operator needs."""
        for read in (compile_bundle, load_settings):
            with pytest.raises(FindingsError):
                read(text, "odd.toml")
        with pytest.raises(BadSigningKey):
            decode_key(text)


class TestAdminCalls:
    @pytest.mark.parametrize("body", ODD_BODIES, ids=range(len(ODD_BODIES)))
    async def test_odd_bodies_fail_their_call_only(self, body: bytes) -> None:
        """Guards against a process that ends by a peer's call, or a query of the whole fleet that
        fails by the reply of one process."""
        kernel = Kernel("entry-1", "prado")
        kernel.add(FakePeers(AdminReturn(200, body)))
        admin = kernel.add(AdminService())
        state = VmState("entry-2", "entry", "prado", "uy-sur", Address("10.0.0.1", 1))
        answers = await admin.ask_all([state, state._replace(vm="entry-1")], "status", {})
        assert [answer.body is None for answer in answers] == [True, False]
        stream: Any = SimpleNamespace()
        with pytest.raises(AdminCallFailed):
            await admin._on_call(stream, AdminCall("status", body))
