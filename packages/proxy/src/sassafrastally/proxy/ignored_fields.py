"""Log of the header fields of backend servers that are ignored because of their values."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.log_events import FieldIgnored

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sassafrastally.proxy.model import BackendServer, IgnoredField

MAX_REMEMBERED = 1024
"""Maximum number of pairs of a server and a field that are remembered as logged."""


class IgnoredFieldLog:
    """Logs each ignored field of a server once, however many of its responses have it.

    Parameters
    ----------
    emit
        Writes a log event.
    """

    def __init__(self, emit: Callable[[NamedTuple], object]) -> None:
        self._emit = emit
        self._logged: dict[tuple[str, str], None] = {}

    def record(self, server: BackendServer, fields: Iterable[IgnoredField]) -> None:
        """Log the ignored fields of a response that haven't been logged yet."""
        for field in fields:
            key = (server.incarnation_id, field.name)
            if key in self._logged:
                continue
            self._logged[key] = None
            if len(self._logged) > MAX_REMEMBERED:
                del self._logged[next(iter(self._logged))]
            self._emit(FieldIgnored(server.server_id, field.name, field.problem))
