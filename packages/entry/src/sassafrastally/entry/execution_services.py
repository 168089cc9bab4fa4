"""Shared services for executing requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core import EventLog
    from sassafrastally.entry.candidates import Candidates
    from sassafrastally.entry.settings import EntrySettings
    from sassafrastally.entry.unread_runs import UnreadRuns
    from sassafrastally.serving.retries import RetryBudget
    from sassafrastally.serving.routing import RoutingPolicy
    from sassafrastally.wire.link import Peers


class ExecutionServices(NamedTuple):
    """Services shared by all executions of a process."""

    settings: EntrySettings
    peers: Peers
    candidates: Candidates
    policy: RoutingPolicy
    budget: RetryBudget
    events: EventLog
    random: Random
    unread_runs: UnreadRuns
