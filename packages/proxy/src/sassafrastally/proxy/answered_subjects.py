"""Latest answers by subject: requests and parts of prompts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.fingerprint import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable

NEVER_S = float("-inf")

MAX_ANSWERED = 2048
"""Maximum number of answered requests that are remembered, and of answered parts."""

MAX_APPLIED = 1024
"""Maximum number of subjects with crashes whose latest answer is kept."""

CONFIRMED_AFTER_S = 0.5
"""Time after a short answer from which a further answer of its server confirms it. The server may
have crashed right after writing it, unnoticed by entries whose requests weren't there."""

MAX_UNCONFIRMED_SERVERS = 512
MAX_UNCONFIRMED_ANSWERS = 8
"""Maximum number of servers with short answers that wait for confirmation, and of such answers of
one server."""


class _ShortAnswer(NamedTuple):
    """A short answer that doesn't count yet."""

    at_s: float
    parts: tuple[int, ...]


class AnsweredSubjects:
    """Latest answers by subject."""

    def __init__(self) -> None:
        self._own_s: dict[bool, dict[int, float]] = {False: {}, True: {}}
        """Latest answer received by this entry, by whether the subject is a part."""
        self._applied_s: dict[int, float] = {}
        """Latest answer received by any entry to subjects with crashes."""
        self._unconfirmed: dict[int, deque[_ShortAnswer]] = {}
        """Short answers by the hash of their server."""

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

    def record_short(self, parts: tuple[int, ...], server: int, now_s: float) -> None:
        """Record a short answer, which counts for the parts once its server is known to live."""
        answers = self._unconfirmed.pop(server, None) or deque(maxlen=MAX_UNCONFIRMED_ANSWERS)
        answers.append(_ShortAnswer(now_s, parts))
        self._unconfirmed[server] = answers
        if len(self._unconfirmed) > MAX_UNCONFIRMED_SERVERS:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def pop_confirmed(self, server: int, now_s: float) -> list[int]:
        """Return the parts of earlier short answers of a server that has answered again."""
        answers = self._unconfirmed.get(server, ())
        confirmed: list[int] = []
        while answers and now_s - answers[0].at_s >= CONFIRMED_AFTER_S:
            confirmed += answers.popleft().parts
        return confirmed
