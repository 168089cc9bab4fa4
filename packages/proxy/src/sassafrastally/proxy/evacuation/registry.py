"""Registry of the evacuated data centres, which outlasts a restore of the store.

The store's records decide. A store that is restored from a copy may lack the record of an
evacuation, or have one again that was lifted; nothing in the copy tells which, so each process
compares it with what it knew before.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    DataCentreEvacuated,
    EvacuationEnded,
    EvacuationKept,
    EvacuationUnknown,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

KEPT_S = 60.0
"""How long an evacuation stays in force that a restored store lacks. Operators write again within
this time what a restore has lost."""

ANNOUNCED_S = 3.0
"""How long an evacuation that a peer announces stays in force after its last announcement. An entry
sends several datagrams a second, so some may be lost."""

MAX_ANNOUNCED = 8
"""Maximum number of data centres announced to the peers at a time; a datagram has to have room for
loads."""

MAX_REMEMBERED = 256
"""Maximum number of data centres of which lifted evacuations are remembered. Any writer may create
keys with other names."""

MAX_NAME_LENGTH = 120
"""Longest name of a data centre in a log line."""


class _Evacuation(NamedTuple):
    until_s: float
    """When it ends by itself; infinite while the store has its record."""
    is_announced: bool = False
    """Whether only a peer knows of it."""


class _Past(NamedTuple):
    """What is remembered of a data centre's records."""

    revisions: tuple[int, ...] = ()
    """Revisions of the latest writes."""
    lifted_in_epoch: int | None = None
    """Epoch in which the record was removed; ``None`` if it was written since."""


def announcement_key(data_centre: str) -> int:
    """Return the number under which an evacuation is announced to the peers."""
    return server_hash(f"evacuated data centre {data_centre}")


