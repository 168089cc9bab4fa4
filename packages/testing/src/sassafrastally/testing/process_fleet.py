"""The processes of a small deployment on this machine, each started and ended by its id.

The settings are those of a folder like ``examples/``, copied with ports that are free here.
"""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any, TypeVar

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

T = TypeVar("T")

LISTENING_LIMIT_S = 20.0
END_LIMIT_S = 10.0
CHECK_S = 0.02
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")

DAEMON = "sassafrastally.cli.daemon"
COMMAND = "sassafrastally.cli.command"
STAND_INS = {
    "kv": ("sassafrastally.testing.kv_server", 9001, ()),
    "vm-list": ("sassafrastally.testing.vm_list", 9002, ("--file", "vms.toml")),
    "weight-store": ("sassafrastally.testing.weight_store", 9003, ()),
    "engine-1": ("sassafrastally.testing.engine_server", 9101, ("--model", "parcel-reader")),
    "engine-2": ("sassafrastally.testing.engine_server", 9102, ("--model", "parcel-reader")),
    "crossings": ("sassafrastally.testing.plain_service", 9201, ()),
}
"""Module, port in the examples and further arguments of each stand-in."""


@error(9003)
class FleetError(CodedError):
    """A process of the fleet didn't do in time what it should."""


class ProcessFleet:
    """Processes by name, with their files in one folder.

    Parameters
    ----------
    examples
        Folder with the settings.
    folder
        Where their copies and the processes' output go.
    """

    def __init__(self, examples: Path, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        texts = {path.name: path.read_text() for path in examples.iterdir() if path.is_file()}
        used = {int(port) for text in texts.values() for port in ADDRESS.findall(text)}
        self._ports = dict(zip(sorted(used), _free_ports(len(used)), strict=True))
        for name, text in texts.items():
            (folder / name).write_text(ADDRESS.sub(self._rewrite, text))

    def address(self, port: int) -> str:
        """Return where a port of the examples is here."""
        return f"127.0.0.1:{self._ports[port]}"

    def start_stand_ins(self) -> None:
        """Start all stand-ins and wait until they listen."""
        for name, (module, port, arguments) in STAND_INS.items():
            self._spawn(name, [module, "--listen", self.address(port), *arguments])
        for _, port, _ in STAND_INS.values():
            self.wait_listening(port)

    def start(self, vm: str) -> None:
        """Start a daemon by the name of its settings."""
        self._spawn(vm, [DAEMON, "--settings", f"{vm}.toml"])

    def command(self, *arguments: str) -> Any:
        """Run the operators' command in JSON; return what it printed."""
        line = [sys.executable, "-m", COMMAND, *arguments, "--json"]
        done = subprocess.run(line, cwd=self._folder, capture_output=True, timeout=20, check=False)
        if done.returncode:
            raise FleetError(f"{arguments}: {done.stdout.decode()}{done.stderr.decode()}")
        return json.loads(done.stdout)

    def roll_first_bundle(self) -> None:
        """Publish, sign and roll the examples' bundle by the command line."""
        kv = ("--kv", self.address(9001))
        key = ("--key", "ana.key", "--settings", "entry-1.toml")
        digest = self.command("bundle", "publish", "bundle.toml", *kv)["digest"]
        self.command("bundle", "sign", digest, *kv, *key)
        self.command("bundle", "roll", digest, "--from-generation", "0", *kv, *key)

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a process."""
        return self._processes[name]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def resident_bytes(self, name: str) -> int:
        """Return a process's resident memory."""
        with open(f"/proc/{self._processes[name].pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def processor_s(self, name: str) -> float:
        """Return the processor time that a process has used."""
        with open(f"/proc/{self._processes[name].pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def wait(self, condition: Callable[[], T], what: str, limit_s: float = LISTENING_LIMIT_S) -> T:
        """Wait until a condition gives something true and return that."""
        until_s = time.monotonic() + limit_s
        while not (found := condition()):
            if time.monotonic() > until_s:
                raise FleetError(f"not within {limit_s:g} s: {what}\n{self._outputs()}")
            time.sleep(CHECK_S)
        return found

    def wait_listening(self, port: int) -> None:
        """Wait until somebody listens at a port of the examples."""
        self.wait(lambda: self._listens(port), f"somebody listens at {self.address(port)}")

    def end(self) -> None:
        """End every process that still runs, each by its id."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(END_LIMIT_S)

    def _spawn(self, name: str, arguments: Sequence[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=self._folder,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def _listens(self, port: int) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self._ports[port])) == 0

    def _outputs(self) -> str:
        logs = sorted(self._folder.glob("*.log"))
        return "\n".join(f"{log.name}: {log.read_text()[-500:]}" for log in logs)

    def _rewrite(self, found: re.Match[str]) -> str:
        return self.address(int(found[1]))


def _free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago; all are held until the last one is found."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [int(one.getsockname()[1]) for one in sockets]
    finally:
        for one in sockets:
            one.close()
