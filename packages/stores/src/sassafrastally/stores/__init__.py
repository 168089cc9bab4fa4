"""Clients of the platform services: KV service, VM list and weight store."""

from __future__ import annotations

from sassafrastally.core.kv import (
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
)
from sassafrastally.stores.backoff import BackoffLimits, CircuitBreaker, full_jitter
from sassafrastally.stores.budget import PurposeBudgets, TokenBucket
from sassafrastally.stores.etcd import EtcdKv
from sassafrastally.stores.interfaces import PlatformUnavailable, VmList, VmState, WeightStore
from sassafrastally.stores.readback import write_with_readback
from sassafrastally.stores.requests import ANY_REVISION, KvRequestInvalid
from sassafrastally.stores.service import PlatformService
from sassafrastally.stores.settings import (
    DEFAULT_BUDGETS,
    KvSettings,
    PurposeBudget,
    VmListSettings,
    WeightStoreSettings,
)
from sassafrastally.stores.setup import make_platform
from sassafrastally.stores.vm_list import HttpVmList
from sassafrastally.stores.weight_store import HttpWeightStore

__all__ = [
    "ANY_REVISION",
    "DEFAULT_BUDGETS",
    "MAX_VALUE_BYTES",
    "BackoffLimits",
    "CircuitBreaker",
    "EtcdKv",
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
