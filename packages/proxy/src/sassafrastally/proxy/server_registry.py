"""Registry of the backend servers: which are known, which get requests, and which are on hold.

A registry decides from records, the time and the store's outages, and does no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.address_holders import AddressHolders
from sassafrastally.proxy.data_centre_pools import divide_by_data_centre
from sassafrastally.proxy.departures import MAX_ANNOUNCED, Departures
from sassafrastally.proxy.evacuation import (
    EvacuationRegistry,
    Unavailability,
    find_unavailability,
)
from sassafrastally.proxy.incarnation_order import IncarnationOrder
from sassafrastally.proxy.lease_lapses import LeaseLapses
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.log_events import (
    EarlierStartAccepted,
    FormerLifeIgnored,
    ServerGone,
    ServerHeld,
    ServerKeptDraining,
    ServerKnown,
    ServerLapsed,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from sassafrastally.proxy.model import BackendServer

LAPSE_GRACE_S = 2.0
"""Grace period after a store outage. Backend servers whose leases expired during the outage have
registered again within this time, as the platform specifies; until then they count as live."""

UNKNOWN_S = float("-inf")
"""Earliest moment at which a record may have been written, if it isn't known."""


class _Index(NamedTuple):
    """Index of the live backend servers that are neither draining nor evacuated."""

    by_service: dict[str, list[BackendServer]]
    pools: dict[str, dict[str, list[BackendServer]]]
    """By service and data centre, for services whose data centres are separate pools."""


