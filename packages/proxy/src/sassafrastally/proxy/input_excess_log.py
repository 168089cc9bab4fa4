"""Log and count of backend servers whose responses exceed bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.log_events import ResponseTooLong
from sassafrastally.proxy.metrics import INPUT_LIMITED

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.input_limits import InputExcess, InputPlace
    from sassafrastally.proxy.model import BackendServer

MAX_REMEMBERED = 1024
"""Maximum number of pairs of a server and a place that are remembered as logged."""


class InputExcessLog:
    """Logs each place once a server, and counts all responses.

    Parameters
    ----------
    emit
        Writes a log event.
    """

    def __init__(self, emit: Callable[[NamedTuple], object]) -> None:
        self._emit = emit
        self._logged: dict[tuple[str, InputPlace], None] = {}

    def record(self, server: BackendServer, excess: InputExcess) -> None:
        """Record a response that was given up."""
        INPUT_LIMITED.add(1, {"place": excess.place.value})
        key = (server.incarnation_id, excess.place)
        if key in self._logged:
            return
        self._logged[key] = None
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        self._emit(
            ResponseTooLong(server.server_id, excess.place.value, excess.amount, excess.bound)
        )
