"""Numbered events: the event catalogue, the in-memory ring buffer and the structured log.

An event is a `NamedTuple` class registered in the catalogue by the `event` decorator. Emitting an
event stamps it with the hybrid logical clock, appends it to the ring buffer that
`sassafrastally timeline` reads and writes one structured log line. Event numbers use the same
range for each package as error codes.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol, TypedDict, TypeVar

from sassafrastally.core.held_lines import HELD_LINES
from sassafrastally.core.hlc import HybridClock

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sassafrastally.core.clock import Clock
    from sassafrastally.core.ids import Incarnation

RING_CAPACITY = 4096
"""Events kept in memory; the oldest are dropped first."""

LEVELS = ("debug", "info", "warning", "error")


class EventTuple(Protocol):
    """Methods of a named tuple that the event log uses."""

    def _asdict(self) -> dict[str, Any]: ...


C = TypeVar("C", bound="type[Any]")


class EventKind(NamedTuple):
    """Catalogue entry of an event class."""

    number: int
    name: str
    level: str
    meaning: str
    fields: tuple[str, ...]


class EventRecord(TypedDict):
    """An emitted event as stored in the ring buffer and shown in the timeline."""

    stamp: int
    """Hybrid logical clock timestamp."""
    vm: str
    incarnation: str
    number: int
    name: str
    level: str
    fields: dict[str, Any]
    """Fields of the event class, including ``request_id`` and ``generation`` where they apply."""


MAX_TEXT_CHARS = 2_000
"""Length of a text in an event, beyond which it is cut off."""

CATALOGUE: dict[int, EventKind] = {}
"""Registered event kinds by number; the events reference page is generated from it."""

_KINDS: dict[type[Any], EventKind] = {}


def event(number: int, level: str = "info") -> Callable[[C], C]:
    """Return a class decorator that registers an event class in the catalogue.

    Parameters
    ----------
    number
        Number of the event, unique across all packages.
    level
        One of `LEVELS`.
    """

    def decorate(cls: C) -> C:
        if number in CATALOGUE:
            raise ValueError(f"event {number} is taken by {CATALOGUE[number].name}")
        if level not in LEVELS:
            raise ValueError(f"event {number} has an unknown level: {level}")
        # Docstrings are missing under the interpreter's flag -OO.
        meaning = (cls.__doc__ or "").strip().partition("\n")[0]
        kind = EventKind(number, cls.__name__, level, meaning, tuple(cls._fields))
        CATALOGUE[number] = kind
        _KINDS[cls] = kind
        return cls

    return decorate


def _shortened(value: Any) -> Any:
    """Return a value of a field, without the rest of a long text.

    Texts of other processes, such as the message of an engine's error, may have megabytes, and the
    ring buffer keeps thousands of them.
    """
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        return f"{value[:MAX_TEXT_CHARS]} ({len(value)} characters)"
    return value


class EventLog:
    """The event log of one process.

    Parameters
    ----------
    vm
        Name of the VM.
    incarnation
        Incarnation of the process.
    clock
        Clock of the process.
    capacity
        Number of events kept in the ring buffer.
    """

    def __init__(
        self, vm: str, incarnation: Incarnation, clock: Clock, capacity: int = RING_CAPACITY
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.hybrid = HybridClock(clock)
        self.dropped = 0
        self._ring: deque[EventRecord] = deque(maxlen=capacity)
        self._logger: Any = None

    def emit(self, item: EventTuple) -> EventRecord:
        """Stamp an event, append it to the ring buffer and log it."""
        kind = _KINDS[type(item)]
        record = EventRecord(
            stamp=self.hybrid.tick(),
            vm=self.vm,
            incarnation=self.incarnation,
            number=kind.number,
            name=kind.name,
            level=kind.level,
            fields={name: _shortened(value) for name, value in item._asdict().items()},
        )
        if len(self._ring) == self._ring.maxlen:
            self.dropped += 1
        self._ring.append(record)
        fields = {"number": kind.number, **record["fields"]}
        if not HELD_LINES.keep(self._write_line, kind.level, kind.name, fields):
            self._write_line(kind.level, kind.name, fields)
        return record

    def _write_line(self, level: str, name: str, fields: dict[str, Any]) -> None:
        if self._logger is None:
            # Imported when the first line is written, which may be after the process serves.
            import structlog

            self._logger = structlog.get_logger("sassafrastally").bind(vm=self.vm)
        getattr(self._logger, level)(name, **fields)

    def records(self, where: Mapping[str, Any] | None = None) -> list[EventRecord]:
        """Return the buffered events whose fields match all of `where`, oldest first."""
        expected = where or {}
        return [
            record
            for record in self._ring
            if all(record["fields"].get(key) == value for key, value in expected.items())
        ]