class ServerRegistry:
    """The known backend servers.

    Parameters
    ----------
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record.
    now
        Returns the present time.
    emit
        Writes a log event.
    data_centres
        Names of the data centres in the settings.
    """

    def __init__(
        self,
        registration_expiry_s: float,
        now: Callable[[], float],
        emit: Callable[[NamedTuple], object],
        data_centres: Collection[str] = (),
    ) -> None:
        self.epoch = 0
        """Epoch of the store from which the records come."""
        self.evacuations = EvacuationRegistry(data_centres, now, emit)
        """The evacuated data centres, whose servers are known but not used."""
        self.evacuations.on_change = self._note_evacuations_changed
        self.on_evacuations_changed: Callable[[], None] | None = None
        """Called when a data centre becomes evacuated, or no longer is."""
        self.store_returned_s = float("-inf")
        """When the store was last reached again after an outage."""
        self.on_announcement: Callable[[], None] | None = None
        """Called when there is a draining server to announce to the peers."""
        self.on_incarnation_ended: Callable[[BackendServer], None] | None = None
        """Called with each incarnation of a server that has left or been replaced."""
        self.on_registration: Callable[[BackendServer, str], None] | None = None
        """Called with each accepted record and its source."""
        self.has_snapshot = False
        """Whether the first snapshot of the servers is complete."""
        self.registration_expiry_s = registration_expiry_s
        """Time without a heartbeat after which the platform removes a server's record."""
        self._now = now
        self._emit = emit
        self._departures = Departures()
        self._lapses = LeaseLapses(registration_expiry_s)
        self._servers: dict[str, BackendServer] = {}
        self._held: dict[str, BackendServer] = {}
        self._lapse_ends_s: dict[str, float] = {}
        self._order = IncarnationOrder(registration_expiry_s)
        self._holders = AddressHolders(registration_expiry_s)
        self._index: _Index | None = None

    def of_service(self, service: str) -> list[BackendServer]:
        """Return a service's usable servers in the order shared by all entries.

        They are live, and neither draining nor in an evacuated data centre.
        """
        return self._current_index().by_service.get(service, [])

    def pool(self, service: str, data_centre: str) -> list[BackendServer] | None:
        """Return a data centre's usable servers of a service, as in `of_service`.

        ``None`` if they aren't a separate pool.
        """
        return self._current_index().pools.get(service, {}).get(data_centre)

    def is_divided(self, service: str) -> bool:
        """Return whether each data centre's servers of a service form a separate pool."""
        return bool(self._current_index().pools.get(service))

    def unavailability(self, service: str, homes: frozenset[str] | None) -> Unavailability:
        """Return why no server of a service may get a request, whatever its load.

        Parameters
        ----------
        service
            The service.
        homes
            Data centres in which the request may run; ``None`` for any.
        """
        usable = self.of_service(service)
        if usable if homes is None else any(one.data_centre in homes for one in usable):
            return Unavailability.NONE
        live = (
            server.data_centre
            for server in self._servers.values()
            if server.service == service and not server.is_draining
        )
        return find_unavailability(live, self.evacuations.is_evacuated, homes)

    def get(self, server_id: str) -> BackendServer | None:
        """Return a known backend server."""
        return self._servers.get(server_id)

    def is_current(self, server: BackendServer) -> bool:
        """Return whether no newer incarnation of a backend server is known."""
        known = self._servers.get(server.server_id)
        return known is None or known.incarnation_id == server.incarnation_id

    def known(self) -> list[BackendServer]:
        """Return all known backend servers, draining ones included."""
        return list(self._servers.values())

    def count(self) -> int:
        """Return the number of known backend servers, draining ones included."""
        return len(self._servers)

    def evacuated_count(self) -> int:
        """Return the number of known backend servers in evacuated data centres."""
        is_evacuated = self.evacuations.is_evacuated
        return sum(is_evacuated(server.data_centre) for server in self._servers.values())

    def begin_epoch(self, epoch: int) -> None:
        """Record that the store was restored."""
        self.epoch = self.evacuations.epoch = epoch
        self._lapses.forget_all()

    def apply(
        self, server: BackendServer, revision: int, source: str, since_s: float = UNKNOWN_S
    ) -> None:
        """Apply a server's record that was written in the present epoch.

        Parameters
        ----------
        server
            The decoded record.
        revision, source
            The record's revision and where it comes from, for the log.
        since_s
            Earliest moment at which the record may have been written.
        """
        self._lapses.record_written(server.server_id, since_s)
        read = self._now(), since_s, self.store_returned_s
        if not self._is_present(server, revision, source, read):
            return
        if self.on_registration is not None:
            self.on_registration(server, source)
        # The cold time changes with each record; kept here, each would be a change of the server.
        server = server._replace(cold_left_s=0.0)
        self._held.pop(server.server_id, None)
        self._departures.record_registered(server_hash(server.incarnation_id))
        server = self._with_known_draining(server, source)
        known = self._servers.get(server.server_id)
        self._lapse_ends_s.pop(server.server_id, None)
        if known == server:
            if self._holders.record(server, *read):
                self._index = None
            return
        if known is not None:
            self._holders.forget(known)
        self._servers[server.server_id] = server
        self._holders.record(server, *read)
        self._index = None
        if known is not None and known.incarnation_id != server.incarnation_id:
            self._record_incarnation_ended(known)
        self._emit(
            ServerKnown(
                server.server_id,
                server.born_ms,
                server.service,
                str(server.address),
                server.is_draining,
                revision,
                source,
            )
        )

    def _is_present(
        self, server: BackendServer, revision: int, source: str, read: tuple[float, float, float]
    ) -> bool:
        """Return whether a record is the present incarnation's, and log it if that is unusual."""
        known_ms = self._order.present(server.server_id)
        if not self._order.record(server, *read):
            # A write by a crashed server may be applied seconds later, after its next incarnation
            # has written its first record. Accepting it would mark the new incarnation as draining
            # or set an address on which nothing listens.
            self._emit(
                FormerLifeIgnored(server.server_id, server.born_ms, known_ms, revision, source)
            )
            return False
        if known_ms is not None and (server.born_ms is None or server.born_ms < known_ms):
            self._emit(
                EarlierStartAccepted(server.server_id, server.born_ms, known_ms, revision, source)
            )
        return True

    def apply_copied(
        self, server: BackendServer, revision: int, source: str, since_s: float = UNKNOWN_S
    ) -> None:
        """Apply a server's record that may have been written before a restore of the store.

        A server that was removed before the restore may be gone although its record is back. It is
        held until it writes again, or until the platform would have removed its record.
        """
        if not self._must_hold(server):
            self.apply(server, revision, source, since_s)
            return
        if server.server_id not in self._held:
            self._emit(ServerHeld(server.server_id, server.service, source))
        self._held[server.server_id] = server

    def remove(self, server_id: str, source: str) -> None:
        """Remove a server whose record was removed.

        After an outage or a restore of the store, a server that isn't draining and whose lease may
        have lapsed gets a grace period to register again.
        """
        held = self._held.pop(server_id, None)
        if held is not None:
            self._record_removed(held)
        server = self._servers.get(server_id)
        if server is None:
            self._lapses.forget(server_id)
            return
        if self._may_return(server):
            self._lapse_ends_s[server_id] = self._grace_ends_s
            self._emit(ServerLapsed(server_id, server.service, source))
            return
        self._record_removed(server)
        self._drop(server, source)

    def _may_return(self, server: BackendServer) -> bool:
        """Return whether a server may be live although its record was removed."""
        return (
            self.is_in_grace_period()
            and not server.is_draining
            and self._lapses.may_have_lapsed(server.server_id, self._now())
        )

    def drop_overwritten(self, server_id: str, source: str) -> None:
        """Drop a server whose record another writer has overwritten.

        The record no longer gives the server's address and drain state, so routing would rely on
        outdated data. The server is added again when it next writes its record.
        """
        self._held.pop(server_id, None)
        server = self._servers.get(server_id)
        if server is not None:
            self._drop(server, source)

    def is_in_grace_period(self) -> bool:
        """Return whether live servers may still have to register again after an outage."""
        return self._now() < self._grace_ends_s

    def record_announced_draining(self, keys: Iterable[int], source: str) -> None:
        """Record servers that a peer knows to be draining and the store names as ready.

        Parameters
        ----------
        keys
            Hashes of the incarnations' ids.
        source
            The peer, for the log.
        """
        announced = set(keys)
        if announced:
            known = (server.data_centre for server in self._servers.values())
            announced -= self.evacuations.record_announced(announced, known, source)
            self.check_evacuations()
        new = set(self._departures.record_announced(announced))
        if not new:
            return
        for server in list(self._servers.values()):
            if server_hash(server.incarnation_id) in new and not server.is_draining:
                self._servers[server.server_id] = self._keep_draining(server, source)
                self._index = None

    def draining_to_announce(self) -> tuple[int, ...]:
        """Return the draining servers that the store names as ready, by hash of the id.

        Evacuations that a restored store has lost are announced in the same way.
        """
        evacuations = self.evacuations.to_announce()
        return (*evacuations, *self._departures.to_announce()[: MAX_ANNOUNCED - len(evacuations)])

    def check_evacuations(self) -> None:
        """Look for the data centres of new evacuations among those of the known servers."""
        if self.evacuations.has_unknown:
            self.evacuations.check_known(server.data_centre for server in self._servers.values())

    def _note_evacuations_changed(self) -> None:
        self._index = None
        if self.on_evacuations_changed is not None:
            self.on_evacuations_changed()

    def held(self) -> dict[str, float]:
        """Return the servers that aren't used yet after a restore, with the remaining seconds."""
        left_s = self._hold_ends_s - self._now()
        return {server.incarnation_id: left_s for server in self._held.values() if left_s > 0}

    def _with_known_draining(self, server: BackendServer, source: str) -> BackendServer:
        """Return a server as draining if it has ever been, and remember it if it is."""
        key = server_hash(server.incarnation_id)
        if server.is_draining:
            self._departures.record_draining(key)
        elif self._departures.is_draining(key):
            return self._keep_draining(server, source)
        return server

    def _keep_draining(self, server: BackendServer, source: str) -> BackendServer:
        if self._departures.record_contradiction(server_hash(server.incarnation_id)):
            self._emit(ServerKeptDraining(server.server_id, server.service, source))
            if self.on_announcement is not None:
                self.on_announcement()
        return server._replace(is_draining=True)

    def _must_hold(self, server: BackendServer) -> bool:
        """Return whether a server may be gone although the restored store has its record.

        The platform removes the record of a server that is gone once its heartbeats are missing.
        """
        key = server_hash(server.incarnation_id)
        return (
            not server.is_draining
            and self._departures.was_removed_before(key, self.epoch)
            and self._now() < self._hold_ends_s
        )

    @property
    def _hold_ends_s(self) -> float:
        return self._grace_ends_s + self.registration_expiry_s

    @property
    def _grace_ends_s(self) -> float:
        return self.store_returned_s + LAPSE_GRACE_S

    def _release_held(self) -> None:
        """Use the held servers whose records the platform hasn't removed."""
        if self._now() < self._hold_ends_s:
            return
        held, self._held = self._held, {}
        for server in held.values():
            self.apply(server, 0, "still registered after a restore of the store")

    def _record_removed(self, server: BackendServer) -> None:
        self._departures.record_removed(server_hash(server.incarnation_id), self.epoch)

    def _drop(self, server: BackendServer, source: str) -> None:
        del self._servers[server.server_id]
        self._lapses.forget(server.server_id)
        self._holders.forget(server)
        self._lapse_ends_s.pop(server.server_id, None)
        self._index = None
        self._record_incarnation_ended(server)
        self._emit(ServerGone(server.server_id, server.service, source))

    def _record_incarnation_ended(self, server: BackendServer) -> None:
        self._departures.end_contradiction(server_hash(server.incarnation_id))
        if self.on_incarnation_ended is not None:
            self.on_incarnation_ended(server)

    def _expire_lapsed(self) -> None:
        now_s = self._now()
        for server_id, removed_at_s in list(self._lapse_ends_s.items()):
            if now_s >= removed_at_s:
                self._record_removed(self._servers[server_id])
                self._drop(self._servers[server_id], "not registered again after a store outage")

    def _current_index(self) -> _Index:
        """Return the index of live servers.

        Built lazily: a starting process applies hundreds of records at once, and rebuilding the
        index for each of them took longer than the rest of their processing.
        """
        if self._lapse_ends_s:
            self._expire_lapsed()
        if self._held:
            self._release_held()
        if self.evacuations.may_end:
            self.evacuations.expire()
        if self._index is None:
            is_evacuated = self.evacuations.is_evacuated
            by_service: dict[str, list[BackendServer]] = {}
            for server in sorted(
                self._servers.values(), key=lambda one: server_hash(one.incarnation_id)
            ):
                is_usable = not server.is_draining and not is_evacuated(server.data_centre)
                if is_usable and self._holders.may_hold(server):
                    by_service.setdefault(server.service, []).append(server)
            pools = {
                service: divide_by_data_centre(servers) for service, servers in by_service.items()
            }
            self._index = _Index(by_service, pools)
        return self._index
