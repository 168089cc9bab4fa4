"""Assembles the services of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control.assemble import make_kernel
from sassafrastally.control.placement import PlacementService
from sassafrastally.control.placement_settings import PlacementSettings
from sassafrastally.control.signing import BundleSettings
from sassafrastally.entry.admin import AdminHttpService, AdminSettings
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.settings import EntrySettings, HttpSettings
from sassafrastally.serving import policies  # noqa: F401 - registers the policies
from sassafrastally.serving.claim_layout import ClaimSettings
from sassafrastally.serving.claims import ClaimService
from sassafrastally.serving.limits import LimitService
from sassafrastally.serving.receipts import ReceiptService, ReceiptSettings

if TYPE_CHECKING:
    from sassafrastally.control.assemble import Surroundings
    from sassafrastally.core import Kernel
    from sassafrastally.core.settings import Settings


def build_entry(settings: Settings, around: Surroundings) -> Kernel:
    """Return a kernel for an entry that serves callers over HTTP, ready to run.

    Parameters
    ----------
    settings
        Validated settings of the role ``entry``.
    around
        External dependencies of the process, such as network and clock.
    """
    kernel = build_path(settings, around)
    bundle_settings = settings.get(BundleSettings)
    kernel.add(AdminHttpService(settings.get(AdminSettings), bundle_settings))
    kernel.add(HttpService(settings.get(HttpSettings), settings.get(EntrySettings)))
    return kernel


def build_path(settings: Settings, around: Surroundings) -> Kernel:
    """Return a kernel for an entry without its HTTP servers, for tests with a mock clock.

    The parameters are those of `build_entry`.
    """
    kernel = make_kernel(settings, around)
    kernel.add(ClaimService(settings.get(ClaimSettings)))
    kernel.add(LimitService())
    receipts = settings.get(ReceiptSettings)
    if receipts.keys:
        kernel.add(ReceiptService(receipts))
    kernel.add(RequestPath(settings.get(EntrySettings)))
    kernel.add(PlacementService(settings.get(PlacementSettings)))
    return kernel
