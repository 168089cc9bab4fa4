"""Log events about connections at the internal ports."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10110, "warning")
class InternalConnectionsClosed(NamedTuple):
    """Connections at an internal port were closed without a complete response."""

    port: int
    use: str
    """``idle`` without any input, ``request`` with a part of one, ``response`` while it was
    written."""
    cause: str
    """``too many connections``, ``lack of resources``, ``time limit`` or ``invalid input``."""
    connections: int
    """Their number since the last such line."""


@event(10111, "warning")
class InternalAcceptFailed(NamedTuple):
    """Connections at an internal port can't be accepted for lack of resources; they wait."""

    port: int
    cause: str
    open_connections: int
    occasions: int
    """How often since the last such line."""
