"""Location of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.core import Address


class Site(NamedTuple):
    """The location of an attempt: exactly one incarnation of one sidecar."""

    vm: str
    address: Address
    incarnation: str
    request_id: str
    attempt: int
