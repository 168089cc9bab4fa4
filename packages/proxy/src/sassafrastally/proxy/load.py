"""Work in progress at backend servers: this process's own, and the sum over all entries."""

from __future__ import annotations

import hashlib
import math
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

UNFINISHED_READING_MS = 15.0
"""Reading that a prompt without a first event counts for at least on each of its engines, though
its parts should be done."""

READING_SHARE = 0.8
"""Part of its time that an engine reads while it also writes; the rest goes into the events of the
same passes."""

OVERDUE_S = 0.1
"""How much later than predicted a first event may come and still be usual: a pass or two."""


class Lane(Enum):
    """What a request means for others on the same engine."""

    SHORT = "short"
    """A short prompt, whose caller wants events without pauses."""
    LONG = "long"
    """A prompt whose reading holds up everything else on the engine."""
    PLAIN = "plain"
    """A request to a plain service."""


class Work(NamedTuple):
    """Work in progress at one backend server."""

    short_requests: int = 0
    long_requests: int = 0
    reading_requests: int = 0
    """Prompts that the server reads or helps to read, whose first event is still due."""
    plain_requests: int = 0
    tokens: int = 0
    """Memory that the requests take."""
    reading_ms: float = 0.0
    """Time that the reading still takes."""
    writing_tokens: int = 0
    """Memory of those long requests that have had their first event: whose next ones a further
    prompt would hold up."""
    suspect_requests: int = 0
    """Requests under which a server has crashed already."""

    @property
    def requests(self) -> int:
        """Requests that occupy a slot."""
        return self.short_requests + self.long_requests + self.plain_requests


NO_WORK = Work()


class Part(NamedTuple):
    """Reading that one backend server does for a request."""

    life_id: str
    reading_ms: float


class Flight:
    """One attempt in progress.

    Attributes
    ----------
    life_id
        Backend server that answers.
    lane
        What the request means for others there.
    memory
        Tokens that it takes, by backend server.
    parts
        Reading by backend server, the answering one included.
    due_s
        When the first event was expected; later than that, reading goes on for longer than planned.
    is_suspect
        Whether a server has crashed under its request already.
    """

    def __init__(
        self,
        life_id: str,
        lane: Lane,
        memory: Mapping[str, int] | None = None,
        parts: tuple[Part, ...] = (),
        due_s: float = math.inf,
        *,
        is_suspect: bool = False,
    ) -> None:
        self.life_id = life_id
        self.lane = lane
        self.memory = memory or {}
        self.parts = parts
        self.due_s = due_s
        self.is_suspect = is_suspect
        self.is_reading = bool(parts)
        self.left_ms = {part.life_id: part.reading_ms for part in parts}
        """Reading that is still to be done, by backend server."""


