"""What a soak has seen: callers' attempts, troubles with their times, broken promises."""

from __future__ import annotations

import math
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.stand_ins.documents import CUSTOMER

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from sassafrastally.stand_ins.replica import Replica

CALM_AFTER_S = 3.0
"""Time after a trouble until promises with a time bound hold again, as on the users' platform."""


TIME_LEFT_S = 4.0
"""How long a caller usually waits."""


class Kind(Enum):
    """Kinds of request."""

    NOTE = "note"
    """A stream for a short prompt."""
    DOSSIER = "dossier"
    """A stream for a long prompt."""
    LOOK = "look"
    """A request that may be repeated."""
    BOOK = "book"
    """A request that must run at most once."""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (Kind.NOTE, Kind.DOSSIER)


KIND_WEIGHTS = {Kind.NOTE: 50, Kind.DOSSIER: 3, Kind.LOOK: 22, Kind.BOOK: 22}
"""How often callers draw each kind of request, relative to each other."""


SHARED_PARTS = 4
"""Number of parts that prompts share."""


class Attempt:
    """One attempt of a caller, with its answer.

    Attributes
    ----------
    events
        Events that a whole answer has; 0 for requests without a stream.
    status
        0 while there is none.
    has_left
        The caller closed its connection on purpose.
    content
        Body of the request; by default one of its own.
    customer
        Whose key it carries.
    time_left_s
        How long its caller waits.
    """

    def __init__(
        self,
        attempt_id: str,
        kind: Kind,
        entry: int,
        events: int,
        content: str = "",
        customer: str = CUSTOMER,
        *,
        is_harmful: bool = False,
        harmful_part: str = "",
        time_left_s: float = TIME_LEFT_S,
    ) -> None:
        self.attempt_id = attempt_id
        self.customer = customer
        self.time_left_s = time_left_s
        self.is_harmful = is_harmful
        """Whether servers crash under it."""
        self.harmful_part = harmful_part
        """ID of the part of its prompt that crashes servers, if any."""
        self.content = (content or attempt_id).encode()
        self.common_parts: tuple[str, ...] = ()
        """IDs of further parts of its prompt."""
        self.kind = kind
        self.entry = entry
        self.events = events
        self.sent_s = trio.current_time()
        self.last_byte_s = self.sent_s
        """When the last byte was sent, if the request is sent in pieces."""
        self.is_sent = False
        """Whether the whole request was sent, if it is sent in pieces."""
        self.ended_s: float | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.is_direct = False
        """Whether it has a connection of its own that no proxy passes on."""
        self.has_left = False

    @property
    def limit_s(self) -> float:
        """When its caller's time is over."""
        return self.sent_s + self.time_left_s

    @property
    def parts(self) -> str | None:
        """IDs of the parts of its prompt: one that many share, others, a harmful one, its own."""
        if not self.kind.is_stream:
            return None
        # Named by the id, since another draw would change what a seed does.
        shared = f"5a{int(self.attempt_id, 16) % SHARED_PARTS}"
        return ",".join(
            filter(None, (shared, *self.common_parts, self.harmful_part, self.attempt_id))
        )

    @property
    def target(self) -> str:
        """Path of the request; names its content, so that a foreign answer shows."""
        return f"/{self.kind.value}/{self.content.decode()}"


class TroubleSpan:
    """A trouble from its beginning to its end.

    Attributes
    ----------
    entries
        Entries that it harms; ``None``: all.
    is_planned
        Planned work excuses no lost answer.
    """

    def __init__(
        self, name: str, entries: frozenset[int] | None, *, is_at_store: bool, is_planned: bool
    ) -> None:
        self.name = name
        self.entries = entries
        self.is_at_store = is_at_store
        self.is_planned = is_planned
        self.begin_s = trio.current_time()
        self.end_s = math.inf

    def __str__(self) -> str:
        harmed = "all" if self.entries is None else sorted(self.entries)
        return f"{self.name} at {harmed}"


