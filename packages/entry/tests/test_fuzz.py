"""Fuzz tests: arbitrary calls and files of operators cause a coded error, never a crash."""

from __future__ import annotations

import json
from typing import Any

import trio
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from sassafrastally.control.compile import compile_bundle
from sassafrastally.core import CodedError
from sassafrastally.core.logs import configure_logs
from sassafrastally.core.settings import load_settings
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.routes import Routes
from sassafrastally.serving.refusals import REFUSALS
from sassafrastally.testing.deployment import open_deployment
from sassafrastally.testing.deployments import YESO_JUSTO, customer_key, make_shape
from sassafrastally.testing.network import MemoryNetwork

GOOD = {"model": YESO_JUSTO.model, "prompt": "A wall in Prado.", "max_tokens": 4}
KEY = {"Authorization": f"Bearer {customer_key(YESO_JUSTO.large_customer)}"}
SETTLE_S = 5.0

EXAMPLES = settings(
    max_examples=100,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking would run a whole deployment many times; the first failing example is sufficient.
    phases=(Phase.explicit, Phase.generate),
)

HALF_PAIRS = st.text(st.characters(categories=["Cs"]), min_size=1, max_size=2)
LEAVES = (
    st.sampled_from((None, True, -1, 0, 1, 2, 10**30, 1e308, float("nan"), "", "true"))
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | HALF_PAIRS
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
)
NAMES = ("model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "n",
         "temperature", "top_p", "stop", "stream_options", "seed")  # fmt: skip
FIELDS = st.dictionaries(st.sampled_from(NAMES), VALUES, min_size=1, max_size=2)
PROMPTS = st.text(max_size=20) | HALF_PAIRS
MESSAGES = st.lists(
    st.fixed_dictionaries({"role": st.text(max_size=5), "content": VALUES}), max_size=3
)
BODIES = (
    st.binary(max_size=300)
    | FIELDS.map(lambda more: json.dumps(GOOD | more).encode())
    | PROMPTS.map(lambda text: json.dumps(GOOD | {"prompt": text}).encode())
    | MESSAGES.map(
        lambda items: json.dumps({"model": YESO_JUSTO.model, "messages": items}).encode()
    )
    | st.binary(max_size=50).map(lambda junk: json.dumps(GOOD).encode()[:-9] + junk)
)
HEADER_NAMES = ("Authorization", "Idempotency-Key", "Sassafrastally-Time-Limit-S",
                "Sassafrastally-Idempotent", "Content-Type", "Accept")  # fmt: skip
HEADER_TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=140)
HEADERS = st.just({}) | st.dictionaries(st.sampled_from(HEADER_NAMES), HEADER_TEXT, max_size=2)
REST = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=30)
URLS = (
    st.just("/v1/completions")
    | st.just("/v1/chat/completions")
    | REST.map(lambda rest: "/services/agenda/" + rest)
    | st.just("/services/other/x")
)
CALLS = st.lists(st.tuples(URLS, BODIES, HEADERS), min_size=20, max_size=20)
HEADS = st.sampled_from(('role = "entry"\n', 'role = "sidecar"\n', ""))
KNOWN_LINES = """[http]
[[bundle.trusted_signers]]
[process]
[kv]
[[models]]
[limits]
[[customers]]
[weights]
name = "a"
vm = 1
max_body_bytes = -1
address = 'x:1'
listen_address = '::1:70000'
share = nan
x = [1, {y = 2}]"""
LINES = st.lists(st.sampled_from(KNOWN_LINES.splitlines()) | st.text(max_size=30), max_size=10)
TEXTS = st.builds(lambda head, lines: head + "\n".join(lines), HEADS, LINES)


class TestCallers:
    @settings(EXAMPLES, max_examples=15)
    @given(CALLS)
    def test_calls(self, calls: list[tuple[str, bytes, dict[str, str]]]) -> None:
        configure_logs("critical")
        trio.run(_call_all, calls, clock=MockClock(autojump_threshold=0))


async def _call_all(calls: list[tuple[str, bytes, dict[str, str]]]) -> None:
    async with open_deployment(make_shape(YESO_JUSTO), MemoryNetwork(0.002)) as deployment:
        await trio.sleep(SETTLE_S)
        path = deployment.node("entry-sala-cordon").kernel.get("path", RequestPath)
        client = Routes(path).make_app().test_client()
        for url, body, headers in calls:
            await _call(client, url, body, headers)
        assert path.open_requests == 0
        assert path.status()["held_body_bytes"] == 0


async def _call(client: Any, url: str, body: bytes, headers: dict[str, str]) -> None:
    response = await client.post(url, data=body, headers=KEY | headers)
    content = await response.get_data()
    if response.headers["Content-Type"].startswith("application/problem+json"):
        problem = json.loads(content)
        assert REFUSALS[problem["code"]].status == response.status_code
    else:
        assert response.status_code < 500, content


class TestFiles:
    @EXAMPLES
    @given(TEXTS)
    def test_settings(self, text: str) -> None:
        try:
            load_settings(text, "fuzz.toml")
        except CodedError as cause:
            assert str(cause)

    @EXAMPLES
    @given(TEXTS)
    def test_bundle(self, text: str) -> None:
        try:
            compile_bundle(text, "fuzz.toml")
        except CodedError as cause:
            assert str(cause)
