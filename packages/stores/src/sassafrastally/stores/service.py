"""Kernel service with the platform clients."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from sassafrastally.core import Service

if TYPE_CHECKING:
    from sassafrastally.core.kv import Kv
    from sassafrastally.stores.ignored_entries import EntryIgnored, IgnoredEntries
    from sassafrastally.stores.interfaces import VmList, WeightStore


class PlatformService(Service):
    """Provides the platform clients to the other services of the process.

    Parameters
    ----------
    kv, vm_list, weight_store
        The clients.
    ignored
        Reports of the clients about entries that can't be decoded, which the service logs.
    """

    name: ClassVar[str] = "platform"

    def __init__(
        self,
        kv: Kv,
        vm_list: VmList,
        weight_store: WeightStore | None = None,
        ignored: IgnoredEntries | None = None,
    ) -> None:
        self.kv = kv
        self.vm_list = vm_list
        self.weight_store = weight_store
        if ignored is not None:
            ignored.report = self._log_ignored

    def _log_ignored(self, report: EntryIgnored) -> None:
        self.kernel.events.emit(report)
