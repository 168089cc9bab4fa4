"""Fixtures for entries that run as processes."""

from __future__ import annotations

import random

import pytest


@pytest.fixture
def own_host():
    """An address that no other entry of the tests has."""
    return f"127.20.{2 + random.randrange(250)}.9"
