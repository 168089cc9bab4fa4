"""State of one entry in a load replay."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sassafrastally.proxy.admission_queue import AdmissionQueue
from sassafrastally.proxy.load import Ledger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.proxy.load import Work
    from sassafrastally.proxy.rate_limits import SentRequests


class ReplayEntry:
    """What one entry knows and has under way."""

    def __init__(self, seed: int) -> None:
        self.ledger = Ledger()
        self.queue = AdmissionQueue(random.Random(seed + 1))
        self.random = random.Random(seed)
        self.told: Mapping[int, Work] = {}
        """Its work as the others know it."""
        self.sent: dict[str, SentRequests] = {}
        """Requests that it sent to engines with a limit."""
