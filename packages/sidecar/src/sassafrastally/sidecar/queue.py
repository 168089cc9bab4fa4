"""Queue of waiting work, started on the engine in the order that the scheduler picks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.serving.scheduling import EngineState, Running
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.segments import backfill_candidates

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.core import Clock
    from sassafrastally.serving.scheduling import Scheduler, Work
    from sassafrastally.sidecar.ledger import Ledger
    from sassafrastally.sidecar.segments import Promise


class _Waiter(NamedTuple):
    work: Work
    stream_id: str
    turn: trio.Event


class WorkQueue:
    """Waiting and running work of one engine.

    Parameters
    ----------
    scheduler
        Picks the work to start next.
    ledger
        The engine's memory; blocks are held from the start of a run, not while work waits.
    clock
        The process's clock.
    interval_s
        Interval at which waiting work is reconsidered when nothing changes.
    """

    def __init__(
        self, scheduler: Scheduler, ledger: Ledger, clock: Clock, interval_s: float
    ) -> None:
        self.scheduler = scheduler
        self._ledger = ledger
        self._clock = clock
        self._interval_s = interval_s
        self._waiting: dict[AttemptKey, _Waiter] = {}
        self._running: dict[AttemptKey, Running] = {}
        self._changed = trio.Event()
        self.is_open: Callable[[], bool] = lambda: True
        """Returns whether the engine accepts work at all."""
        self.promises: Callable[[], list[Promise]] = list
        """Returns the memory reserved for segments of spans."""

    @property
    def waiting(self) -> list[Work]:
        """Work that is waiting for its turn."""
        return [waiter.work for waiter in self._waiting.values()]

    @property
    def running_count(self) -> int:
        """Number of runs on the engine."""
        return len(self._running)

    def is_running(self, key: AttemptKey) -> bool:
        """Return whether the turn of the work has come, also before its task has noticed."""
        return key in self._running

    def state(self) -> EngineState:
        """Return the engine state that the scheduler needs."""
        return EngineState(
            self._clock.now_s(),
            self._ledger.block_tokens,
            self._ledger.total_blocks,
            self._ledger.free_blocks,
            tuple(self._running.values()),
        )

    async def wait_turn(self, work: Work, stream_id: str) -> None:
        """Wait until the work may start; its blocks are then held under the stream id."""
        key = AttemptKey(work.request_id, work.attempt)
        waiter = _Waiter(work, stream_id, trio.Event())
        self._waiting[key] = waiter
        self.notify_change()
        try:
            await waiter.turn.wait()
        finally:
            self._waiting.pop(key, None)

    def record_tokens(self, key: AttemptKey, tokens: int) -> None:
        """Record tokens that a run has generated."""
        running = self._running.get(key)
        if running is None:
            return
        first_token_s = running.first_token_s
        if first_token_s is None:
            first_token_s = self._clock.now_s()
        self._running[key] = running._replace(
            first_token_s=first_token_s, shown_tokens=running.shown_tokens + tokens
        )

    def remove(self, key: AttemptKey) -> None:
        """Remove a run from the running list; the ledger tracks its memory separately."""
        self._running.pop(key, None)
        self.notify_change()

    def notify_change(self) -> None:
        """Wake the dispatcher to reconsider the waiting work."""
        self._changed.set()

    async def dispatch(self) -> None:
        """Start waiting work until cancelled."""
        while True:
            self._changed = trio.Event()
            self._start_ready()
            if self._waiting:
                with trio.move_on_after(self._interval_s):
                    await self._changed.wait()
            else:
                await self._changed.wait()

    def _start_ready(self) -> None:
        while self._waiting and self.is_open():
            state = self.state()
            # After a freeze of the process this may run before the time limits have cancelled the
            # waiting tasks; expired work must not be started.
            ready = [work for work in self.waiting if work.deadline_s > state.now_s]
            work = self._pick(ready, state) if ready else None
            if work is None or not self._start(work, state):
                return

    def _pick(self, ready: list[Work], state: EngineState) -> Work | None:
        promises = self.promises()
        if not promises:
            return self.scheduler.pick(ready, state)
        promised_keys = {promise.key for promise in promises}
        for segment in [work for work in ready if AttemptKey(*work[:2]) in promised_keys]:
            # A segment may use the memory promised to it, but not that promised to others.
            other_blocks = sum(p.blocks for p in promises if p.key != AttemptKey(*segment[:2]))
            own_state = state._replace(free_blocks=max(0, state.free_blocks - other_blocks))
            if self.scheduler.pick([segment], own_state) is not None:
                return segment
        rest = [work for work in ready if AttemptKey(*work[:2]) not in promised_keys]
        rest = backfill_candidates(rest, state, promises, self.scheduler.cost)
        return self.scheduler.pick(rest, state) if rest else None

    def _start(self, work: Work, state: EngineState) -> bool:
        key = AttemptKey(work.request_id, work.attempt)
        waiter = self._waiting[key]
        blocks = self._ledger.blocks_for(work.prompt_tokens + work.output_tokens)
        if not self._ledger.hold(waiter.stream_id, blocks, state.now_s):
            return False
        del self._waiting[key]
        self._running[key] = Running(work, state.now_s, None, 0)
        waiter.turn.set()
        return True
