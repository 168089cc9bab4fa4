"""Sums received from the relays of other data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load_exchange import PEER_TIMEOUT_S, link_rank
from sassafrastally.proxy.relays.sum_routing import RELAY_HEARD_S

if TYPE_CHECKING:
    from sassafrastally.proxy.peer_messages import Hello


class DataCentreSum(NamedTuple):
    """Sum received from a relay of a data centre."""

    hello: Hello
    received_s: float


class ReceivedSums:
    """Latest sum of each relay of the other data centres.

    Parameters
    ----------
    data_centre
        The own data centre; its sums don't count.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._sums: dict[tuple[str, str], DataCentreSum] = {}

    def apply(self, hello: Hello, now_s: float) -> bool:
        """Apply a sum; return whether it is newer than the relay's last one."""
        key = (hello.data_centre, hello.host)
        known = self._sums.get(key)
        if known and is_stale(known.hello, hello):
            return False
        self._sums[key] = DataCentreSum(hello, now_s)
        return True

    def best(self, now_s: float) -> dict[str, DataCentreSum]:
        """Return each other data centre's sum; with several, the one over the most entries."""
        best: dict[str, DataCentreSum] = {}
        for (data_centre, _), received in self._sums.items():
            if now_s - received.received_s >= PEER_TIMEOUT_S or data_centre == self._data_centre:
                continue
            known = best.get(data_centre)
            rank = (received.hello.entries, received.received_s)
            if known is None or rank > (known.hello.entries, known.received_s):
                best[data_centre] = received
        return best

    def relays(self, now_s: float) -> dict[str, list[str]]:
        """Return the relays of each other data centre that were heard lately, in their order."""
        heard: dict[str, list[Hello]] = {}
        for (data_centre, _), received in self._sums.items():
            is_heard = now_s - received.received_s < RELAY_HEARD_S
            if is_heard and data_centre != self._data_centre and not received.hello.is_stopping:
                heard.setdefault(data_centre, []).append(received.hello)
        return {
            data_centre: [
                hello.host
                for hello in sorted(hellos, key=lambda one: link_rank(one.host, one.link_mbps))
            ]
            for data_centre, hellos in heard.items()
        }

    def forget_old(self, now_s: float) -> None:
        """Remove expired sums."""
        self._sums = {
            key: received
            for key, received in self._sums.items()
            if now_s - received.received_s < PEER_TIMEOUT_S
        }


def is_stale(known: Hello | None, hello: Hello) -> bool:
    """Return whether a datagram arrives after a later one of the same sender."""
    return known is not None and known.boot_id == hello.boot_id and known.sequence >= hello.sequence
