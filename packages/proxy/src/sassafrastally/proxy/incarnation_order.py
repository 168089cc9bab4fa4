"""Which of two incarnations of a backend server is the present one.

Incarnations that share an id are told apart by their start times. Neither these nor the order of
their records decides which one is the present: a start time comes from the wall clock of the
server's machine, which may have gone back before a restart, and a write of a crashed incarnation
may be applied seconds later, after its successor's first record. A late write comes once, though,
while the present incarnation goes on sending heartbeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.lease_lapses import UNKNOWN_EXPIRY_S

if TYPE_CHECKING:
    from sassafrastally.proxy.model import BackendServer

MAX_KEPT_INCARNATIONS = 4096
"""Maximum number of server ids whose latest incarnation is remembered, servers that have left
included: some hours of replacements at 1,500 servers. A late record of an earlier incarnation
arrives within seconds."""

MAX_FORMER = 4
"""Maximum number of replaced incarnations remembered for each id; late writes come within seconds,
and a server that crashes as often is hardly used."""

CONFIRMATION_SHARE = 0.5
"""How long an incarnation must go on writing, without a record of the other one, before it counts
as the present; as a share of the time without a heartbeat after which a record is removed. That is
one and a half heartbeat intervals, in which the other one would have written if it were live."""

MAX_BATCH_SHARE = 1 / 3
"""Longest time, as such a share, between two reads of the store after which a record may still
count: of several records of a server that are read together only the last one is seen, and the
other incarnation would write once in a longer time."""


class _Order(NamedTuple):
    """What is known of the incarnations of one server, by start time; ``None``: it names none."""

    present: int | None
    written_s: float
    """When its latest record was read."""
    former: tuple[int | None, ...] = ()
    """Those that it has replaced, the latest last."""
    rival: _Rival | None = None
    """Another one that has written since."""


class _Rival(NamedTuple):
    """An incarnation whose records are late writes, or which is the present one."""

    born_ms: int | None
    since_s: float
    """When the first of its records was read that no unseen record of the other one can follow."""
    was_ready: bool
    """Whether a record of it has named the server as ready."""


class IncarnationOrder:
    """Decides from each record whether it is the present incarnation's.

    It answers for servers that crash and restart under their id, while their last writes are in
    flight or the clock of their machine steps. A later start time that is new counts at once, as it
    is nearly always right; what is wrong is corrected by the heartbeats that follow.

    Parameters
    ----------
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record; 0: unknown.
    """

    def __init__(self, registration_expiry_s: float) -> None:
        self._expiry_s = registration_expiry_s or UNKNOWN_EXPIRY_S
        self._orders: dict[str, _Order] = {}

    def present(self, server_id: str) -> int | None:
        """Return the start time of the present incarnation; ``None`` if it isn't known."""
        order = self._orders.get(server_id)
        return order.present if order else None

    def record(
        self, server: BackendServer, now_s: float, since_s: float, returned_s: float
    ) -> bool:
        """Record that a record was read; return whether it is the present incarnation's.

        Parameters
        ----------
        server
            The decoded record.
        now_s
            Present time.
        since_s
            Earliest moment at which the record may have been written.
        returned_s
            When the store last returned from an outage, in which no server could write.
        """
        order = self._orders.pop(server.server_id, None)
        if order is None:
            order = _Order(server.born_ms, now_s)
        silent_s = since_s - max(order.written_s, returned_s)
        # Without an outage, the record of the present one would have been removed by then.
        is_over = silent_s >= self._expiry_s
        is_present = is_over or self._is_present(order, server, now_s, since_s)
        if is_present:
            order = _advance(order, server.born_ms, now_s)
        else:
            order = order._replace(rival=self._next_rival(order.rival, server, now_s, since_s))
        self._orders[server.server_id] = order
        if len(self._orders) > MAX_KEPT_INCARNATIONS:
            del self._orders[next(iter(self._orders))]
        return is_present

    def _is_present(
        self, order: _Order, server: BackendServer, now_s: float, since_s: float
    ) -> bool:
        born_ms, rival = server.born_ms, order.rival
        if born_ms == order.present:
            return True
        is_later = born_ms is not None and (order.present is None or born_ms > order.present)
        if is_later and born_ms not in order.former:
            return True
        if rival is None or rival.born_ms != born_ms:
            return False
        if server.is_draining and rival.was_ready:
            # If it is the present one, requests would reach it after its drain time.
            return True
        is_confirmed = since_s - rival.since_s >= CONFIRMATION_SHARE * self._expiry_s
        return is_confirmed and self._is_seen_whole(now_s, since_s)

    def _next_rival(
        self, rival: _Rival | None, server: BackendServer, now_s: float, since_s: float
    ) -> _Rival:
        is_known = rival is not None and rival.born_ms == server.born_ms
        was_ready = not server.is_draining
        if rival is None or not is_known:
            return _Rival(server.born_ms, now_s, was_ready)
        begin_s = rival.since_s if self._is_seen_whole(now_s, since_s) else now_s
        return _Rival(server.born_ms, begin_s, was_ready or rival.was_ready)

    def _is_seen_whole(self, now_s: float, since_s: float) -> bool:
        """Return whether the other incarnation can't have written unseen before this record."""
        return now_s - since_s < MAX_BATCH_SHARE * self._expiry_s


def _advance(order: _Order, born_ms: int | None, now_s: float) -> _Order:
    """Return the order after a record of an incarnation that is or becomes the present one."""
    if born_ms == order.present:
        return _Order(born_ms, now_s, order.former)
    former = tuple(one for one in order.former if one != born_ms)
    return _Order(born_ms, now_s, (*former, order.present)[-MAX_FORMER:])
