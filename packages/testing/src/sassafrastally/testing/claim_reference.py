"""What is obviously right about claims: one map from key to holder."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.serving.claims import Placement
    from sassafrastally.testing.claim_fleet import Answer


class ClaimReference:
    """Checks the answers of a step of a history, all of which overlap in time."""

    def __init__(self) -> None:
        self.holder: dict[str, Placement] = {}
        """Who holds each key after the steps so far."""
        self._open: defaultdict[str, set[Placement]] = defaultdict(set)
        """Placements that were refused, whose claims may yet land."""
        self._past: defaultdict[str, set[Placement]] = defaultdict(set)

    def check(self, key: str, answers: Iterable[Answer]) -> None:
        """Check what a step answered for a key; raises AssertionError."""
        answers = [answer for answer in answers if answer.ask.key == key]
        holder = self.holder.get(key)
        granted = [item.ask for item in answers if item.result and item.result.is_granted]
        if holder is not None or len(granted) > 1:
            needed = len(granted) if holder is not None else len(granted) - 1
            replacing = [ask for ask in granted if ask.old is not None]
            assert len(replacing) >= needed, "granted twice without a replacement"
        olds = [ask.old for ask in granted if ask.old is not None]
        assert len(olds) == len(set(olds)), "one placement was replaced twice"
        self._open[key] |= {item.ask.new for item in answers if item.result is None}
        known = {holder, *self._open[key], *(ask.new for ask in granted)} - {None}
        self._past[key] |= {placement for placement in known if placement is not None}
        for item in answers:
            # A claim may be told of a past holder, a replacement must be told of a present one.
            heard_of = self._past[key] if item.ask.old is None else known
            assert item.result is None or item.result.placement in heard_of, "unheard of"
        last = [ask.new for ask in granted if ask.new not in olds]
        if last:
            self.holder[key] = last[-1]
