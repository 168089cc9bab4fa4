"""Numbered events: the catalogue, the bounded ring and the log.

An event is a `NamedTuple` class that the `event` decorator puts into the catalogue. Emitting one
stamps it with the hybrid logical clock, keeps it in the ring that `sassafrastally timeline` reads
and writes one structured log line. Numbers follow the packages as error codes do.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol, TypedDict, TypeVar

import structlog

from sassafrastally.core.hlc import HybridClock

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sassafrastally.core.clock import Clock
    from sassafrastally.core.ids import Incarnation

RING_CAPACITY = 4096
"""Events kept in memory; the oldest leave first."""

LEVELS = ("debug", "info", "warning", "error")


class EventTuple(Protocol):
    """What an event class offers: the methods of a named tuple."""

    def _asdict(self) -> dict[str, Any]: ...


C = TypeVar("C", bound="type[Any]")


class EventKind(NamedTuple):
    """Entry of the catalogue."""

    number: int
    name: str
    level: str
    meaning: str
    fields: tuple[str, ...]


class EventRecord(TypedDict):
    """An event as the ring keeps it and as the time line shows it."""

    stamp: int
    """Hybrid logical stamp."""
    vm: str
    incarnation: str
    number: int
    name: str
    level: str
    fields: dict[str, Any]
    """The event's own fields; ``request_id`` and ``generation`` are among them where they apply."""


CATALOGUE: dict[int, EventKind] = {}
"""Every event kind by number; the events page of the docs is made from it."""

_KINDS: dict[type[Any], EventKind] = {}


def event(number: int, level: str = "info") -> Callable[[C], C]:
    """Return a class decorator that puts an event class into the catalogue.

    Parameters
    ----------
    number
        Number of the event, unique over all packages.
    level
        One of `LEVELS`.
    """

    def decorate(cls: C) -> C:
        if number in CATALOGUE:
            raise ValueError(f"event {number} is taken by {CATALOGUE[number].name}")
        if level not in LEVELS:
            raise ValueError(f"event {number} has no such level: {level}")
        meaning = (cls.__doc__ or "").strip().splitlines()[0]
        kind = EventKind(number, cls.__name__, level, meaning, tuple(cls._fields))
        CATALOGUE[number] = kind
        _KINDS[cls] = kind
        return cls

    return decorate


class EventLog:
    """The events of one process.

    Parameters
    ----------
    vm
        Name of the VM.
    incarnation
        This life of the process.
    clock
        The process's clock.
    capacity
        How many events the ring keeps.
    """

    def __init__(
        self, vm: str, incarnation: Incarnation, clock: Clock, capacity: int = RING_CAPACITY
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.hybrid = HybridClock(clock)
        self.dropped = 0
        self._ring: deque[EventRecord] = deque(maxlen=capacity)
        self._logger = structlog.get_logger("sassafrastally").bind(vm=vm)

    def emit(self, item: EventTuple) -> EventRecord:
        """Stamp an event, keep it in the ring and log it."""
        kind = _KINDS[type(item)]
        record = EventRecord(
            stamp=self.hybrid.tick(),
            vm=self.vm,
            incarnation=self.incarnation,
            number=kind.number,
            name=kind.name,
            level=kind.level,
            fields=item._asdict(),
        )
        if len(self._ring) == self._ring.maxlen:
            self.dropped += 1
        self._ring.append(record)
        getattr(self._logger, kind.level)(kind.name, number=kind.number, **record["fields"])
        return record

    def records(self, where: Mapping[str, Any] | None = None) -> list[EventRecord]:
        """Return the kept events, oldest first, whose fields equal all of `where`."""
        wanted = where or {}
        return [
            record
            for record in self._ring
            if all(record["fields"].get(key) == value for key, value in wanted.items())
        ]
