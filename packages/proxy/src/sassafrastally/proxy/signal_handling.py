"""Handles the signals of an entry, and the settings that take effect while it runs."""

from __future__ import annotations

import signal
import time
from queue import Empty, SimpleQueue
from threading import Thread
from typing import TYPE_CHECKING

from sassafrastally.proxy.caller_listener import CallerListener
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.log_events import SettingsRejected, SettingsReloaded
from sassafrastally.proxy.peers import Peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.settings import ProxySettings

MAX_PAUSE_SHARE = 0.5
"""Share of the stop time that is given up at most for a pause in which the signal may have come: a
longer pause tells too little of when that was."""

READ_LIMIT_S = 0.2
"""How long the settings may take to be read. All requests wait meanwhile, and a process that stops
has half a second to spare."""

SLOW = "the settings weren't read in time"


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
            begin_s = time.monotonic()
            self._reload(is_requested=False)
            age_s += time.monotonic() - begin_s
            stop_time_s = self._settings.bounds.stop_time_s
            listener = self._kernel.get("callers", CallerListener)
            listener.stop_time_s = max(0.0, stop_time_s - max(age_s, self._paused_s(stop_time_s)))
        self._kernel.request_stop()

    def _paused_s(self, stop_time_s: float) -> float:
        """Return the time for which a signal may have waited until this entry ran again."""
        listening = self._kernel.get("peers", Peers).listening
        paused_s = listening.latest_pause_s(self._kernel.clock.now_s())
        return min(paused_s, MAX_PAUSE_SHARE * stop_time_s)

    def _reload(self, *, is_requested: bool = True) -> None:
        """Reload the settings; the previous ones stay in effect if they are invalid."""
        with self._containment:
            reloaded = self._read()
            if isinstance(reloaded, str):
                self._kernel.events.emit(SettingsRejected(reloaded))
                return
            has_changed = reloaded != self._settings
            self._settings = reloaded
            if has_changed or is_requested:
                self._kernel.events.emit(SettingsReloaded(has_changed))

    def _read(self) -> ProxySettings | str:
        """Return the settings, or an error message if they are invalid or take too long."""
        results: SimpleQueue[ProxySettings | str | Exception] = SimpleQueue()

        def read() -> None:
            try:
                results.put(self._reread())
            except Exception as cause:
                results.put(cause)  # Raised by the thread that waits.

        # Not awaited by the end of the process, as a read of a file can't be cancelled.
        Thread(target=read, name="settings", daemon=True).start()
        try:
            result = results.get(timeout=READ_LIMIT_S)
        except Empty:
            return SLOW
        if isinstance(result, Exception):
            raise result
        return result
