"""Log events about the configuration, the known servers, the store and peers."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10001)
class ConfigurationInForce(NamedTuple):
    """A version of the configuration takes effect."""

    version: int
    routes: int
    source: str


@event(10002, "warning")
class DocumentRejected(NamedTuple):
    """An entry in the store is invalid.

    If it is the configuration, the previous version stays in effect. If it is a backend server, the
    server is removed.
    """

    key: str
    revision: int
    source: str
    problem: str


@event(10003)
class ServerKnown(NamedTuple):
    """A backend server was added, restarted or changed its state."""

    server_id: str
    born_ms: int | None
    """Start time of this incarnation in Unix milliseconds; ``None`` if unknown."""
    service: str
    address: str
    is_draining: bool
    revision: int
    source: str


@event(10004)
class ServerGone(NamedTuple):
    """A backend server was removed and gets no new requests."""

    server_id: str
    service: str
    source: str


@event(10005, "warning")
class ServerLapsed(NamedTuple):
    """A server's entry expired during a store outage; the server is kept for a short time."""

    server_id: str
    service: str
    source: str


@event(10030, "warning")
class FormerLifeIgnored(NamedTuple):
    """An entry seems to describe an earlier incarnation of a backend server and is ignored."""

    server_id: str
    born_ms: int | None
    known_born_ms: int | None
    revision: int
    source: str


@event(10130, "warning")
class EarlierStartAccepted(NamedTuple):
    """A restarted server names an earlier start than before and goes on writing; it is used."""

    server_id: str
    born_ms: int | None
    known_born_ms: int
    revision: int
    source: str


@event(10006, "warning")
class StoreLost(NamedTuple):
    """The store doesn't respond or refuses calls."""

    call: str
    cause: str
    revision: int
    confirmed_age_s: float


@event(10007)
class StoreRegained(NamedTuple):
    """The store responds again after an outage."""

    away_s: float
    revision: int


@event(10008)
class HistoryReread(NamedTuple):
    """The store doesn't have the changes that follow; this process reloads the full state."""

    epoch: int
    revision: int
    cause: str


@event(10045, "warning")
class StoreRestored(NamedTuple):
    """The store was restored from a copy; the latest changes before that are lost."""

    epoch: int
    """Number of restores of the store."""
    known_epoch: int
    known_revision: int
    """Revision that this process had applied before."""
    source: str


@event(10046)
class StaleRecordsSkipped(NamedTuple):
    """Records from an earlier position of the store, or from another epoch, are skipped."""

    epoch: int
    revision: int
    known_epoch: int
    known_revision: int
    source: str


@event(10047)
class ConfigurationIgnored(NamedTuple):
    """A configuration is older than the one in force and is ignored."""

    version: int
    known_version: int
    source: str


@event(10048, "warning")
class ServerKeptDraining(NamedTuple):
    """A server that is known to be draining is named as ready; it stays out of use."""

    server_id: str
    service: str
    source: str


@event(10049, "warning")
class ServerHeld(NamedTuple):
    """A server that had been removed is back after a restore of the store; it isn't used yet."""

    server_id: str
    service: str
    source: str


@event(10028)
class WatchTakenOver(NamedTuple):
    """This entry starts watching the store because the previous watchers get no responses."""

    peers: int
    revision: int
    confirmed_age_s: float
    """Time since the store or a peer last confirmed the position."""


@event(10009)
class PeerHeard(NamedTuple):
    """A message from a peer arrived, for the first time or after a silence."""

    peer: str
    silent_s: float


@event(10010, "warning")
class PeerSilent(NamedTuple):
    """A peer stopped sending messages; its load is no longer counted."""

    peer: str
    silent_s: float


@event(10029, "warning")
class PeerFailed(NamedTuple):
    """A peer with newer changes failed to send them; it or another peer is asked again."""

    peer: str
    epoch: int
    revision: int
    """Store revision that this process has applied."""
    peer_epoch: int
    peer_revision: int
    cause: str
    failures: int
    """Number of failures of this peer since the last such line."""


@event(10097, "warning")
class DatagramsDelayed(NamedTuple):
    """More peers' datagrams waited than this entry, short of CPU time, can decode."""

    received: int
    """Datagrams that waited."""
    superseded: int
    """Those that later ones of the same sender replace; they weren't decoded."""
    occasions: int
    """How often since the last such line."""


@event(10034)
class CentreHeard(NamedTuple):
    """A load summary of another data centre arrived; its entries no longer report individually."""

    data_centre: str
    relay: str
    entries: int


@event(10035, "warning")
class CentreSilent(NamedTuple):
    """Load summaries of a data centre stopped; its load is unknown until its entries report."""

    data_centre: str


@event(10068)
class SumRouteChanged(NamedTuple):
    """This entry sends the sum of its data centre through other relays than before."""

    relays: tuple[str, ...]
    direct: int
