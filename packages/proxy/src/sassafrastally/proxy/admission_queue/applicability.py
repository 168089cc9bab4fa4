"""Services whose requests may wait: those with routes of different priorities.

Operators who set different priorities state which requests can wait for others. Where all routes
to a service are equally urgent, a request that waits only takes the room of the next one, and all
are served later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.proxy.model import Configuration, Route


def is_queueing_useful(routes: Iterable[Route]) -> bool:
    """Return whether requests of some of a service's routes can wait for those of others."""
    return len({route.priority for route in routes}) > 1


class QueueingCache:
    """Cache of the services whose requests may wait, computed once per configuration version."""

    def __init__(self) -> None:
        self._version: int | None = None
        self._services: dict[str, int] = {}
        """Highest priority of the routes to each service whose requests may wait."""

    def applies_to(self, configuration: Configuration, service: str) -> bool:
        """Return whether requests to a service may wait."""
        return service in self._current(configuration)

    def applies_anywhere(self, configuration: Configuration) -> bool:
        """Return whether requests to any service may wait."""
        return bool(self._current(configuration))

    def most_urgent(self, configuration: Configuration, service: str) -> int | None:
        """Return the highest priority of the routes to a service whose requests may wait."""
        return self._current(configuration).get(service)

    def _current(self, configuration: Configuration) -> dict[str, int]:
        if self._version != configuration.version:
            self._version = configuration.version
            by_service: dict[str, list[Route]] = {}
            for route in configuration.routes:
                for name in {share.service for share in route.shares}:
                    by_service.setdefault(name, []).append(route)
            self._services = {
                name: min(route.priority for route in routes)
                for name, routes in by_service.items()
                if is_queueing_useful(routes)
            }
        return self._services
