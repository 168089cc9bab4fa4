"""Work in progress at backend servers: of this process, and merged over all entries.

In the names of the wire format, "reading" is the prefill of a prompt and "writing" is decoding.
"""

from __future__ import annotations

import hashlib
import math
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

MIN_UNFINISHED_PREFILL_MS = 15.0
"""Minimum remaining prefill that a prompt without a first event counts for on each of its engines,
even if its parts should be done."""

PREFILL_TIME_SHARE = 0.8
"""Share of its time that an engine spends on prefill while it also decodes; the rest of each pass
goes into decoding."""

OVERDUE_TOLERANCE_S = 0.1
"""Delay of a first event beyond its prediction that is still normal: one or two engine passes."""


class Lane(Enum):
    """Class of a request by its effect on other requests at the same engine."""

    SHORT = "short"
    """A short prompt, whose stream should have no long gaps between events."""
    LONG = "long"
    """A prompt whose prefill delays all other requests on the engine."""
    PLAIN = "plain"
    """A request to a plain service."""


class Work(NamedTuple):
    """Work in progress at one backend server."""

    short_requests: int = 0
    long_requests: int = 0
    prefill_requests: int = 0
    """Prompts in prefill at the server, in whole or in part, whose first event is still due."""
    plain_requests: int = 0
    tokens: int = 0
    """Memory that the requests take, in tokens."""
    prefill_ms: float = 0.0
    """Remaining prefill time."""
    decoding_tokens: int = 0
    """Memory of the long requests that have had their first event, in tokens; another prompt's
    prefill would delay their next events."""
    suspect_requests: int = 0
    """Requests during which a server has already crashed."""

    @property
    def requests(self) -> int:
        """Requests that occupy a slot."""
        return self.short_requests + self.long_requests + self.plain_requests


NO_WORK = Work()


class PrefillPart(NamedTuple):
    """Part of a request's prefill that one backend server does."""

    incarnation_id: str
    prefill_ms: float


class InFlightAttempt:
    """One attempt in progress.

    Attributes
    ----------
    incarnation_id
        Backend server that answers.
    lane
        Class of the request.
    memory
        Tokens that it takes, by backend server.
    parts
        Prefill by backend server, the answering one included.
    due_s
        When the first event is expected; after this time, prefill takes longer than planned.
    is_suspect
        Whether a server has already crashed while running its request.
    """

    def __init__(
        self,
        incarnation_id: str,
        lane: Lane,
        memory: Mapping[str, int] | None = None,
        parts: tuple[PrefillPart, ...] = (),
        due_s: float = math.inf,
        *,
        is_suspect: bool = False,
    ) -> None:
        self.incarnation_id = incarnation_id
        self.lane = lane
        self.memory = memory or {}
        self.parts = parts
        self.due_s = due_s
        self.is_suspect = is_suspect
        self.is_in_prefill = bool(parts)
        self.remaining_ms = {part.incarnation_id: part.prefill_ms for part in parts}
        """Remaining prefill time, by backend server."""


