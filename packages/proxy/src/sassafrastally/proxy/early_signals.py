"""Records signals that arrive before or after the time in which the kernel handles them.

As soon as the callers' port is open, connections wait in its accept queue, and the default action
of a signal would end the process over them. The module is imported before the port opens, and for
that reason imports the C module `_signal` instead of `signal`, which loads `enum`.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]
from time import monotonic

HANDLED = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGHUP)
"""Signals that the process handles."""


class EarlySignals:
    """Signals received while nothing else handles them."""

    def __init__(self) -> None:
        self._received: dict[int, float] = {}
        """When each was first received; one that comes again asks for nothing new."""

    def record(self) -> None:
        """Record signals from now on instead of their default actions."""
        for number in HANDLED:
            _signal.signal(number, self._note)

    def take(self) -> list[tuple[int, float]]:
        """Return the signals received so far, each with its age in seconds, and forget them."""
        received, self._received = self._received, {}
        now_s = monotonic()
        return [(number, now_s - received_s) for number, received_s in received.items()]

    def ignore(self) -> None:
        """Ignore signals from now on: the interpreter restores other handlers to their defaults
        while it exits, so that a late stop signal would change the exit code."""
        for number in HANDLED:
            _signal.signal(number, _signal.SIG_IGN)

    def _note(self, number: int, _frame: object) -> None:
        self._received.setdefault(number, monotonic())
