"""Replays of a load: several entries' decisions before engines that work in passes.

The decisions are the product's own; engines are `SimulatedEngine`s on trio's clock. Between them
stands no network and no HTTP, so that half a minute of some hundred requests a second is replayed
in seconds and a change of a decision can be compared on the same arrivals.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from sassafrastally.testing.load_decisions import ReplayDecisions
from sassafrastally.testing.load_outcomes import Outcome, share_of_value
from sassafrastally.testing.load_request import EntryRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.testing.load_arrivals import Arrival, Deployment
    from sassafrastally.testing.load_entries import ReplayEntry

__all__ = ["LoadReplay", "Outcome", "share_of_value"]


class LoadReplay(ReplayDecisions):
    """Replays arrivals; `run` must be awaited under a mock clock.

    Parameters
    ----------
    deployment, seed, options
        As for `ReplayDecisions`.
    """

    def __init__(self, deployment: Deployment, seed: int = 1, *options: Any, **named: Any) -> None:
        super().__init__(deployment, seed, *options, **named)
        self.outcomes: list[Outcome] = []

    async def run(self, arrivals: Sequence[Arrival]) -> list[Outcome]:
        """Let all requests come and return how they ended."""
        self.begin_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for engine in self._engines:
                nursery.start_soon(engine.work)
            for entry in self._entries:
                nursery.start_soon(self._exchange.send, entry)
                nursery.start_soon(entry.queue.run)
            async with trio.open_nursery() as callers:
                for number, arrival in enumerate(arrivals):
                    callers.start_soon(self._call, arrival, number)
            nursery.cancel_scope.cancel()
        return self.outcomes

    async def _call(self, arrival: Arrival, number: int) -> None:
        """Ask once, and again when turned away: once, or several times without waiting."""
        await trio.sleep_until(self.begin_s + arrival.at_s)
        outcome = Outcome(arrival, None, None, 0.0, False, 0)
        end_s = trio.current_time() + arrival.kind.patience_s
        with trio.move_on_at(end_s):
            is_hasty = self._callers.is_hasty(self._seed, number)
            for _ in range(1 + self._callers.retries(is_hasty=is_hasty)):
                entry = self._draw.choice(self._entries_for(arrival))
                request = EntryRequest(self, entry, arrival, end_s, number + 1)
                known = outcome
                outcome = await request.run()
                outcome = outcome._replace(
                    refusals=known.refusals,
                    waited_s=outcome.waited_s + known.waited_s,
                    is_hasty=is_hasty,
                    early_waits=known.early_waits + request.was_early,
                )
                if request.retry_delay_s is None:
                    break
                outcome = outcome._replace(refusals=outcome.refusals + 1)
                told_s = min(request.retry_delay_s, arrival.kind.patience_s / 3)
                await trio.sleep(self._callers.delay_s(told_s, is_hasty=is_hasty))
        self.outcomes.append(outcome)

    def _entries_for(self, arrival: Arrival) -> list[ReplayEntry]:
        """Return the entries that a caller may reach."""
        chosen = [one for one in self._entries if one.data_centre == arrival.data_centre]
        return chosen or self._entries
