"""Entries of a replay, and the exchange of their state without a network."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.admission_queue import AdmissionQueue
from sassafrastally.proxy.contention import NO_CONTENTION_NEWS
from sassafrastally.proxy.load import Ledger, Work, server_hash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.proxy.rate_limits import SentRequests

DATAGRAM_LATENCY_S = 0.02
"""Time that a datagram takes from entry to entry."""


class ReplayEntry:
    """What one entry knows and has under way."""

    def __init__(self, seed: int, data_centre: str = "") -> None:
        self.data_centre = data_centre
        self.ledger = Ledger()
        self.queue = AdmissionQueue(random.Random(seed + 1))
        self.random = random.Random(seed)
        self.announced: Mapping[int, Work] = {}
        """Its work as the others know it."""
        self.sent: dict[str, SentRequests] = {}
        """Requests that it sent to engines with a limit."""


class ReplayExchange:
    """Delivers to each entry what the others announce.

    Parameters
    ----------
    entries
        All entries.
    interval_s
        Time between two datagrams of an entry.
    shares_contention
        Whether datagrams contain the contention state.
    """

    def __init__(
        self, entries: Sequence[ReplayEntry], interval_s: float, *, shares_contention: bool
    ) -> None:
        self._entries = entries
        self._interval_s = interval_s
        self._shares_contention = shares_contention
        for entry in entries:
            entry.ledger.others = partial(self.announced_to, entry)
            if shares_contention:
                entry.queue.contention.on_refusal = entry.ledger.note_change

    def announced_to(self, entry: ReplayEntry) -> list[Mapping[int, Work]]:
        """Return the others' work as an entry knows it."""
        return [other.announced for other in self._entries if other is not entry]

    async def send(self, entry: ReplayEntry) -> None:
        """Send the datagrams of an entry."""
        await trio.sleep(self._interval_s * entry.random.random())
        while True:
            seen = entry.ledger.urgent_count
            work = entry.ledger.work(trio.current_time())
            announced = {
                server_hash(incarnation_id): of_one for incarnation_id, of_one in work.items()
            }
            news = NO_CONTENTION_NEWS
            if self._shares_contention:
                news = entry.queue.contention.news_to_send(trio.current_time())
            await trio.sleep(DATAGRAM_LATENCY_S)
            entry.announced = announced
            for other in self._entries:
                if other is not entry:
                    other.queue.contention.apply(news, trio.current_time())
            with trio.move_on_after(self._interval_s - DATAGRAM_LATENCY_S):
                await entry.ledger.urgent_since(seen)
