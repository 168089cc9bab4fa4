"""Entries as separate processes of the real program, each signalled and ended by its id."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING, Any

from sassafrastally.core import Address

if TYPE_CHECKING:
    from pathlib import Path

MODULE = "sassafrastally.platform"
SETTINGS_VARIABLE = "SASSAFRASTALLY_CONFIG"

HEARTBEAT_INTERVAL_MS = 1200
"""How often backend servers write to the store."""

STOP_TIME_S = 8.0
"""Time between the request to stop and the end of a process, as on the users' platform."""

END_LIMIT_S = 10.0

MEMORY_MB = 300
"""Memory that an entry may take, as its settings say; beyond it the platform kills a process."""

EVACUATED_S = 5.0
"""Time after which nothing new may reach an evacuated data centre."""

OUTER_BOUND_S = 6.0
"""Time beyond that while the store is unstable."""

COLD_OVERRUN = 1.5
COLD_SLACK = 5
"""Times the accepted rate, and requests beyond, that a cold server may get in a second."""


class EntryProcess:
    """One entry: its settings, its process and its log.

    Parameters
    ----------
    number
        Names it.
    host
        Its IP number; no two entries share one.
    folder
        Where settings and logs lie.
    base_port
        First of the ports that all entries use, each on its own address.
    store
        Where it reaches the store.
    stop_time_s
        Time between the request to stop and its end.
    """

    def __init__(
        self,
        number: int,
        host: str,
        folder: Path,
        base_port: int,
        store: Address,
        stop_time_s: float = STOP_TIME_S,
    ) -> None:
        self.number = number
        self.host = host
        self.callers_address = Address(self.host, base_port)
        self.readiness_address = Address(self.host, base_port + 1)
        self.stop_time_s = stop_time_s
        """Its stop time in the settings that are written next."""
        self.settings_changes = 0
        """How often its settings file was rewritten."""
        self.exit_codes: list[int] = []
        """How each process has ended; negative: by that signal."""
        self._base_port = base_port
        self._store = store
        self._process: subprocess.Popen[bytes] | None = None
        self._settings_file = folder / f"entry-{number}.json"
        self.log_file = folder / f"entry-{number}.log"

    @property
    def is_running(self) -> bool:
        """Whether its process lives; one that is paused does."""
        return self._process is not None and self._process.poll() is None

    @property
    def ends(self) -> int:
        """How many of its processes have ended."""
        return len(self.exit_codes)

    def start(self) -> None:
        """Start a process that writes to its log file."""
        with self.log_file.open("ab") as log:
            self.start_with_output(log.fileno())

    def start_with_output(self, descriptor: int) -> None:
        """Start a process that writes to a descriptor."""
        self.write_settings()
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_file)}
        self._process = subprocess.Popen(
            [sys.executable, "-P", "-m", MODULE, str(self.callers_address)],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=descriptor,
            stderr=subprocess.STDOUT,
        )

    def write_settings(self) -> None:
        """Write the settings file in one step, as a reader may look at any time."""
        draft = self._settings_file.with_suffix(".draft")
        draft.write_text(json.dumps(self._settings()))
        draft.replace(self._settings_file)
        self.settings_changes += 1

    def truncate_settings(self) -> None:
        """Leave a half of the settings file, as a writer that writes it in place."""
        text = self._settings_file.read_text()
        self._settings_file.write_text(text[: len(text) // 2])

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process lives."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def note_end(self) -> bool:
        """Return whether a process has ended since the last call."""
        if self._process is None or self.is_running:
            return False
        self.exit_codes.append(self._process.returncode)
        self._process = None
        return True

    def kill(self) -> None:
        """End the process at once, also a paused one."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self._process.kill()
        self._process.wait(END_LIMIT_S)

    def accepts_callers(self) -> bool:
        """Return whether the callers' port is open."""
        address = self.callers_address
        with socket.socket() as probe:
            return probe.connect_ex((address.host, address.port)) == 0

    def open_files(self) -> int:
        """Return the number of the process's descriptors."""
        assert self._process is not None
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def resident_mb(self) -> float:
        """Return the process's resident memory."""
        assert self._process is not None
        with open(f"/proc/{self._process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def most_resident_mb(self) -> float:
        """Return the most resident memory that the process has ever had."""
        assert self._process is not None
        with open(f"/proc/{self._process.pid}/status") as status:
            (peak,) = [line for line in status if line.startswith("VmHWM:")]
        return int(peak.split()[1]) * 1024 / 1e6

    def scheduling(self) -> tuple[str, float, float] | None:
        """Return its first thread's state, how long it ran and how long it was ready to run.

        ``None`` if it doesn't live or the operating system doesn't tell.
        """
        if self._process is None:
            return None
        try:
            with open(f"/proc/{self._process.pid}/stat") as stat:
                state = stat.read().rpartition(") ")[2][0]
            with open(f"/proc/{self._process.pid}/schedstat") as schedstat:
                ran_ns, waited_ns, _ = schedstat.read().split()
        except (OSError, ValueError, IndexError):
            return None
        return state, int(ran_ns) / 1e9, int(waited_ns) / 1e9

    def _settings(self) -> dict[str, Any]:
        port = self._base_port
        return {
            "node": f"entry-{self.number}",
            "ip": self.host,
            "zone": "here",
            "listen": {"front": str(self.callers_address), "readiness": f"{self.host}:{port + 1}"},
            "internalPorts": [port + 2, port + 9],
            "limits": {"linkMbps": 1000, "memoryMb": MEMORY_MB},
            "beatIntervalMs": HEARTBEAT_INTERVAL_MS,
            "platform": {"address": str(self._store)},
            "bounds": {
                "graceS": self.stop_time_s,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtraTries": 100,
                "evacuateMs": round(EVACUATED_S * 1000),
                "outerBoundMs": round(OUTER_BOUND_S * 1000),
                "coldOverrun": COLD_OVERRUN,
                "coldSlack": COLD_SLACK,
            },
        }
