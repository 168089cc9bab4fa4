"""Latest answers by subject: requests and parts of prompts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.fingerprint import is_part

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

NEVER_S = float("-inf")

MAX_ANSWERED = 2048
"""Maximum number of answered requests that are remembered, and of answered parts."""

MAX_APPLIED = 1024
"""Maximum number of subjects with crashes whose latest answer is kept."""

CONFIRMED_AFTER_S = 1.0
"""Time after a short answer until it counts for the parts of its prompt. Its server may have
crashed right after writing it; entries learn of that within a fraction of a second."""

MAX_UNCONFIRMED = 512
"""Maximum number of short answers that wait for confirmation."""


class _Unconfirmed(NamedTuple):
    """A short answer that doesn't count yet."""

    due_s: float
    server: int
    parts: tuple[int, ...]


class AnsweredSubjects:
    """Latest answers by subject."""

    def __init__(self) -> None:
        self._own_s: dict[bool, dict[int, float]] = {False: {}, True: {}}
        """Latest answer received by this entry, by whether the subject is a part."""
        self._applied_s: dict[int, float] = {}
        """Latest answer received by any entry to subjects with crashes."""
        self._unconfirmed: deque[_Unconfirmed] = deque(maxlen=MAX_UNCONFIRMED)

    def was_answered(self, subject: int) -> bool:
        """Return whether a subject with crashes was answered, before or after them."""
        return subject in self._applied_s

    def latest_s(self, subject: int) -> float:
        """Return the time of the latest answer to a subject with crashes."""
        return self._applied_s.get(subject, NEVER_S)

    def own_s(self, subject: int) -> float:
        """Return the time of the latest answer that this entry received."""
        return self._own_s[is_part(subject)].get(subject, NEVER_S)

    def is_own(self, subject: int) -> bool:
        """Return whether this entry has received an answer."""
        return subject in self._own_s[is_part(subject)]

    def record_own(self, subject: int, now_s: float) -> None:
        """Record an answer that this entry received, with or without earlier crashes."""
        known = self._own_s[is_part(subject)]
        known.pop(subject, None)
        known[subject] = now_s
        if len(known) > MAX_ANSWERED:
            del known[next(iter(known))]

    def apply(self, subject: int, at_s: float) -> bool:
        """Record an answer to a subject with crashes; return whether it is the latest known."""
        if at_s <= self.latest_s(subject):
            return False
        self._applied_s[subject] = at_s
        if len(self._applied_s) > MAX_APPLIED:
            del self._applied_s[next(iter(self._applied_s))]
        return True

    def applied(self) -> Iterable[tuple[int, float]]:
        """Return the subjects with crashes and the times of their latest answers."""
        return self._applied_s.items()

    def forget(self, subject: int) -> None:
        """Forget that a subject with crashes was answered."""
        self._applied_s.pop(subject, None)

    def record_unconfirmed(self, parts: tuple[int, ...], server: int, now_s: float) -> None:
        """Record a short answer, which counts for the parts unless its server crashes soon."""
        self._unconfirmed.append(_Unconfirmed(now_s + CONFIRMED_AFTER_S, server, parts))

    def pop_confirmed(
        self, now_s: float, has_crashed: Callable[[int], bool]
    ) -> Sequence[tuple[int, ...]]:
        """Return the parts of short answers whose servers haven't crashed since.

        Parameters
        ----------
        now_s
            Present time.
        has_crashed
            Returns whether a server has crashed, by its hash.
        """
        confirmed = []
        while self._unconfirmed and self._unconfirmed[0].due_s <= now_s:
            one = self._unconfirmed.popleft()
            if not has_crashed(one.server):
                confirmed.append(one.parts)
        return confirmed
