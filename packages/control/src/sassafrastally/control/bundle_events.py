"""Events of bundle distribution."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import counter, event


@event(4101)
class BundleTaken(NamedTuple):
    """A bundle became active in this process."""

    generation: int
    digest: str
    source: str
    """Source of the head: ``kv`` or the name of a VM."""
    waited_s: float
    """Time since this process first received its head."""


@event(4102, "warning")
class BundleHeadRefused(NamedTuple):
    """A head was rejected: it is forged, malformed or not signed by a trusted signer."""

    source: str
    code: int
    reason: str


@event(4103, "debug")
class BundleHeadOutdated(NamedTuple):
    """A head was ignored: this process has or knows of a higher generation."""

    source: str
    offered: int
    generation: int


@event(4104, "error")
class BundleHeadConflict(NamedTuple):
    """Two validly signed heads have the same generation; the active one stays active."""

    source: str
    generation: int
    digest: str
    offered_digest: str


@event(4105, "warning")
class BundlePartRefused(NamedTuple):
    """A source sent bytes that don't match their digest or bounds; the fetch skips that source."""

    source: str
    digest: str
    reason: str


@event(4106, "warning")
class BundlePartsMissing(NamedTuple):
    """The sources together don't have all parts of a bundle; the fetch is retried."""

    generation: int
    digest: str
    missing: int


@event(4107)
class BundleStaged(NamedTuple):
    """All parts of a signed bundle that isn't rolled yet have been fetched and verified."""

    digest: str


@event(4108)
class BundleWatchStarted(NamedTuple):
    """This process started to watch the KV service for its data centre."""

    data_centre: str
    place: int


@event(4109, "warning")
class BundleWatchEnded(NamedTuple):
    """This process stopped watching the KV service for its data centre."""

    data_centre: str
    reason: str


@event(4110, "warning")
class BundleClockGap(NamedTuple):
    """This process was suspended; it reads the head again."""

    gap_s: float


HEADS_REFUSED = counter(
    "sassafrastally.bundle.heads_refused",
    "1",
    "Refused heads and signatures of bundles by source: kv or peer.",
)