class Ledger:
    """This process's attempts in progress, by backend server.

    The load that it answers: so many long prompts that parts of several entries meet on most
    engines. An engine does them one after the other. If each entry counted its own part down by
    itself, all would seem done too early, and prompts that aren't would have to count for more than
    they are: engines that idle then look busy, and callers are turned away from them.
    """

    def __init__(self) -> None:
        self.change_count = 0
        """Grows with each change."""
        self.urgent_count = 0
        """Grows with each change that peers should hear of at once."""
        self._changed = trio.Event()
        self._changed_urgently = trio.Event()
        self.others: Callable[[], Sequence[Mapping[int, Work]]] = tuple
        """Asked for the work of other entries, by hash of the backend server's id."""
        self._flights: dict[Flight, None] = {}
        """In the order in which they began, so that sums are the same on each run."""
        self._counted_s = -math.inf

    def __len__(self) -> int:
        return len(self._flights)

    async def changed_since(self, change_count: int) -> None:
        """Wait until something has changed since that count."""
        while self.change_count == change_count:
            await self._changed.wait()

    async def urgent_since(self, urgent_count: int) -> None:
        """Wait until something urgent has changed since that count."""
        while self.urgent_count == urgent_count:
            await self._changed_urgently.wait()

    def note_change(self, *, is_urgent: bool = False) -> None:
        """Wake those who wait for a change."""
        self.change_count += 1
        self._changed.set()
        self._changed = trio.Event()
        if is_urgent:
            self.urgent_count += 1
            self._changed_urgently.set()
            self._changed_urgently = trio.Event()

    def add(self, flight: Flight, now_s: float) -> None:
        """Count an attempt that begins.

        A long prompt is read by a large part of the engines at once. Another entry that places one
        before it has heard of it reads it on the same engines, and one of the two waits for both.
        Suspects that meet on one server can't be told apart by its next crash.
        """
        self.note_change(is_urgent=flight.lane is Lane.LONG or flight.is_suspect)
        self._count_down(now_s)
        self._flights[flight] = None

    def first_event(self, flight: Flight, now_s: float) -> None:
        """Note that the prompt of an attempt has been read."""
        if not flight.is_reading:
            return
        self.note_change()
        self._count_down(now_s)
        flight.is_reading = False

    def remove(self, flight: Flight, now_s: float) -> None:
        """Stop counting an attempt that has ended."""
        self.first_event(flight, now_s)
        self.note_change()
        self._flights.pop(flight, None)

    def work(self, now_s: float) -> dict[str, Work]:
        """Return the work by backend server."""
        self._count_down(now_s)
        totals: dict[str, Work] = {}
        for flight in self._flights:
            at_server = totals.get(flight.life_id, NO_WORK)
            totals[flight.life_id] = at_server._replace(
                short_requests=at_server.short_requests + (flight.lane is Lane.SHORT),
                long_requests=at_server.long_requests + (flight.lane is Lane.LONG),
                plain_requests=at_server.plain_requests + (flight.lane is Lane.PLAIN),
                suspect_requests=at_server.suspect_requests + flight.is_suspect,
            )
            is_writing = flight.lane is Lane.LONG and not flight.is_reading
            for life_id, tokens in flight.memory.items():
                holder = totals.get(life_id, NO_WORK)
                totals[life_id] = holder._replace(
                    tokens=holder.tokens + tokens,
                    writing_tokens=holder.writing_tokens + tokens * is_writing,
                )
            if flight.is_reading:
                for life_id, left_ms in flight.left_ms.items():
                    reader = totals.get(life_id, NO_WORK)
                    totals[life_id] = reader._replace(
                        reading_requests=reader.reading_requests + 1,
                        reading_ms=reader.reading_ms + left_ms,
                    )
        for flight in self._flights:
            if flight.is_reading:
                _count_late(totals, flight, now_s)
        return totals

    def _count_down(self, now_s: float) -> None:
        """Count the reading that engines have done since the last time, for all entries alike."""
        elapsed_ms, self._counted_s = 1000 * (now_s - self._counted_s), now_s
        by_server: dict[str, list[Flight]] = {}
        for flight in self._flights:
            if flight.is_reading and elapsed_ms > 0:
                for life_id, left_ms in flight.left_ms.items():
                    if left_ms > 0:
                        by_server.setdefault(life_id, []).append(flight)
        if not by_server:
            return
        others = self.others()
        written = {flight.life_id for flight in self._flights if not flight.is_reading}
        for life_id, flights in by_server.items():
            of_others = add_work(work.get(server_hash(life_id), NO_WORK) for work in others)
            is_writing = life_id in written or of_others.requests > of_others.reading_requests
            done_ms = elapsed_ms * (READING_SHARE if is_writing else 1.0)
            total_ms = sum(flight.left_ms[life_id] for flight in flights) + of_others.reading_ms
            for flight in flights:
                flight.left_ms[life_id] *= max(0.0, 1.0 - done_ms / total_ms)


def _count_late(totals: dict[str, Work], flight: Flight, now_s: float) -> None:
    """Let a prompt without a first event count for something after its parts should be done."""
    # A prompt that should have been read and isn't waits on one of its engines, which this process
    # doesn't know: it looks idle by the plan, and short prompts placed there would wait for it. How
    # much longer it takes isn't known either: as long again as it is late already. Several that are
    # late on one engine wait for the same, or their answers are lost: the latest counts alone.
    overdue_ms = (now_s - flight.due_s - OVERDUE_S) * 1000 / len(flight.parts)
    least_ms = max(overdue_ms, UNFINISHED_READING_MS)
    for life_id in flight.left_ms:
        reader = totals[life_id]
        totals[life_id] = reader._replace(reading_ms=max(reader.reading_ms, least_ms))


def add_work(works: Iterable[Work]) -> Work:
    """Return the sum."""
    columns = zip(NO_WORK, *works, strict=True)
    return Work(*(sum(column) for column in columns))


def merge(own: Mapping[str, Work], of_peers: Iterable[Mapping[int, Work]]) -> WorkView:
    """Return a view of all entries' work."""
    by_hash: dict[int, list[Work]] = {}
    for life_id, work in own.items():
        by_hash.setdefault(server_hash(life_id), []).append(work)
    for loads in of_peers:
        for key, work in loads.items():
            by_hash.setdefault(key, []).append(work)
    return WorkView({key: add_work(works) for key, works in by_hash.items()})


class WorkView(NamedTuple):
    """Work of all entries by hash of the backend server's id."""

    by_hash: dict[int, Work]

    def at(self, life_id: str) -> Work:
        """Return the work at a backend server."""
        return self.by_hash.get(server_hash(life_id), NO_WORK)


@lru_cache(maxsize=8192)
def server_hash(life_id: str) -> int:
    """Return 64 bits that stand for a backend server between entries and give the shared order."""
    return int.from_bytes(hashlib.blake2b(life_id.encode(), digest_size=8).digest(), "big")
