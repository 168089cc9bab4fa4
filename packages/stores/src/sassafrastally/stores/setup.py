"""Creates the platform clients from the settings."""

from __future__ import annotations

from random import SystemRandom
from typing import TYPE_CHECKING

from sassafrastally.stores.etcd import EtcdKv
from sassafrastally.stores.ignored_entries import IgnoredEntries
from sassafrastally.stores.service import PlatformService
from sassafrastally.stores.settings import KvSettings, VmListSettings, WeightStoreSettings
from sassafrastally.stores.vm_list import HttpVmList
from sassafrastally.stores.weight_store import HttpWeightStore

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core.settings import Settings


def make_platform(settings: Settings, random: Random | None = None) -> PlatformService:
    """Create the platform service with its HTTP clients.

    Parameters
    ----------
    settings
        Settings of the process.
    random
        Random number generator for the jitter; defaults to the system's generator.
    """
    store = settings.get(WeightStoreSettings)
    ignored = IgnoredEntries()
    return PlatformService(
        kv=EtcdKv(settings.get(KvSettings), random or SystemRandom(), ignored),
        vm_list=HttpVmList(settings.get(VmListSettings), ignored),
        weight_store=(
            HttpWeightStore(store.address, store.call_time_limit_s) if store.address else None
        ),
        ignored=ignored,
    )
