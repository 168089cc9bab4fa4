"""Identifiers of attempts."""

from __future__ import annotations

from typing import NamedTuple


class AttemptKey(NamedTuple):
    """Unique key of an attempt: the request id and the attempt number."""

    request_id: str
    attempt: int
