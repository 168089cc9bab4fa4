"""Contention state of this entry and what it knows of its peers'."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.contention.contention_news import (
    NO_CONTENTION_NEWS,
    ContentionNews,
    customer_hash,
    largest_customers,
    total_work_ms,
)
from sassafrastally.proxy.contention.contention_window import ContentionWindow
from sassafrastally.proxy.contention.peer_refusals import PeerRefusals
from sassafrastally.proxy.contention.sent_refusals import SentRefusals
from sassafrastally.proxy.load_exchange import PEER_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Set


class ContentionSummary(NamedTuple):
    """State of contention, for the log."""

    waiting: int
    refusals: int
    """Requests refused for load in the last ten seconds."""
    customer: str
    """Customer with the most work among those with work at this entry; empty if unknown."""
    customer_work_ms: float
    """Its work over all entries."""


class SharedContention:
    """Decides whether an entry is contended, what it sends, and what counts of its peers' state.

    Parameters
    ----------
    own_work_ms
        Returns the work of each customer that this entry has started in the last seconds.
    waiting
        Returns the number of requests that wait for room.
    """

    def __init__(
        self, own_work_ms: Callable[[float], Mapping[str, float]], waiting: Callable[[], int]
    ) -> None:
        self.peers_news: Callable[[], Iterable[ContentionNews]] = tuple
        """Returns the latest state of each live peer or sum."""
        self.on_refusal: Callable[[], None] = lambda: None
        """Called when there is a refusal to send."""
        self.on_refused_elsewhere: Callable[[Set[int], float], None] = (
            lambda _requests, _now_s: None
        )
        """Called with fingerprints of requests that peers have refused, and the present time."""
        self.early_retries = 0
        """Requests that came back early to any entry."""
        self.early_retries_from_peers = 0
        """Those among them that only a peer had refused."""
        self._own_work_ms = own_work_ms
        self._waiting = waiting
        self._window = ContentionWindow()
        self._sent_refusals = SentRefusals()
        self._peer_refusals = PeerRefusals()
        self._contention_received_s = float("-inf")

    def is_contended(self, now_s: float) -> bool:
        """Return whether requests wait for room here, or lately have waited or been refused."""
        return self._waiting() > 0 or self._window.is_contended(now_s)

    def record_wait(self, now_s: float) -> None:
        """Record that a request waits, or that its wait has ended."""
        self._window.record_wait(now_s)

    def record_refusal(self, fingerprint: int, due_s: float, now_s: float) -> None:
        """Record a refusal for load, and when the caller may retry."""
        self._window.record_refusal(now_s)
        self._sent_refusals.record(fingerprint, due_s, now_s)
        self.on_refusal()

    def is_early(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a peer told the caller of a request to come back later than now."""
        return self._peer_refusals.is_early(fingerprint, now_s)

    def count_early(self, *, is_known_here: bool) -> None:
        """Count a request that came back early.

        Parameters
        ----------
        is_known_here
            Whether this entry itself has refused it.
        """
        self.early_retries += 1
        self.early_retries_from_peers += not is_known_here

    def work_ms(self, now_s: float) -> Callable[[str], float]:
        """Return the function that gives a customer's work over all entries, for the log."""
        own_ms, peers_ms = self._own_work_ms(now_s), total_work_ms(self.peers_news())
        return lambda customer: (
            own_ms.get(customer, 0.0) + peers_ms.get(customer_hash(customer), 0.0)
        )

    def news_to_send(self, now_s: float) -> ContentionNews:
        """Return this entry's own state; empty while neither it nor a live peer is contended."""
        is_contended = self.is_contended(now_s)
        if not is_contended and now_s - self._contention_received_s >= PEER_TIMEOUT_S:
            return NO_CONTENTION_NEWS
        own_ms = {customer_hash(name): ms for name, ms in self._own_work_ms(now_s).items()}
        refusals = self._sent_refusals.to_send(now_s)
        return ContentionNews(is_contended, largest_customers(own_ms), refusals)

    def apply(self, news: ContentionNews, now_s: float) -> None:
        """Apply the state received from a peer or another data centre."""
        if news == NO_CONTENTION_NEWS:
            return
        if news.is_contended:
            self._contention_received_s = now_s
        new = {
            fingerprint
            for fingerprint, left_s in news.refusals.items()
            if self._peer_refusals.record(fingerprint, left_s, now_s)
        }
        if new:
            self.on_refused_elsewhere(new, now_s)

    def summary(self, now_s: float) -> ContentionSummary:
        """Return what the log tells about the contention."""
        total_ms, own_ms = self.work_ms(now_s), self._own_work_ms(now_s)
        largest = max(own_ms, key=total_ms, default="")
        return ContentionSummary(
            self._waiting(),
            self._window.refusals(now_s),
            largest,
            round(total_ms(largest), 1) if own_ms else 0.0,
        )

    def gauges(self, now_s: float) -> dict[str, float]:
        """Return the gauges of the metrics page."""
        return {
            "contended": self.is_contended(now_s),
            "early_retries": self.early_retries,
            "early_retries_from_peers": self.early_retries_from_peers,
        }
