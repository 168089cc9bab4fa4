"""Lookup of the route, service and customer of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.proxy.model import (
        Configuration,
        Customer,
        RequestMetadata,
        Route,
        ServiceShare,
    )


class UnknownKey(NamedTuple):
    """Result for a request with no key, or with a key that isn't in the configuration."""


class RouteTable:
    """Routes by host and prefix.

    Parameters
    ----------
    routes
        The routes of a configuration. Of two with the same host and prefix the first is used.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {}).setdefault(route.path_prefix, route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path.

        Prefixes end with a slash, so only the parts of the path up to a slash are looked up.
        """
        by_prefix = self._by_host.get(host)
        end = len(path)
        while by_prefix and (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def find_customer(
    configuration: Configuration, route: Route, facts: RequestMetadata
) -> Customer | UnknownKey | None:
    """Return the customer of a request; ``None`` if the request doesn't need one."""
    if configuration.customers_by_key is None:
        return None
    customer = configuration.customers_by_key.get(facts.key) if facts.key else None
    if customer is not None:
        return customer
    return None if route.is_public else UnknownKey()


def choose_service(shares: tuple[ServiceShare, ...], draw: float) -> str:
    """Return a service, chosen in proportion to the weights.

    Parameters
    ----------
    shares
        Services with their weights.
    draw
        Random number from 0 to 1.
    """
    left = draw * sum(share.weight for share in shares)
    for share in shares:
        left -= share.weight
        if left < 0:
            return share.service
    return shares[-1].service
