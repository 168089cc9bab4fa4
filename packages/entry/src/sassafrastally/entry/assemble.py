"""Puts an entry process together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control.admin import AdminService
from sassafrastally.control.membership import MembershipService, MembershipSettings
from sassafrastally.control.signing import BundleSettings
from sassafrastally.control.spread import BundleService
from sassafrastally.core import Kernel
from sassafrastally.core.settings import ProcessSettings
from sassafrastally.entry.admin import AdminHttpService, AdminSettings
from sassafrastally.entry.http import HttpService
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.settings import EntrySettings, HttpSettings
from sassafrastally.platform.settings import VmListSettings
from sassafrastally.serving import policies  # noqa: F401 - fills the registry of policies
from sassafrastally.serving.claim_layout import ClaimSettings
from sassafrastally.serving.claims import ClaimService
from sassafrastally.serving.limits import LimitService
from sassafrastally.serving.receipts import ReceiptService, ReceiptSettings
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings

if TYPE_CHECKING:
    from sassafrastally.core import Clock, Network
    from sassafrastally.core.settings import Settings
    from sassafrastally.platform.service import PlatformService

ROLE = "entry"


def build_entry(
    settings: Settings,
    platform: PlatformService,
    network: Network,
    clock: Clock | None = None,
    seed: int | None = None,
) -> Kernel:
    """Return the kernel of an entry that serves callers over HTTP, ready to run.

    Parameters
    ----------
    settings
        Checked settings of the role ``entry``.
    platform
        Clients of the platform.
    network
        Where links come from.
    clock
        The process's clock.
    seed
        Seed of the random source; the system's when it is ``None``.
    """
    kernel = build_path(settings, platform, network, clock, seed)
    bundle_settings = settings.get(BundleSettings)
    kernel.add(AdminHttpService(settings.get(AdminSettings), bundle_settings))
    kernel.add(HttpService(settings.get(HttpSettings), settings.get(EntrySettings)))
    return kernel


def build_path(
    settings: Settings,
    platform: PlatformService,
    network: Network,
    clock: Clock | None = None,
    seed: int | None = None,
) -> Kernel:
    """Return the kernel of an entry without its HTTP server, for tests on the mock clock.

    The parameters are those of `build_entry`.
    """
    process = settings.get(ProcessSettings)
    kernel = Kernel(process.vm, process.data_centre, clock, seed)
    kernel.add(platform)
    kernel.add(PeerService(settings.get(PeerSettings), network, ROLE))
    poll_interval_s = settings.get(VmListSettings).poll_interval_s
    kernel.add(MembershipService(ROLE, settings.get(MembershipSettings), poll_interval_s))
    kernel.add(BundleService(settings.get(BundleSettings)))
    kernel.add(AdminService())
    kernel.add(ClaimService(settings.get(ClaimSettings)))
    kernel.add(LimitService())
    receipts = settings.get(ReceiptSettings)
    if receipts.keys:
        kernel.add(ReceiptService(receipts))
    kernel.add(RequestPath(settings.get(EntrySettings)))
    return kernel
