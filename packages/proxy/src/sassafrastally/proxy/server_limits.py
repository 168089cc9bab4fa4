"""What each backend server last said of the requests that it takes, whoever heard it.

The load that it answers: a server names a limit for some seconds, and seventy entries hear of it at
different times, by its answers and by each other. All must soon believe its latest word: an old one
that goes round would keep a server unused that has long recovered.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.limit_news import LimitNews

if TYPE_CHECKING:
    from collections.abc import Mapping

NEWS_SHARE = 0.2
"""Change of a limit, as a share of it, from which on it is news."""

HEARSAY_ERROR_S = 0.25
"""By how much more recent the word that a peer tells must be. The age of what is told lacks the
time of its way, so that a word seems a little newer each time that it comes back."""

ENDED_TOLD_S = 5.0
"""How long peers are told that a server no longer names a limit."""

FORGOTTEN_S = 600.0
"""How long a word is remembered that nobody repeats."""


class LimitChange(Enum):
    """What a word of a server changes."""

    NOTHING = "nothing"
    SMALL = "small"
    """The limit differs a little. A server may state it afresh with each answer; told at once, each
    would cause datagrams and a line of the log."""
    NEWS = "news"


class _Word(NamedTuple):
    most_per_s: float | None
    """``None``: it no longer names a limit."""
    heard_s: float
    noted_per_s: float | None
    """The limit that was last news."""


class ServerLimits:
    """Limits by hash of the server's life."""

    def __init__(self) -> None:
        self._words: dict[int, _Word] = {}

    def __bool__(self) -> bool:
        return bool(self._words)

    def count(self) -> int:
        """Return how many servers name a limit."""
        return sum(1 for word in self._words.values() if word.most_per_s is not None)

    def of(self, key: int) -> float | None:
        """Return the requests a second that a server takes; ``None`` without a limit."""
        word = self._words.get(key)
        return word.most_per_s if word else None

    def hear(self, key: int, most_per_s: float | None, now_s: float) -> LimitChange:
        """Take a server's own word; ``None`` is that it names no limit."""
        if most_per_s is None and key not in self._words:
            return LimitChange.NOTHING
        return self._take(key, most_per_s, now_s)

    def hear_from_peer(self, key: int, news: LimitNews, now_s: float) -> LimitChange:
        """Take what a peer tells."""
        known = self._words.get(key)
        heard_s = now_s - news.age_s
        if known is not None and heard_s <= known.heard_s + HEARSAY_ERROR_S:
            return LimitChange.NOTHING
        return self._take(key, news.most_per_s, heard_s)

    def news(self, now_s: float) -> Mapping[int, LimitNews]:
        """Return what peers are told, the latest first."""
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
