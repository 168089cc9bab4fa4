"""Why a service has no server for a request: decided only once a request can't be placed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class Unavailability(Enum):
    """Reason for which no server of a service may get a request, whatever its load."""

    NONE = "none"
    """Some server may get it, or the service has no server at all."""
    EVACUATED = "evacuated"
    NO_HOME = "no home"


def find_unavailability(
    live: Iterable[str],
    is_evacuated: Callable[[str], bool],
    homes: frozenset[str] | None,
) -> Unavailability:
    """Return why no server of a service may get a request.

    Parameters
    ----------
    live
        Data centres of the service's live servers that aren't draining.
    is_evacuated
        Returns whether a data centre is evacuated.
    homes
        Data centres in which the request may run; ``None`` for any.
    """
    everywhere = set(live)
    if not everywhere:
        return Unavailability.NONE
    allowed = everywhere if homes is None else everywhere & homes
    if not allowed:
        return Unavailability.NO_HOME
    if all(is_evacuated(data_centre) for data_centre in allowed):
        return Unavailability.EVACUATED
    return Unavailability.NONE
