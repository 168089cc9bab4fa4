"""Work of each customer in the last seconds, in engine milliseconds.

Counted in engine time and not in requests: a long prompt takes as much as hundreds of short ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import pass_ms, prefill_ms

if TYPE_CHECKING:
    from sassafrastally.proxy.model import EngineProfile, PromptSize

WINDOW_S = 10
"""Time over which work counts: as long as most callers wait."""

MAX_CUSTOMERS = 512
"""Customers whose work is kept; those without recent work are dropped first."""


def request_work_ms(profile: EngineProfile, prompt: PromptSize) -> float:
    """Return the engine time of a request: prefill, and its share of a full engine's passes."""
    passes = prompt.output_tokens / profile.steps_per_pass
    full_pass_ms = pass_ms(profile, profile.slots, profile.memory_tokens)
    return prefill_ms(profile, prompt.prompt_tokens) + passes * full_pass_ms / profile.slots


class CustomerWork:
    """Work that this entry has started for each customer, in buckets of a second."""

    def __init__(self) -> None:
        self._buckets: dict[str, dict[int, float]] = {}

    def record(self, customer: str, work_ms: float, now_s: float) -> None:
        """Count work that starts."""
        buckets = self._buckets.setdefault(customer, {})
        buckets[int(now_s)] = buckets.get(int(now_s), 0.0) + work_ms
        if len(self._buckets) > MAX_CUSTOMERS:
            self._drop_least(now_s)

    def recent_ms(self, now_s: float) -> dict[str, float]:
        """Return the work of each customer in the window; customers without any are left out."""
        self._drop_old(now_s)
        return {customer: sum(buckets.values()) for customer, buckets in self._buckets.items()}

    def _drop_old(self, now_s: float) -> None:
        oldest = int(now_s) - WINDOW_S
        for customer, buckets in list(self._buckets.items()):
            kept = {second: ms for second, ms in buckets.items() if second > oldest}
            if kept:
                self._buckets[customer] = kept
            else:
                del self._buckets[customer]

    def _drop_least(self, now_s: float) -> None:
        recent_ms = self.recent_ms(now_s)
        while len(self._buckets) > MAX_CUSTOMERS:
            least = min(recent_ms, key=lambda customer: recent_ms[customer])
            del recent_ms[least], self._buckets[least]
