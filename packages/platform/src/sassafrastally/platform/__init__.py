"""Clients of the platform: KV service, VM list and weight store."""

from __future__ import annotations

from sassafrastally.platform.backoff import BackoffLimits, Gate, full_jitter
from sassafrastally.platform.budget import PurposeBudgets, TokenBucket
from sassafrastally.platform.etcd import EtcdKv
from sassafrastally.platform.interfaces import (
    MAX_VALUE_BYTES,
    Kv,
    KvBudgetSpent,
    KvConflict,
    KvEntry,
    KvEvent,
    KvUnavailable,
    KvWrite,
    LeaseLost,
    MaybeApplied,
    PlatformUnavailable,
    VmList,
    VmState,
    WeightStore,
)
from sassafrastally.platform.readback import write_with_readback
from sassafrastally.platform.requests import ANY_REVISION, KvRequestInvalid
from sassafrastally.platform.service import PlatformService
from sassafrastally.platform.settings import (
    DEFAULT_BUDGETS,
    KvSettings,
    PurposeBudget,
    VmListSettings,
    WeightStoreSettings,
)
from sassafrastally.platform.setup import make_platform
from sassafrastally.platform.vm_list import HttpVmList
from sassafrastally.platform.weight_store import HttpWeightStore

__all__ = [
    "ANY_REVISION",
    "DEFAULT_BUDGETS",
    "MAX_VALUE_BYTES",
    "BackoffLimits",
    "EtcdKv",
    "Gate",
    "HttpVmList",
    "HttpWeightStore",
    "Kv",
    "KvBudgetSpent",
    "KvConflict",
    "KvEntry",
    "KvEvent",
    "KvRequestInvalid",
    "KvSettings",
    "KvUnavailable",
    "KvWrite",
    "LeaseLost",
    "MaybeApplied",
    "PlatformService",
    "PlatformUnavailable",
    "PurposeBudget",
    "PurposeBudgets",
    "TokenBucket",
    "VmList",
    "VmListSettings",
    "VmState",
    "WeightStore",
    "WeightStoreSettings",
    "full_jitter",
    "make_platform",
    "write_with_readback",
]
