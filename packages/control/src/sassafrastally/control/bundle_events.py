"""Events of the spread of bundles."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(4101)
class BundleTaken(NamedTuple):
    """A bundle is in force in this process."""

    generation: int
    digest: str
    source: str
    """Who announced it: ``kv`` or the name of a VM."""
    waited_s: float
    """Time since its head was first heard here."""


@event(4102, "warning")
class BundleHeadRefused(NamedTuple):
    """A head was ignored: it is forged, broken or not signed by whom this process trusts."""

    source: str
    code: int
    reason: str


@event(4103, "debug")
class BundleHeadOutdated(NamedTuple):
    """A head was ignored: a higher generation is in force or known here."""

    source: str
    offered: int
    generation: int


@event(4104, "error")
class BundleHeadConflict(NamedTuple):
    """Two validly signed heads have the same generation; the one in force here stays."""

    source: str
    generation: int
    digest: str
    offered_digest: str


@event(4105, "warning")
class BundlePartRefused(NamedTuple):
    """A source sent bytes that don't fit their digest or bounds; it is left out for this bundle."""

    source: str
    digest: str
    reason: str


@event(4106, "warning")
class BundlePartsMissing(NamedTuple):
    """No source has all parts of a bundle; it is tried again."""

    generation: int
    digest: str
    missing: int


@event(4107)
class BundleStaged(NamedTuple):
    """The parts of a signed bundle that isn't rolled yet are here, verified."""

    digest: str


@event(4108)
class BundleWatchStarted(NamedTuple):
    """This process watches the KV service for its data centre."""

    data_centre: str
    place: int


@event(4109, "warning")
class BundleWatchEnded(NamedTuple):
    """This process no longer watches the KV service for its data centre."""

    data_centre: str
    reason: str


@event(4110, "warning")
class BundleClockGap(NamedTuple):
    """This process stood still; it reads the head again."""

    gap_s: float
