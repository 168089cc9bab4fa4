"""Which route, service and customer a request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.proxy.model import (
        Configuration,
        Customer,
        RequestFacts,
        Route,
        ServiceShare,
    )


class UnknownKey(NamedTuple):
    """The request bears no key, or one that the configuration doesn't hold."""


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix that begins a path."""
    fitting = (
        route
        for route in configuration.routes
        if route.host == host and path.startswith(route.path_prefix)
    )
    return max(fitting, key=lambda route: len(route.path_prefix), default=None)


def find_customer(
    configuration: Configuration, route: Route, facts: RequestFacts
) -> Customer | UnknownKey | None:
    """Return the customer of a request; ``None`` where none is needed."""
    if configuration.customers_by_key is None:
        return None
    customer = configuration.customers_by_key.get(facts.key) if facts.key else None
    if customer is not None:
        return customer
    return None if route.is_public else UnknownKey()


def choose_service(shares: tuple[ServiceShare, ...], draw: float) -> str:
    """Return a service by weight.

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
