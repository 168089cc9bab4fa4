"""Data centres in which a request may run, by the home regions of its route and its customer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class DataCentres(NamedTuple):
    """The data centres that the settings name."""

    regions: Mapping[str, str | None] = {}
    """Region by data centre; ``None`` where the settings name none."""
    problems: tuple[str, ...] = ()
    """Parts of the settings that are ignored because they are invalid."""

    @property
    def has_regions(self) -> bool:
        """Whether the region of any data centre is known."""
        return any(region is not None for region in self.regions.values())


def home_data_centres(
    route_regions: frozenset[str] | None,
    customer_regions: frozenset[str] | None,
    data_centres: DataCentres,
) -> frozenset[str] | None:
    """Return the data centres in which a request may run; ``None`` if it may run in any.

    A data centre whose region is unknown is in none of the regions. If the settings name no region
    at all, regions can't be compared, and requests may run anywhere, as before regions were
    introduced.

    Parameters
    ----------
    route_regions, customer_regions
        Home regions; ``None`` without a restriction. Where both have some, both apply.
    data_centres
        The data centres with their regions.
    """
    if (route_regions is None and customer_regions is None) or not data_centres.has_regions:
        return None
    restrictions = [one for one in (route_regions, customer_regions) if one is not None]
    return frozenset(
        name
        for name, region in data_centres.regions.items()
        if all(region in regions for regions in restrictions)
    )
