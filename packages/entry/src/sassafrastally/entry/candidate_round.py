"""The candidates of one round and what they have answered."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sassafrastally.entry.commit_turn import CommitTurn

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.entry.candidates import Reachable
    from sassafrastally.wire.messages import Refused


class CandidateRound:
    """Candidates that are asked one after another, each once but for busy ones.

    Parameters
    ----------
    known
        All sidecars that serve the target, by VM.
    chosen
        Those to ask, in their order.
    """

    def __init__(self, known: Mapping[str, Reachable], chosen: Sequence[Reachable]) -> None:
        self.known = known
        self.chosen = chosen
        self.refused: list[Refused] = []
        """Refusals other than ``busy``."""
        self.turn = CommitTurn()
        self._pending = deque(chosen)
        self._wait_s_by_vm: dict[str, float] = {}

    def take(self) -> Reachable | None:
        """Return the next candidate to ask; ``None`` if all have been asked."""
        if not self._pending and self._wait_s_by_vm:
            self._pending.append(self._least_busy())
        return self._pending.popleft() if self._pending else None

    def put_back(self, reachable: Reachable) -> None:
        """Make a candidate the next one to ask again."""
        self._pending.appendleft(reachable)

    def add_busy(self, reachable: Reachable, wait_s: float) -> None:
        """Record that a candidate can't start the request within its wait limit."""
        self._wait_s_by_vm[reachable.candidate.vm] = wait_s

    def _least_busy(self) -> Reachable:
        """Return the candidate with the shortest predicted wait, without a limit on the wait."""
        shortest_wait_vm = min(self._wait_s_by_vm, key=lambda vm: self._wait_s_by_vm[vm])
        self._wait_s_by_vm.clear()
        found = next(one for one in self.chosen if one.candidate.vm == shortest_wait_vm)
        return found._replace(candidate=found.candidate._replace(max_wait_s=0.0))
