"""Fixtures for entries that run as processes."""

from __future__ import annotations

import random
import socket

import pytest

GUARD_PORT = 21_999
"""Port that a test holds as long as it uses its address; below the ports of the entries."""


@pytest.fixture
def own_host():
    """An address that no other entry of the tests has, also of those that run at the same time."""
    while True:
        host = f"127.20.{2 + random.randrange(250)}.9"
        with socket.socket() as guard:
            try:
                guard.bind((host, GUARD_PORT))
            except OSError:
                continue
            yield host
            return
