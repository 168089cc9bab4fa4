"""Exchange of cold times between entries: the field ``colds`` of their datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from sassafrastally.proxy.message_numbers import to_thousandths
from sassafrastally.proxy.warm_up.cold_announcements import MAX_COLDS_SENT

if TYPE_CHECKING:
    from collections.abc import Mapping


class ColdExchange(Protocol):
    """Source and receiver of cold times for the datagram exchange."""

    def colds_to_send(self) -> Mapping[int, float]:
        """Return the remaining cold times to send, by hash of the incarnation, longest first."""
        ...

    def apply_colds(self, colds: Mapping[int, float], host: str) -> bool:
        """Apply the cold times received from a peer; return whether any is news."""
        ...


class NullColdExchange:
    """Exchange that sends no cold times and ignores received ones; used as the default."""

    def colds_to_send(self) -> Mapping[int, float]:
        """Return no cold times."""
        return {}

    def apply_colds(self, colds: Mapping[int, float], host: str) -> bool:
        """Ignore received cold times."""
        return False


def encode_colds(colds: Mapping[int, float]) -> dict[str, list[dict[str, int]]]:
    """Return the fields of a datagram; none without cold times, as an empty list takes bytes."""
    if not colds:
        return {}
    sent = list(colds.items())[:MAX_COLDS_SENT]
    return {"colds": [{"server": key, "leftMs": to_thousandths(left_s)} for key, left_s in sent]}


def decode_colds(message: Any) -> dict[int, float]:
    """Return the remaining cold times in a datagram; at most as many as an entry sends."""
    decoded: dict[int, float] = {}
    for cold, _ in zip(message.colds, range(MAX_COLDS_SENT), strict=False):
        decoded[cold.server] = cold.leftMs / 1000
    return decoded