class Ledger:
    """This process's attempts in progress, by backend server.

    With many long prompts, most engines have prefill parts of several entries, and an engine
    processes them one after the other. If each entry reduced its own parts independently, all would
    appear done too early, and unfinished prompts would have to be overestimated to compensate. Idle
    engines would then look busy and requests to them would be refused.
    """

    def __init__(self) -> None:
        self.change_count = 0
        """Incremented with each change."""
        self.urgent_count = 0
        """Incremented with each change that must be sent to peers at once."""
        self._changed = trio.Event()
        self._urgent_changed = trio.Event()
        self.others: Callable[[], Sequence[Mapping[int, Work]]] = tuple
        """Returns the work of other entries, by hash of the backend server's id."""
        self._attempts: dict[InFlightAttempt, None] = {}
        """In start order, so that sums are reproducible between runs."""
        self._advanced_s = -math.inf

    def __len__(self) -> int:
        return len(self._attempts)

    async def changed_since(self, change_count: int) -> None:
        """Wait until `change_count` differs from the given value."""
        while self.change_count == change_count:
            await self._changed.wait()

    async def urgent_since(self, urgent_count: int) -> None:
        """Wait until `urgent_count` differs from the given value."""
        while self.urgent_count == urgent_count:
            await self._urgent_changed.wait()

    def note_change(self, *, is_urgent: bool = False) -> None:
        """Count a change and wake the tasks that wait for one."""
        self.change_count += 1
        self._changed.set()
        self._changed = trio.Event()
        if is_urgent:
            self.urgent_count += 1
            self._urgent_changed.set()
            self._urgent_changed = trio.Event()

    def add(self, attempt: InFlightAttempt, now_s: float) -> None:
        """Add an attempt that begins.

        Long prompts and suspects are sent to peers at once. A long prompt's prefill is spread over
        a large part of the engines; an entry that places another one without knowing of it uses the
        same engines, and one prompt waits for both. If two suspects run on one server, its next
        crash can't be attributed to either.
        """
        self.note_change(is_urgent=attempt.lane is Lane.LONG or attempt.is_suspect)
        self._advance_prefill(now_s)
        self._attempts[attempt] = None

    def first_event(self, attempt: InFlightAttempt, now_s: float) -> None:
        """Record that the prefill of an attempt is done."""
        if not attempt.is_in_prefill:
            return
        self.note_change()
        self._advance_prefill(now_s)
        attempt.is_in_prefill = False

    def remove(self, attempt: InFlightAttempt, now_s: float) -> None:
        """Remove an attempt that has ended."""
        self.first_event(attempt, now_s)
        self.note_change()
        self._attempts.pop(attempt, None)

    def work(self, now_s: float) -> dict[str, Work]:
        """Return the work by backend server."""
        self._advance_prefill(now_s)
        totals: dict[str, Work] = {}
        for attempt in self._attempts:
            at_server = totals.get(attempt.incarnation_id, NO_WORK)
            totals[attempt.incarnation_id] = at_server._replace(
                short_requests=at_server.short_requests + (attempt.lane is Lane.SHORT),
                long_requests=at_server.long_requests + (attempt.lane is Lane.LONG),
                plain_requests=at_server.plain_requests + (attempt.lane is Lane.PLAIN),
                suspect_requests=at_server.suspect_requests + attempt.is_suspect,
            )
            is_decoding = attempt.lane is Lane.LONG and not attempt.is_in_prefill
            for incarnation_id, tokens in attempt.memory.items():
                holder = totals.get(incarnation_id, NO_WORK)
                totals[incarnation_id] = holder._replace(
                    tokens=holder.tokens + tokens,
                    decoding_tokens=holder.decoding_tokens + tokens * is_decoding,
                )
            if attempt.is_in_prefill:
                for incarnation_id, remaining_ms in attempt.remaining_ms.items():
                    reader = totals.get(incarnation_id, NO_WORK)
                    totals[incarnation_id] = reader._replace(
                        prefill_requests=reader.prefill_requests + 1,
                        prefill_ms=reader.prefill_ms + remaining_ms,
                    )
        for attempt in self._attempts:
            if attempt.is_in_prefill:
                _count_overdue(totals, attempt, now_s)
        return totals

    def _advance_prefill(self, now_s: float) -> None:
        """Subtract the prefill done since the last call, shared among the parts of all entries."""
        elapsed_ms, self._advanced_s = 1000 * (now_s - self._advanced_s), now_s
        by_server: dict[str, list[InFlightAttempt]] = {}
        for attempt in self._attempts:
            if attempt.is_in_prefill and elapsed_ms > 0:
                for incarnation_id, remaining_ms in attempt.remaining_ms.items():
                    if remaining_ms > 0:
                        by_server.setdefault(incarnation_id, []).append(attempt)
        if not by_server:
            return
        others = self.others()
        decoding = {
            attempt.incarnation_id for attempt in self._attempts if not attempt.is_in_prefill
        }
        for incarnation_id, attempts in by_server.items():
            others_work = sum_work(
                work.get(server_hash(incarnation_id), NO_WORK) for work in others
            )
            is_decoding = (
                incarnation_id in decoding or others_work.requests > others_work.prefill_requests
            )
            done_ms = elapsed_ms * (PREFILL_TIME_SHARE if is_decoding else 1.0)
            total_ms = (
                sum(attempt.remaining_ms[incarnation_id] for attempt in attempts)
                + others_work.prefill_ms
            )
            for attempt in attempts:
                attempt.remaining_ms[incarnation_id] *= max(0.0, 1.0 - done_ms / total_ms)


def _count_overdue(totals: dict[str, Work], attempt: InFlightAttempt, now_s: float) -> None:
    """Count a minimum remaining prefill for an attempt whose parts should be done but aren't."""
    # An overdue prompt waits for one of its engines, but this process doesn't know for which. By
    # the plan that engine looks idle, and short prompts placed there would wait. The remaining time
    # is unknown too and is estimated as the time by which the prompt is already late. Several
    # overdue prompts on one engine wait for the same work, or their answers are lost, so the
    # maximum counts instead of the sum.
    overdue_ms = (now_s - attempt.due_s - OVERDUE_TOLERANCE_S) * 1000 / len(attempt.parts)
    least_ms = max(overdue_ms, MIN_UNFINISHED_PREFILL_MS)
    for incarnation_id in attempt.remaining_ms:
        reader = totals[incarnation_id]
        totals[incarnation_id] = reader._replace(prefill_ms=max(reader.prefill_ms, least_ms))


def sum_work(works: Iterable[Work]) -> Work:
    """Return the sum of several works, field by field."""
    return Work(*map(sum, zip(NO_WORK, *works, strict=True)))


def merge_work(own: Mapping[str, Work], from_peers: Iterable[Mapping[int, Work]]) -> WorkView:
    """Return the combined work of all entries."""
    by_hash: dict[int, list[Work]] = {}
    for incarnation_id, work in own.items():
        by_hash.setdefault(server_hash(incarnation_id), []).append(work)
    for loads in from_peers:
        for key, work in loads.items():
            by_hash.setdefault(key, []).append(work)
    return WorkView({key: sum_work(works) for key, works in by_hash.items()})


class WorkView(NamedTuple):
    """Work of all entries by hash of the backend server's id."""

    by_hash: dict[int, Work]

    def at(self, incarnation_id: str) -> Work:
        """Return the work at a backend server."""
        return self.by_hash.get(server_hash(incarnation_id), NO_WORK)


@lru_cache(maxsize=8192)
def server_hash(incarnation_id: str) -> int:
    """Return the 64-bit key of a backend server, used between entries and for the shared order."""
    return int.from_bytes(hashlib.blake2b(incarnation_id.encode(), digest_size=8).digest(), "big")
