"""Refusals that this entry announces to its peers."""

from __future__ import annotations

from collections import OrderedDict

from sassafrastally.proxy.contention.contention_news import MAX_REFUSALS_SENT

REFUSAL_SENT_S = 0.5
"""Time for which each refusal is sent: at least two datagrams at the longest interval, so that the
loss of one doesn't lose it."""


class SentRefusals:
    """The latest refusals of this entry, for as long as they are sent."""

    def __init__(self) -> None:
        self._refusals: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def record(self, fingerprint: int, due_s: float, now_s: float) -> None:
        """Record a refusal, which replaces an earlier one of the same request."""
        self._refusals.pop(fingerprint, None)
        self._refusals[fingerprint] = (now_s, due_s)
        if len(self._refusals) > MAX_REFUSALS_SENT:
            self._refusals.popitem(last=False)

    def to_send(self, now_s: float) -> dict[int, float]:
        """Return the remaining time until each caller may retry, the latest refusal first."""
        for fingerprint, (refused_s, due_s) in list(self._refusals.items()):
            if now_s - refused_s >= REFUSAL_SENT_S or due_s <= now_s:
                del self._refusals[fingerprint]
        return {key: due_s - now_s for key, (_, due_s) in reversed(self._refusals.items())}
