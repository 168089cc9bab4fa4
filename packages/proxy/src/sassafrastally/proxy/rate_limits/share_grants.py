"""Grants of unused shares of a server's limit to entries whose share is used up.

A server's limit is shared by a few entries, some of which have no work for it, while others refuse
callers. A sender with an unused share grants requests to a named entry. It counts each of them as
sent at the end of the grant's validity, so that the sum over all entries stays within the bound
whether or not the grant arrives: a lost one is used by nobody.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

GRANT_VALID_S = 2.0
"""How long a grant is valid. A longer one is used more likely, but keeps its request from the
granter for longer if it isn't."""

COLD_GRANT_VALID_S = 1.0
"""How long a grant for a cold server is valid, whose limit is counted over about a second."""

TRANSIT_S = 0.25
"""How much earlier a grant ends for the grantee, whose time starts when the grant arrives."""

OVERCOMMIT = 2.0
"""Requests granted by all entries together for each unmet one: only some have any to spare."""

MIN_DEMAND = 3
"""Unmet requests of an entry in a second from which it gets grants. With fewer, most grants end
unused, and their requests are lost."""

DEMAND_SENT_S = 2.0
"""How long unmet demand is sent after its last request."""

MAX_DEMAND = 32
"""Most unmet requests that one report of an entry is answered for; limits the effect of a counter
that was last heard long ago."""

MAX_DEMANDS_SENT = 8
MAX_GRANTS_SENT = 12
"""Most services with demand and most grants in one datagram."""


class Grant(NamedTuple):
    """Requests to a server that one entry leaves to another."""

    server: int
    """Hash of the server's ``incarnation_id``."""
    grantee: int
    """Hash of the entry's host."""
    requests: int
    valid_s: float
    """Remaining validity when it is sent."""
    number: int
    """Distinguishes the grants of one process; a repeated grant isn't a new one."""


class ShareNews(NamedTuple):
    """Demand and grants in a datagram."""

    demands: Mapping[int, int]
    """Number of requests so far that found no share, by hash of the service's name."""
    grants: tuple[Grant, ...]


NO_SHARE_NEWS = ShareNews({}, ())


def decide_grants(
    spare: Mapping[int, int],
    kept: int,
    demands: Mapping[int, int],
    granters: int,
    first: int,
    draw: Callable[[], float],
) -> list[tuple[int, int]]:
    """Return the servers of which one request each is granted, with the grantees.

    Parameters
    ----------
    spare
        Requests that this entry could send now, by server.
    kept
        Requests that it keeps for itself: its own use in the last second.
    demands
        Unmet requests by grantee. Equal demands are served in turn.
    granters
        Number of entries that may answer the same demand. Each of them grants its part, rounded
        up or down at random, since a part is often far below one request.
    first
        Position in the order of grantees that is served first.
    draw
        Returns a random number from 0 to 1.
    """
    order = sorted(demands)
    start = first % len(order) if order else 0
    order = order[start:] + order[:start]
    wanted = {one: int(OVERCOMMIT * demands[one] / max(1, granters) + draw()) for one in order}
    left = sum(spare.values()) - kept
    granted: list[tuple[int, int]] = []
    for server in _one_of_each_first(spare):
        grantee = next((one for one in order if wanted[one]), None)
        if grantee is None or left <= 0:
            break
        granted.append((server, grantee))
        wanted[grantee] -= 1
        left -= 1
        order.remove(grantee)
        order.append(grantee)
    return granted


def _one_of_each_first(spare: Mapping[int, int]) -> Iterable[int]:
    """Yield servers, each as often as it has spare requests, in rounds over all of them."""
    for level in range(max(spare.values(), default=0)):
        yield from (server for server, requests in spare.items() if requests > level)


class _Given(NamedTuple):
    grant: Grant
    until_s: float


class _Received:
    """A grant of another entry."""

    def __init__(self, requests: int, until_s: float) -> None:
        self.requests = requests
        self.until_s = until_s


