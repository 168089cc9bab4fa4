"""Latest rate limit of each backend server, from its own answers or reported by peers.

A server can state a rate limit for some seconds, and seventy entries learn of it at different
times, from its answers and from each other. All entries must converge on the latest limit: an
outdated one that keeps circulating would leave a server unused long after it has recovered.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.rate_limits.limit_exchange import LimitReport

if TYPE_CHECKING:
    from collections.abc import Mapping

SIGNIFICANT_CHANGE_SHARE = 0.2
"""Relative change of a limit from which peers are notified at once."""

PEER_AGE_ERROR_S = 0.25
"""A limit reported by a peer replaces the known one only if it is newer by this time. Its age
doesn't include the network delay, so a limit appears a little newer each time it is relayed."""

TOMBSTONE_S = 5.0
"""How long peers are sent a tombstone for a limit that has ended."""

UNCONFIRMED_KEPT_S = 600.0
"""How long a limit is kept without being confirmed."""


class LimitChange(Enum):
    """Significance of a change of a server's limit."""

    NOTHING = "nothing"
    SMALL = "small"
    """The limit changes slightly. A server can state a new limit in each answer; if peers were
    notified of each at once, each would cause datagrams and a log line."""
    NEWS = "news"


class _LimitRecord(NamedTuple):
    most_per_s: float | None
    """``None`` if the limit has ended."""
    received_s: float
    announced_per_s: float | None
    """The limit at the latest change of kind `LimitChange.NEWS`."""


class ServerLimits:
    """Rate limits by hash of the server's ``incarnation_id``."""

    def __init__(self) -> None:
        self._records: dict[int, _LimitRecord] = {}

    def __bool__(self) -> bool:
        return bool(self._records)

    def count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(1 for record in self._records.values() if record.most_per_s is not None)

    def of(self, key: int) -> float | None:
        """Return the requests per second that a server accepts; ``None`` without a limit."""
        record = self._records.get(key)
        return record.most_per_s if record else None

    def record_answer_limit(self, key: int, most_per_s: float | None, now_s: float) -> LimitChange:
        """Record the limit in a server's answer; ``None`` if the answer has none."""
        if most_per_s is None and key not in self._records:
            return LimitChange.NOTHING
        return self._update(key, most_per_s, now_s)

    def record_peer_limit(self, key: int, report: LimitReport, now_s: float) -> LimitChange:
        """Record a limit that a peer has reported."""
        known = self._records.get(key)
        received_s = now_s - report.age_s
        if known is not None and received_s <= known.received_s + PEER_AGE_ERROR_S:
            return LimitChange.NOTHING
        return self._update(key, report.most_per_s, received_s)

    def limits_to_send(self, now_s: float) -> Mapping[int, LimitReport]:
        """Return the limits and tombstones to send to peers, the latest first."""
        self._records = {
            key: record
            for key, record in self._records.items()
            if now_s - record.received_s < UNCONFIRMED_KEPT_S
        }
        reports = {
            key: LimitReport(record.most_per_s, now_s - record.received_s)
            for key, record in self._records.items()
            if record.most_per_s is not None or now_s - record.received_s < TOMBSTONE_S
        }
        return dict(sorted(reports.items(), key=lambda item: item[1].age_s))

    def _update(self, key: int, most_per_s: float | None, received_s: float) -> LimitChange:
        known = self._records.get(key)
        known_per_s = known.most_per_s if known else None
        announced_per_s = known.announced_per_s if known else None
        is_significant = _is_significant(announced_per_s, most_per_s)
        self._records[key] = _LimitRecord(
            most_per_s, received_s, most_per_s if is_significant else announced_per_s
        )
        if is_significant:
            return LimitChange.NEWS
        return LimitChange.NOTHING if known_per_s == most_per_s else LimitChange.SMALL


def _is_significant(announced_per_s: float | None, most_per_s: float | None) -> bool:
    if announced_per_s is None or most_per_s is None:
        return announced_per_s != most_per_s
    return abs(most_per_s - announced_per_s) > SIGNIFICANT_CHANGE_SHARE * announced_per_s
