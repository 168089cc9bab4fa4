"""Rendezvous hashing: every process computes the home of a key without communication.

Notes
-----
Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998). When a VM joins or
leaves, only the keys whose home it becomes or was are moved.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.control.interfaces import Membership
    from sassafrastally.stores.interfaces import VmState

SCORE_BYTES = 8


def rendezvous_score(key: str, vm: str) -> bytes:
    """Return the score of a VM for a key; the VM with the highest score is the home."""
    return blake2b(f"{key}\0{vm}".encode(), digest_size=SCORE_BYTES).digest()


def rendezvous_order(key: str, vms: Iterable[VmState]) -> list[VmState]:
    """Return the VMs by descending score for a key, the home first."""
    return sorted(vms, key=lambda state: rendezvous_score(key, state.vm), reverse=True)


def live_entries(membership: Membership) -> list[VmState]:
    """Return the entries in the VM list that are not leaving."""
    return [state for state in membership.vms("entry") if not membership.is_leaving(state.vm)]


def home_of(key: str, membership: Membership) -> VmState | None:
    """Return the home entry of a key; ``None`` when no live entry is known."""
    return max(
        live_entries(membership),
        key=lambda state: rendezvous_score(key, state.vm),
        default=None,
    )
