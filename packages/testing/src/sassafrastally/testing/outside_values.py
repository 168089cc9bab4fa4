"""Values from outside that are well formed, in and beyond any useful range, and what uses them."""

from __future__ import annotations

import random
from typing import Any

import h11
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.peer_messages import Hello
from sassafrastally.proxy.placement import place_request
from sassafrastally.proxy.store import StorePosition
from sassafrastally.testing.placement_cases import LIMITS, LONG, PROFILE, SHORT, server

DIALECT = PlatformDialect()
SERVER = server(1)
RANDOMIZER = PlacementRandomizer(random.Random(1), 0.1)
NOW_S = 1000.0

many_examples = settings(
    max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)

TEXTS = st.text(st.characters(exclude_categories=()), max_size=12)
"""Any text, unpaired surrogates and control characters included."""

LARGE_INTEGERS = st.integers(min_value=1, max_value=4000).map(lambda digits: 10**digits)

INTEGERS = st.integers() | st.integers(0, 2**64) | LARGE_INTEGERS | LARGE_INTEGERS.map(int.__neg__)

NUMBERS = INTEGERS | st.floats() | st.floats(0, 1e6)

SCALARS = st.none() | st.booleans() | NUMBERS | TEXTS

JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
"""Any JSON value, and NaN and infinity, which most JSON writers spell too."""

NUMBER_TEXTS = (
    NUMBERS.map(str)
    | st.integers(1, 6000).map(lambda digits: "9" * digits)
    | st.integers(1, 6000).map(lambda digits: "0" * digits + "7")
)

FIELD_VALUES = (
    NUMBER_TEXTS
    | st.lists(NUMBER_TEXTS, min_size=2, max_size=3).map(",".join)
    | st.text(st.characters(min_codepoint=0x21, max_codepoint=0xFF), max_size=20)
).map(lambda text: text.encode("latin-1"))
"""Values of header fields."""


def hello(**fields: Any) -> Hello:
    """Return the state of an entry."""
    position = StorePosition(0, 1)
    empty = Hello("10.0.0.1", 1, 1, position, 0.0, False, {}, (), {}, {}, 0.0, 0.0, "here", 1000)
    return empty._replace(**fields)


def place_among(views: list[ServerView]) -> None:
    """Place a short and a long prompt."""
    for lane, prompt in ((Lane.SHORT, SHORT), (Lane.LONG, LONG)):
        place_request(views, lane, prompt, 0.3, PROFILE, LIMITS, RANDOMIZER, by_centre=False)


def send_head(headers: list[tuple[bytes, bytes]]) -> None:
    """Encode the head of a request."""
    head = h11.Request(method="POST", target="/x", headers=[(b"host", b"x"), *headers])
    h11.Connection(h11.CLIENT).send(head)
