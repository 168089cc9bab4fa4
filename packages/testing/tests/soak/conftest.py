"""Fixtures for entries that run as processes."""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

GUARD_PORT = 21_999
"""Port that a test holds as long as it uses its address; below the ports of the entries."""


@contextmanager
def claimed_host() -> Iterator[str]:
    """Yield an address that no other entry of the tests has, also of those that run meanwhile."""
    while True:
        host = f"127.20.{2 + random.randrange(250)}.9"
        with socket.socket() as guard:
            try:
                guard.bind((host, GUARD_PORT))
            except OSError:
                continue
            yield host
            return


@pytest.fixture
def own_host():
    """An address that no other entry of the tests has."""
    with claimed_host() as host:
        yield host


@pytest.fixture
def own_hosts():
    """Returns such an address for each of several entries."""
    with ExitStack() as hosts:
        yield lambda: hosts.enter_context(claimed_host())
