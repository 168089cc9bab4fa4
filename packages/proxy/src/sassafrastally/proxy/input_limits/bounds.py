"""Bounds for what is read from one peer before it is handed on or discarded."""

from __future__ import annotations

MAX_HEAD_BYTES = 65_536
"""Size of a response header. Servers send less than a kilobyte; common HTTP servers and clients
allow 8 to 64 KB."""

MAX_INTERIM_RESPONSES = 16
"""Number of interim (1xx) responses before a response. A server needs one or two: 100 and 103, or
102 once in a while."""

MAX_INTERIM_BYTES = 65_536
"""Size of all interim responses before a response, which together are no larger than a header."""

MAX_TRAILER_BYTES = 16_384
"""Size of the trailer section of a chunked body. The proxy uses no trailers; senders add a checksum
or a status."""

MAX_BODY_BYTES = 4_194_304
"""Size of a body that is buffered as a whole: as much as a caller may send by default."""

MAX_DISCARDED_BYTES = 65_536
"""Size of a body that is read only to reuse its connection; beyond it, a new connection costs
less."""

MAX_EVENT_BYTES = 262_144
"""Size of an event. Engines send some hundred bytes to some kilobytes each."""

MAX_READ_EVENTS = 64
"""Number of parsed events after which a reader lets other tasks run. Parsing one takes about 10 µs,
and one read of tiny chunks holds thousands."""