class ShareGrants:
    """Demand and grants of one entry.

    Parameters
    ----------
    own_host
        Host of this entry, as known to its peers.
    """

    def __init__(self, own_host: str) -> None:
        self.turn = 0
        """Number of grants so far; decides who is served first next time."""
        self._own_key = server_hash(own_host)
        self._unmet: dict[int, int] = {}
        self._unmet_s: dict[int, float] = {}
        self._heard: dict[tuple[str, int], int] = {}
        """Latest counter of each peer's unmet requests, by peer and service."""
        self._reports: dict[tuple[str, int], list[tuple[float, int]]] = {}
        """Unmet requests in the last second, with the times of their reports."""
        self._given: list[_Given] = []
        self.used = 0
        """Number of granted requests that this entry has used."""
        self._received: dict[int, dict[tuple[str, int], _Received]] = {}
        """Received grants by server, granter and number; kept until they end, also if used up."""

    def __bool__(self) -> bool:
        return bool(self._received)

    def record_unmet(self, service: str, now_s: float) -> None:
        """Record a request of this entry that found no share."""
        key = server_hash(service)
        self._unmet[key] = self._unmet.get(key, 0) + 1
        self._unmet_s[key] = now_s

    def is_short(self, service: str, now_s: float) -> bool:
        """Return whether this entry has had unmet demand lately itself."""
        return now_s - self._unmet_s.get(server_hash(service), float("-inf")) < DEMAND_SENT_S

    def to_send(self, now_s: float) -> ShareNews:
        """Return the demand and the grants to send to the peers."""
        if not self._unmet_s and not self._given:
            return NO_SHARE_NEWS
        latest = sorted(self._unmet_s, key=lambda key: -self._unmet_s[key])
        current = [key for key in latest if now_s - self._unmet_s[key] < DEMAND_SENT_S]
        self._given = [given for given in self._given if given.until_s - TRANSIT_S > now_s]
        return ShareNews(
            {key: self._unmet[key] for key in current[:MAX_DEMANDS_SENT]},
            tuple(
                given.grant._replace(valid_s=given.until_s - now_s)
                for given in self._given[-MAX_GRANTS_SENT:]
            ),
        )

    def new_demands(self, demands: Mapping[int, int], host: str, now_s: float) -> dict[int, int]:
        """Return the unmet requests that a peer reports beyond those already known, by service.

        Services with less than `MIN_DEMAND` in the last second are left out.
        """
        new: dict[int, int] = {}
        for service, counter in demands.items():
            before = self._heard.get((host, service), 0)
            self._heard[host, service] = counter
            # A lower counter is that of a restarted peer.
            requests = counter - before if counter >= before else counter
            if requests <= 0:
                continue
            latest = [one for one in self._reports.get((host, service), []) if one[0] > now_s - 1.0]
            latest.append((now_s, min(requests, MAX_DEMAND)))
            self._reports[host, service] = latest
            if sum(number for _, number in latest) >= MIN_DEMAND:
                new[service] = latest[-1][1]
        return new

    def give(
        self, server: int, grantee: int, now_s: float, valid_s: float = GRANT_VALID_S
    ) -> float:
        """Grant one request; return the time at which it counts as sent by this entry."""
        self.turn += 1
        until_s = now_s + valid_s
        grant = Grant(server, grantee, 1, valid_s, self.turn)
        self._given.append(_Given(grant, until_s))
        return until_s

    def receive(self, grants: Iterable[Grant], host: str, now_s: float) -> None:
        """Record the grants of a peer that name this entry."""
        for grant in grants:
            until_s = now_s + min(grant.valid_s, GRANT_VALID_S) - TRANSIT_S
            if grant.grantee == self._own_key and until_s > now_s:
                received = self._received.setdefault(grant.server, {})
                received.setdefault((host, grant.number), _Received(grant.requests, until_s))

    def has_grant(self, server: int, now_s: float) -> bool:
        """Return whether another entry's share of a server may be used now."""
        if server not in self._received:
            return False
        valid = {key: one for key, one in self._received[server].items() if one.until_s > now_s}
        if valid:
            self._received[server] = valid
        else:
            del self._received[server]
        return any(one.requests > 0 for one in valid.values())

    def use(self, server: int, now_s: float) -> bool:
        """Use a granted request; return whether there was one."""
        if not self.has_grant(server, now_s):
            return False
        usable = [one for one in self._received[server].values() if one.requests > 0]
        min(usable, key=lambda one: one.until_s).requests -= 1
        self.used += 1
        return True

    def forget_gone(self, hosts: Iterable[str], now_s: float) -> None:
        """Forget expired grants, and the counters of entries that no longer exist."""
        for server in list(self._received):
            self.has_grant(server, now_s)
        known = set(hosts)
        self._reports = {key: value for key, value in self._reports.items() if key[0] in known}
        self._heard = {key: value for key, value in self._heard.items() if key[0] in known}