class EvacuationRegistry:
    """The evacuated data centres.

    Parameters
    ----------
    data_centres
        Names of the data centres in the settings.
    now
        Returns the present time.
    emit
        Writes a log event.
    """

    def __init__(
        self,
        data_centres: Collection[str],
        now: Callable[[], float],
        emit: Callable[[NamedTuple], object],
    ) -> None:
        self.epoch = 0
        """Epoch of the store from which the records come."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when a data centre becomes evacuated, or no longer is."""
        self.may_end = False
        """Whether any evacuation ends by itself; read at each look-up of a service's servers."""
        self._named = frozenset(data_centres)
        self._now = now
        self._emit = emit
        self._in_force: dict[str, _Evacuation] = {}
        self._past: dict[str, _Past] = {}
        self._unknown: dict[str, str] = {}
        """Source of the evacuations whose data centre isn't known."""
        self._warned: set[str] = set()
        self._next_end_s = math.inf

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre's servers must get nothing new."""
        return data_centre in self._in_force

    @property
    def data_centres(self) -> frozenset[str]:
        """The evacuated data centres."""
        return frozenset(self._in_force)

    @property
    def has_unknown(self) -> bool:
        """Whether the data centre of any evacuation isn't known."""
        return bool(self._unknown)

    def record_written(
        self, data_centre: str, revision: int, source: str, *, may_be_copied: bool
    ) -> None:
        """Record that the store has the record of an evacuation.

        Parameters
        ----------
        data_centre
            The data centre.
        revision, source
            The record's revision and where it comes from.
        may_be_copied
            Whether it may have been written before the store was restored.
        """
        past = self._past.get(data_centre, _Past())
        lifted_before = past.lifted_in_epoch is not None and past.lifted_in_epoch < self.epoch
        # A revision that no earlier write had shows that the record is new: a full read may be the
        # first to deliver an evacuation that was written after the restore.
        if may_be_copied and lifted_before and revision in past.revisions:
            self._emit(EvacuationKept(data_centre, False, 0.0, source))
            return
        revisions = (*past.revisions[-7:], revision)
        self._remember(data_centre, _Past(revisions))
        self._set(data_centre, _Evacuation(math.inf), source)

    def record_removed(self, data_centre: str, source: str) -> None:
        """Record that the record of an evacuation was removed: it is lifted."""
        past = self._past.get(data_centre, _Past())
        self._remember(data_centre, past._replace(lifted_in_epoch=self.epoch))
        self._end([data_centre], f"lifted, by {source}")

    def record_lost(self, data_centre: str, source: str) -> None:
        """Record that a restored store lacks the record: the evacuation stays for a while."""
        if data_centre not in self._in_force:
            return
        self._in_force[data_centre] = _Evacuation(self._now() + KEPT_S)
        self._update_next_end()
        self._emit(EvacuationKept(data_centre, True, KEPT_S, source))

    def to_announce(self) -> tuple[int, ...]:
        """Return the evacuations that the store has lost, for peers that learn from it alone."""
        if not self.may_end:
            return ()
        self.expire()
        return tuple(
            announcement_key(data_centre)
            for data_centre, evacuation in self._in_force.items()
            if evacuation.until_s < math.inf and not evacuation.is_announced
        )[:MAX_ANNOUNCED]

    def record_announced(
        self, keys: Collection[int], known: Iterable[str], source: str
    ) -> frozenset[int]:
        """Record evacuations that a peer announces; return the keys that are evacuations.

        Parameters
        ----------
        keys
            What the peer announces.
        known
            Data centres of the known servers.
        source
            The peer, for the log.
        """
        by_key = {announcement_key(name): name for name in self._named.union(known)}
        for key in by_key.keys() & keys:
            name = by_key[key]
            if self._past.get(name, _Past()).lifted_in_epoch is not None:
                continue
            evacuation = self._in_force.get(name)
            if evacuation is None or evacuation.is_announced:
                self._set(name, _Evacuation(self._now() + ANNOUNCED_S, True), source)
        return frozenset(by_key.keys() & keys)

    def check_known(self, data_centres: Iterable[str]) -> None:
        """Look for the data centres of new evacuations among those of the known servers.

        Parameters
        ----------
        data_centres
            Data centre of each known server.
        """
        servers = list(data_centres)
        for name, source in list(self._unknown.items()):
            if name in self._named or name in servers:
                del self._unknown[name]
                self._emit(DataCentreEvacuated(name, servers.count(name), source))
            elif name not in self._warned:
                self._warned.add(name)
                known = ", ".join(sorted(self._named.union(servers)))
                self._emit(
                    EvacuationUnknown(name[:MAX_NAME_LENGTH], known[:MAX_NAME_LENGTH], source)
                )

    def expire(self) -> None:
        """End the evacuations whose time is over."""
        now_s = self._now()
        if now_s < self._next_end_s:
            return
        ended = [name for name, one in self._in_force.items() if one.until_s <= now_s]
        self._end(ended, "no record since a restore of the store")

    def _set(self, data_centre: str, evacuation: _Evacuation, source: str) -> None:
        is_new = data_centre not in self._in_force
        self._in_force[data_centre] = evacuation
        self._update_next_end()
        if is_new:
            # Logged by `check_known`, once the servers of the same snapshot are known too.
            self._unknown[data_centre] = source
            self.on_change()

    def _end(self, data_centres: Iterable[str], reason: str) -> None:
        for name in data_centres:
            if self._in_force.pop(name, None) is None:
                continue
            self._warned.discard(name)
            if self._unknown.pop(name, None) is None:
                self._emit(EvacuationEnded(name, reason))
            self.on_change()
        self._update_next_end()

    def _update_next_end(self) -> None:
        ends = (evacuation.until_s for evacuation in self._in_force.values())
        self._next_end_s = min(ends, default=math.inf)
        self.may_end = self._next_end_s < math.inf

    def _remember(self, data_centre: str, past: _Past) -> None:
        self._past.pop(data_centre, None)
        self._past[data_centre] = past
        if len(self._past) > MAX_REMEMBERED:
            del self._past[next(iter(self._past))]
