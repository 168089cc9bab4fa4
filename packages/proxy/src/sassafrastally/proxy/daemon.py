"""Assembles and runs the services of an entry, a process of the pass-through path."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import Clock, Kernel
from sassafrastally.proxy.attempt import AttemptSender
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.proxy.contention_monitor import ContentionMonitor
from sassafrastally.proxy.deferred_loading import DeferredLoading
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.input_limits import InputBudget, most_held_bytes
from sassafrastally.proxy.internal_endpoints import InternalEndpoints
from sassafrastally.proxy.load import Ledger
from sassafrastally.proxy.overload_monitor import OverloadMonitor
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.quarantine_service import QuarantineService
from sassafrastally.proxy.reports import EngineReports
from sassafrastally.proxy.retry_budget import RetryBudget
from sassafrastally.proxy.signal_handling import SignalHandler
from sassafrastally.proxy.warm_up import ColdBound
from sassafrastally.proxy.watch import StoreWatch

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable

    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.early_signals import EarlySignals
    from sassafrastally.proxy.settings import ProxySettings
    from sassafrastally.proxy.store import Store


def make_kernel(
    settings: ProxySettings,
    dialect: Dialect,
    store: Store,
    listener: socket.socket | None = None,
    start_logs: Callable[[], None] | None = None,
) -> Kernel:
    """Return the kernel of an entry with all its services; must be called inside trio."""
    kernel = Kernel(settings.vm, settings.data_centre, Clock())
    bounds = settings.bounds
    ledger = Ledger()
    budget = RetryBudget(bounds.retry_ratio, bounds.retry_burst, bounds.retry_window_s)
    pool = ConnectionPool()
    input_budget = InputBudget(most_held_bytes(settings.memory_mb))
    kernel.add(ClusterState(dialect, settings.registration_expiry_s, settings.data_centres))
    kernel.add(StoreWatch(store))
    kernel.add(Peers(settings, dialect, store, ledger, input_budget))
    kernel.add(OverloadMonitor(ledger))
    kernel.add(Backpressure(settings.host, ColdBound(bounds.cold_overrun, bounds.cold_slack)))
    kernel.add(FleetView(ledger))
    kernel.add(QuarantineService(dialect, store))
    kernel.add(EngineReports(settings, dialect, input_budget))
    kernel.add(RequestPath(dialect, AttemptSender(dialect, pool, input_budget), budget))
    kernel.add(ContentionMonitor())
    kernel.add(CallerListener(settings, dialect, listener))
    kernel.add(InternalEndpoints(settings))
    kernel.add(DeferredLoading(start_logs))
    return kernel


async def run(
    settings: ProxySettings,
    dialect: Dialect,
    store: Store,
    listener: socket.socket | None,
    reread: Callable[[], ProxySettings | str],
    start_logs: Callable[[], None] | None = None,
    early_signals: EarlySignals | None = None,
) -> None:
    """Run an entry until it receives a stop signal.

    Parameters
    ----------
    settings
        Settings at startup.
    dialect
        Translates between the wire format and the proxy's types.
    store
        Key-value store with the configuration and the server registry.
    listener
        Listening socket for callers, if it is already open.
    reread
        Reloads the settings; returns them, or an error message if they are invalid.
    start_logs
        Configures the logging library; called after the entry serves. Log lines are held until
        then, if the caller holds them.
    early_signals
        Signals received before this call; they are handled as those that follow.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        # Taken once the receiver is open, so that no signal falls between the two.
        early = early_signals.take() if early_signals else []
        kernel = make_kernel(settings, dialect, store, listener, start_logs)
        handler = SignalHandler(kernel, settings, reread)
        for signal_number, age_s in early:
            handler.handle(signal_number, age_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, handler)
            await kernel.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(signals: AsyncIterator[int], handler: SignalHandler) -> None:
    async for signal_number in signals:
        handler.handle(signal_number)
