"""Callers with long requests, each a process of its own that hands over a request at once.

`main` is one such caller: it sends one request after the other, each on a new
connection, until it is ended, and writes a line for each.
"""

from __future__ import annotations

import json
import os
import secrets
import subprocess
import sys
import time
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from select import select
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.stand_ins.caller_requests import request_fields

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.core import Address
    from sassafrastally.testing.soak.record import Kind

PROGRAM = f"import sys; from {__name__} import main; main(sys.argv[1:])"

PAUSE_S = 0.02
"""Pause after a request that got no connection or no answer."""

PATIENCE_S = 1.5
"""How long a caller waits for bytes beyond the time that its request names."""


class Upload(NamedTuple):
    """A long request and its end, times in seconds of `time.monotonic`."""

    connected_s: float
    handed_over_s: float | None
    """When the operating system had all of it; ``None`` if it never had."""
    ended_s: float
    status: int
    """0 without a whole answer."""
    request_id: str
    waited_s: float
    """How long its caller was ready to run without a processor since it had handed it over."""


class SentUpload(NamedTuple):
    """A long request of one of the soak's callers, its times on the soak's clock."""

    entry: int
    kind: Kind
    upload: Upload


class UploadingCaller:
    """A process that sends long requests.

    Parameters
    ----------
    address
        Where it connects.
    path
        Path of its requests.
    body_bytes
        Size of each body.
    time_left_s
        How long it waits for each answer.
    """

    def __init__(self, address: Address, path: str, body_bytes: int, time_left_s: float) -> None:
        options = [address.host, str(address.port), path, str(body_bytes), str(time_left_s)]
        self._process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, *options],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ,
        )

    def end(self, time_limit_s: float = 30.0) -> list[Upload]:
        """End the process after its present request, and return all requests."""
        output, _ = self._process.communicate(timeout=time_limit_s)
        return [Upload(*json.loads(line)) for line in output.splitlines()]

    def kill(self) -> None:
        """End the process at once."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()


def send_uploads(
    host: str, port: int, path: str, body_bytes: int, time_left_s: float, control: int
) -> Iterator[Upload]:
    """Send one request after the other until the descriptor `control` is closed at its end."""
    body = b"x" * body_bytes
    while not select([control], [], [], 0)[0]:
        connection = HTTPConnection(host, port, timeout=time_left_s + PATIENCE_S)
        try:
            connection.connect()
        except OSError:
            time.sleep(PAUSE_S)
            continue
        upload = _exchange(connection, path, body, time_left_s)
        connection.close()
        yield upload
        if not upload.status:
            time.sleep(PAUSE_S)


def _exchange(connection: HTTPConnection, path: str, body: bytes, time_left_s: float) -> Upload:
    connected_s, handed_over_s, status = time.monotonic(), None, 0
    waited_before_s = _waited_s()
    request_id = secrets.token_hex(8)
    fields = request_fields(request_id=request_id, time_left_s=time_left_s)
    with suppress(OSError, HTTPException):
        # An answer may come before the whole request is sent.
        with suppress(OSError):
            connection.request("POST", path, body, fields)
            handed_over_s, waited_before_s = time.monotonic(), _waited_s()
        response = connection.getresponse()
        response.read()
        status = response.status
    ended_s, waited_s = time.monotonic(), _waited_s() - waited_before_s
    return Upload(connected_s, handed_over_s, ended_s, status, request_id, waited_s)


def _waited_s() -> float:
    """Return how long this process was ready to run without a processor; 0 if nothing tells."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0


def main(arguments: list[str]) -> None:
    """Run one caller."""
    host, port, path, body_bytes, time_left_s = arguments
    uploads = send_uploads(
        host, int(port), path, int(body_bytes), float(time_left_s), sys.stdin.fileno()
    )
    for upload in uploads:
        print(json.dumps(upload), flush=True)
