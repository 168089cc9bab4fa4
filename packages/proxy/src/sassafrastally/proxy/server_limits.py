"""Latest rate limit of each backend server, from its own answers or reported by peers.

A server can state a rate limit for some seconds, and seventy entries learn of it at different
times, from its answers and from each other. All entries must converge on the latest limit: an
outdated one that keeps circulating would leave a server unused long after it has recovered.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.limit_news import LimitNews

if TYPE_CHECKING:
    from collections.abc import Mapping

NEWS_SHARE = 0.2
"""Relative change of a limit from which peers are notified at once."""

HEARSAY_ERROR_S = 0.25
"""A limit reported by a peer replaces the known one only if it is newer by this time. Its age
doesn't include the network delay, so a limit appears a little newer each time it is relayed."""

ENDED_TOLD_S = 5.0
"""How long peers are sent a tombstone for a limit that has ended."""

FORGOTTEN_S = 600.0
"""How long a limit is kept without being confirmed."""


class LimitChange(Enum):
    """Significance of a change of a server's limit."""

    NOTHING = "nothing"
    SMALL = "small"
    """The limit changes slightly. A server can state a new limit in each answer; if peers were
    notified of each at once, each would cause datagrams and a log line."""
    NEWS = "news"


class _Word(NamedTuple):
    most_per_s: float | None
    """``None`` if the limit has ended."""
    heard_s: float
    noted_per_s: float | None
    """The limit at the latest change of kind `LimitChange.NEWS`."""


class ServerLimits:
    """Rate limits by hash of the server's ``life_id``."""

    def __init__(self) -> None:
        self._words: dict[int, _Word] = {}

    def __bool__(self) -> bool:
        return bool(self._words)

    def count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(1 for word in self._words.values() if word.most_per_s is not None)

    def of(self, key: int) -> float | None:
        """Return the requests per second that a server accepts; ``None`` without a limit."""
        word = self._words.get(key)
        return word.most_per_s if word else None

    def hear(self, key: int, most_per_s: float | None, now_s: float) -> LimitChange:
        """Record the limit in a server's answer; ``None`` if the answer has none."""
        if most_per_s is None and key not in self._words:
            return LimitChange.NOTHING
        return self._take(key, most_per_s, now_s)

    def hear_from_peer(self, key: int, news: LimitNews, now_s: float) -> LimitChange:
        """Record a limit that a peer has reported."""
        known = self._words.get(key)
        heard_s = now_s - news.age_s
        if known is not None and heard_s <= known.heard_s + HEARSAY_ERROR_S:
            return LimitChange.NOTHING
        return self._take(key, news.most_per_s, heard_s)

    def news(self, now_s: float) -> Mapping[int, LimitNews]:
        """Return the limits and tombstones to send to peers, the latest first."""
        self._words = {
            key: word for key, word in self._words.items() if now_s - word.heard_s < FORGOTTEN_S
        }
        told = {
            key: LimitNews(word.most_per_s, now_s - word.heard_s)
            for key, word in self._words.items()
            if word.most_per_s is not None or now_s - word.heard_s < ENDED_TOLD_S
        }
        return dict(sorted(told.items(), key=lambda item: item[1].age_s))

    def _take(self, key: int, most_per_s: float | None, heard_s: float) -> LimitChange:
        known = self._words.get(key)
        known_per_s = known.most_per_s if known else None
        noted_per_s = known.noted_per_s if known else None
        is_news = _is_news(noted_per_s, most_per_s)
        self._words[key] = _Word(most_per_s, heard_s, most_per_s if is_news else noted_per_s)
        if is_news:
            return LimitChange.NEWS
        return LimitChange.NOTHING if known_per_s == most_per_s else LimitChange.SMALL


def _is_news(noted_per_s: float | None, most_per_s: float | None) -> bool:
    if noted_per_s is None or most_per_s is None:
        return noted_per_s != most_per_s
    return abs(most_per_s - noted_per_s) > NEWS_SHARE * noted_per_s
