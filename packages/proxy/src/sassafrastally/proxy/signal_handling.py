"""Handles the signals of an entry, and the settings that take effect while it runs."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.log_events import SettingsRejected, SettingsReloaded

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.settings import ProxySettings


class SignalHandler:
    """Stops an entry, or reloads its settings, of which the stop time takes effect.

    Parameters
    ----------
    kernel
        The entry.
    settings
        Settings at startup.
    reread
        Reloads the settings; returns them, or an error message if they are invalid.
    """

    def __init__(
        self, kernel: Kernel, settings: ProxySettings, reread: Callable[[], ProxySettings | str]
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._reread = reread
        self._containment = Containment(kernel, "reload of the settings")

    def handle(self, signal_number: int, age_s: float = 0.0) -> None:
        """Handle a signal.

        Parameters
        ----------
        signal_number
            The signal.
        age_s
            How long ago it was received.
        """
        if signal_number == signal.SIGHUP:
            self._reload()
            return
        if not self._kernel.stopping.is_set():
            # The file may change without a signal, and the process is killed by its stop time.
            self._reload(is_requested=False)
            listener = self._kernel.get("callers", CallerListener)
            listener.stop_time_s = max(0.0, self._settings.bounds.stop_time_s - age_s)
        self._kernel.request_stop()

    def _reload(self, *, is_requested: bool = True) -> None:
        """Reload the settings; the previous ones stay in effect if they are invalid."""
        with self._containment:
            reloaded = self._reread()
            if isinstance(reloaded, str):
                self._kernel.events.emit(SettingsRejected(reloaded))
                return
            has_changed = reloaded != self._settings
            self._settings = reloaded
            if has_changed or is_requested:
                self._kernel.events.emit(SettingsReloaded(has_changed))
