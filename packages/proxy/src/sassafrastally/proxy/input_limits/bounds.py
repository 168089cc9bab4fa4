"""Bounds for what is read from one peer before it is handed on or discarded."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

MAX_HEAD_BYTES = 65_536
"""Size of a response header. Servers send less than a kilobyte; common HTTP servers and clients
allow 8 to 64 KB."""

MAX_INTERIM_RESPONSES = 16
"""Number of interim (1xx) responses before a response. A server needs one or two: 100 and 103, or
102 once in a while."""

MAX_INTERIM_BYTES = 65_536
"""Size of all interim responses before a response, which together are no larger than a header."""

MAX_TRAILER_BYTES = 16_384
"""Size of a line between two chunks of a body or after the last one."""

MAX_BODY_BYTES = 4_194_304
"""Size of a body that is buffered as a whole: as much as a caller may send by default."""

MAX_SMALL_CHUNKS = 16_384
"""Number of parts of a response's body while their mean size is below `SMALL_CHUNK_BYTES`. Parsing
one takes about 10 µs, however small it is: a body in chunks of one byte takes all processor time
until its attempt is abandoned."""

SMALL_CHUNK_BYTES = 4
"""Mean size below which parts are small: half of the shortest event with a word of data."""

MAX_DISCARDED_BYTES = 65_536
"""Size of a body that is read only to be discarded: one read."""

DISCARD_TIME_S = 0.1
"""Time for which such a body is read. It usually arrives with its header."""

MAX_EVENT_BYTES = 1_048_576
"""Size of an event. Engines send some hundred bytes to some kilobytes each, and rarely a large
document as one event."""

MAX_IDLE_BYTES = 65_536
"""Size of all comments and repeated events between two new events of a stream. Servers send a
comment of some bytes every few seconds."""

MAX_READ_EVENTS = 64
"""Number of parsed events after which a reader lets other tasks run. Parsing one takes about 10 µs,
and one read of tiny chunks holds thousands."""


class InputPlace(Enum):
    """What exceeded a bound, with its unit."""

    HEADER = "header bytes"
    INTERIM = "interim responses"
    INTERIM_HEADERS = "interim response bytes"
    TRAILERS = "trailer bytes"
    BODY = "body bytes"
    SMALL_CHUNKS = "small chunks"
    EVENT = "event bytes"
    BETWEEN_EVENTS = "bytes between events"
    ALL = "held bytes"
    """The largest holder when all readers together exceeded the budget of the process."""


class InputExcess(NamedTuple):
    """Input of a peer that exceeded a bound."""

    place: InputPlace
    amount: int
    """What had been received, in the unit of the place; for `ALL`, what the reader held."""
    bound: int

    def __str__(self) -> str:
        return f"{self.place.value}: {self.amount}, over {self.bound}"
