"""Which backend servers are cold, and until when.

A server that is cold says for how long, in its record and in its answers to health checks. A server
that has just started may not have said so yet: each incarnation that appears after this entry's
first snapshot counts as cold. Only the entry's own monotonic clock is used. The start time in a
record comes from another machine's wall clock, and either clock may jump.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.value_ranges import COLD_S

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sassafrastally.proxy.model import BackendServer, Service

MAX_COLD_S = COLD_S.most
"""Longest plausible cold period; longer ones are rejected as faulty."""

SEEN_KEPT_S = 600.0
"""How long an incarnation is remembered after it is gone: its record may expire in an outage of the
store and be written again, which doesn't make it cold."""


class ColdNotice(Enum):
    """What a record or an answer changes."""

    NOTHING = "nothing"
    COLD = "cold"
    """The server is cold from now on."""
    REJECTED = "rejected"
    """The stated time isn't plausible and is ignored."""


class _Seen(NamedTuple):
    service: str
    has_start_time: bool
    appeared_s: float | None
    """When its record first appeared; ``None`` if it was in the first snapshot."""
    known_s: float
    """When it was last known to exist."""
    record_left_s: float = 0.0
    """Cold time in its latest record."""
    record_until_s: float = float("-inf")
    """Latest end of the cold time according to its records."""
    stated_until_s: float = float("-inf")
    """Latest end of the cold time according to its records and answers, and to peers."""
    rejected_from: frozenset[str] = frozenset()
    """Sources from which a time was rejected; each is reported once."""


class ColdServers:
    """The cold servers of services that have a rate for cold servers."""

    def __init__(self) -> None:
        self._services: Mapping[str, Service] = {}
        self._seen: dict[str, _Seen] = {}
        self._until_s: dict[str, float] = {}
        """End of the cold time of the servers that are cold."""

    def __bool__(self) -> bool:
        return bool(self._until_s)

    def __len__(self) -> int:
        return len(self._until_s)

    def configure(self, services: Mapping[str, Service], now_s: float) -> None:
        """Apply the cold times and rates of a configuration."""
        self._services = services
        self._until_s = {}
        for incarnation_id in self._seen:
            self._update(incarnation_id, now_s)

    def record_registration(
        self, server: BackendServer, now_s: float, *, is_new: bool
    ) -> ColdNotice:
        """Record a server's record.

        Parameters
        ----------
        server
            The decoded record.
        now_s
            Present time.
        is_new
            Whether the record appeared after this entry's first snapshot.
        """
        incarnation_id = server.incarnation_id
        seen = self._seen.get(incarnation_id)
        if seen is None:
            appeared_s = now_s if is_new else None
            seen = _Seen(server.service, server.born_ms is not None, appeared_s, now_s)
        seen = seen._replace(service=server.service, known_s=now_s)
        left_s = server.cold_left_s
        is_valid = is_plausible(left_s)
        if is_valid and left_s != seen.record_left_s:
            # A record that is repeated with the same value doesn't restart the time.
            seen = seen._replace(
                record_left_s=left_s,
                record_until_s=max(seen.record_until_s, now_s + left_s),
                stated_until_s=max(seen.stated_until_s, now_s + left_s),
            )
        self._seen[incarnation_id] = seen
        is_cold = self._update(incarnation_id, now_s)
        if is_cold:
            return ColdNotice.COLD
        return ColdNotice.NOTHING if is_valid else self._reject(incarnation_id, "record")

    def record_answer(self, server: BackendServer, left_s: float, now_s: float) -> ColdNotice:
        """Record the cold time that a server states in an answer."""
        seen = self._seen.get(server.incarnation_id)
        if seen is None:
            return ColdNotice.NOTHING
        if not is_plausible(left_s):
            return self._reject(server.incarnation_id, "answer")
        until_s = max(seen.stated_until_s, now_s + left_s)
        self._seen[server.incarnation_id] = seen._replace(stated_until_s=until_s)
        is_cold = self._update(server.incarnation_id, now_s)
        return ColdNotice.COLD if is_cold else ColdNotice.NOTHING

    def record_peer(self, server: BackendServer, left_s: float, now_s: float) -> ColdNotice:
        """Record the cold time that a peer has read in an answer of the server."""
        if server.incarnation_id in self._seen and not is_plausible(left_s):
            return self._reject(server.incarnation_id, "peer")
        return self.record_answer(server, left_s, now_s)

    def record_until_s(self, incarnation_id: str) -> float:
        """Return the end of a server's cold time according to its records."""
        seen = self._seen.get(incarnation_id)
        return seen.record_until_s if seen else float("-inf")

    def left_s(self, incarnation_id: str, now_s: float) -> float:
        """Return the rest of a server's cold time; 0 if it isn't cold."""
        return max(0.0, self._until_s.get(incarnation_id, now_s) - now_s)

    def rate_per_s(self, incarnation_id: str, now_s: float) -> float | None:
        """Return the requests per second that a cold server accepts; ``None`` if it isn't cold."""
        if self._until_s.get(incarnation_id, now_s) <= now_s:
            return None
        return self._services[self._seen[incarnation_id].service].cold_per_s

    def take_warm(self, now_s: float) -> list[str]:
        """Return the servers whose cold time has ended since the last call."""
        warm = [one for one, until_s in self._until_s.items() if until_s <= now_s]
        for incarnation_id in warm:
            del self._until_s[incarnation_id]
        return warm

    def forget_gone(self, known: Collection[str], now_s: float) -> None:
        """Forget servers that no longer exist.

        Without a start time, a server that registers again under its id may have restarted, so it
        is forgotten at once and counts as new then.
        """
        for incarnation_id, seen in list(self._seen.items()):
            if incarnation_id in known:
                self._seen[incarnation_id] = seen._replace(known_s=now_s)
            elif not seen.has_start_time or now_s - seen.known_s > SEEN_KEPT_S:
                del self._seen[incarnation_id]
                self._until_s.pop(incarnation_id, None)

    def _reject(self, incarnation_id: str, source: str) -> ColdNotice:
        """Report a time that isn't plausible, unless one of the same source has been reported.

        A server may state another such time in each answer.
        """
        seen = self._seen[incarnation_id]
        if source in seen.rejected_from:
            return ColdNotice.NOTHING
        self._seen[incarnation_id] = seen._replace(rejected_from=seen.rejected_from | {source})
        return ColdNotice.REJECTED

    def _update(self, incarnation_id: str, now_s: float) -> bool:
        """Update the end of a server's cold time; return whether it turns cold."""
        seen = self._seen[incarnation_id]
        service = self._services.get(seen.service)
        if service is None or service.cold_per_s <= 0:
            self._until_s.pop(incarnation_id, None)
            return False
        until_s = seen.stated_until_s
        if seen.appeared_s is not None:
            until_s = max(until_s, seen.appeared_s + service.cold_s)
        if until_s <= now_s:
            return False
        was_cold = self._until_s.get(incarnation_id, now_s) > now_s
        self._until_s[incarnation_id] = until_s
        return not was_cold


def is_plausible(left_s: float) -> bool:
    """Return whether a stated cold time is neither negative nor too long."""
    return COLD_S.holds(left_s)
