"""Selection of the datagrams to decode among those that have waited.

Decoding one takes as long as reading the headers of twenty. An entry that is short of CPU time
finds several of each of its peers, so it decodes only the latest state of each. What only a single
datagram says is decoded in any case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class Sender(NamedTuple):
    """What the state in a datagram describes."""

    host: str
    boot_id: int
    is_sum: bool
    """Whether it is the sum of a data centre rather than the sender's own state."""


class DatagramHeader(NamedTuple):
    """What determines whether a later datagram replaces one."""

    sender: Sender
    sequence: int
    has_events: bool
    """Whether it reports events, which the next datagram of the sender doesn't repeat."""


def select_latest(headers: Sequence[DatagramHeader | None]) -> list[int]:
    """Return the indexes of the datagrams to decode, in the order in which they arrived.

    Parameters
    ----------
    headers
        Header of each datagram that has waited; ``None`` for an invalid one.
    """
    latest: dict[Sender, int] = {}
    for header in headers:
        if header is not None:
            latest[header.sender] = max(header.sequence, latest.get(header.sender, 0))
    return [
        index
        for index, header in enumerate(headers)
        if header is not None and (header.has_events or header.sequence == latest[header.sender])
    ]