class Broken(NamedTuple):
    """A broken promise."""

    promise: str
    detail: str


class Record:
    """All of it."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.spans: list[TroubleSpan] = []
        self.broken: list[Broken] = []
        self.lags: list[HarmedSpan] = []
        """Times by which the soak's own tasks ran late."""
        self.begin_s = trio.current_time()

    @contextmanager
    def trouble(
        self,
        name: str,
        entries: Iterable[int] | None = None,
        *,
        at_store: bool = False,
        planned: bool = False,
    ) -> Iterator[TroubleSpan]:
        """Note a trouble for as long as the block takes."""
        harmed = None if entries is None else frozenset(entries)
        span = TroubleSpan(name, harmed, is_at_store=at_store, is_planned=planned)
        self.spans.append(span)
        try:
            yield span
        finally:
            span.end_s = trio.current_time()

    def own_lag_s(self, begin_s: float, end_s: float) -> float:
        """Return by how much the soak's own tasks ran late in a time."""
        return sum(
            lag.end_s - lag.begin_s
            for lag in self.lags
            if lag.begin_s <= end_s and lag.end_s >= begin_s
        )

    def count_active(self, name: str) -> int:
        """Return how many troubles of a name are in progress."""
        now_s = trio.current_time()
        return sum(span.name == name and span.end_s > now_s for span in self.spans)

    def names_during(self, begin_s: float, end_s: float) -> list[str]:
        """Return the names of the troubles in progress in a time."""
        return [span.name for span in self.spans if span.begin_s <= end_s and span.end_s >= begin_s]

    def is_calm(
        self,
        entry: int,
        begin_s: float,
        end_s: float,
        *,
        with_planned: bool = False,
        but_for: tuple[str, ...] = (),
    ) -> bool:
        """Return whether no trouble but of the store harmed an entry in a time and shortly before.

        Parameters
        ----------
        entry
            The entry.
        begin_s, end_s
            The time.
        with_planned
            Whether planned work counts.
        but_for
            Troubles whose names begin so don't count.
        """
        for span in self.spans:
            if (span.is_planned and not with_planned) or span.name.startswith(but_for):
                continue
            is_concerned = span.entries is None or entry in span.entries
            if span.is_at_store:
                is_concerned = False
            overlaps = span.begin_s <= end_s and span.end_s + CALM_AFTER_S >= begin_s
            if is_concerned and overlaps:
                return False
        return True

    def calm_since_s(self, entry: int, at_s: float, but_for: tuple[str, ...] = ()) -> float:
        """Return since when an entry has been calm, the store included; infinite if it isn't.

        Parameters
        ----------
        entry
            The entry.
        at_s
            The time at which it has to be calm.
        but_for
            Troubles whose names begin so don't count.
        """
        ends_s = (
            span.end_s + CALM_AFTER_S
            for span in self.spans
            if not (span.is_planned or span.name.startswith(but_for))
            and (span.entries is None or entry in span.entries)
            and span.begin_s <= at_s
        )
        since_s = max(ends_s, default=-math.inf)
        return math.inf if since_s > at_s else since_s

    def note_broken(self, promise: str, detail: str) -> None:
        """Note a broken promise with the time since the beginning."""
        elapsed_s = trio.current_time() - self.begin_s
        self.broken.append(Broken(promise, f"{elapsed_s:.2f} s: {detail}"))


class FirstStop(NamedTuple):
    """The silence of the first server of a request."""

    replica: Replica
    goes_on_s: float
    """When it goes on, unless the entry has closed the request."""


class HarmedSpan(NamedTuple):
    """A time in which a data centre is evacuated, a server is cold or an entry stands still."""

    name: str
    begin_s: float
    end_s: float


class LimitedSpan(NamedTuple):
    """A time in which a server names a limit."""

    replica: Replica
    most_per_s: float
    begin_s: float
    end_s: float
