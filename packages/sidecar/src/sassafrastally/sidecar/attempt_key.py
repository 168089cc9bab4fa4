"""Names of attempts."""

from __future__ import annotations

from typing import NamedTuple


class AttemptKey(NamedTuple):
    """Name of an attempt."""

    request_id: str
    attempt: int
