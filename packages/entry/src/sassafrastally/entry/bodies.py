"""Reads callers' bodies, within one budget for those being received and those in use."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.core.held_input import HeldInput
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Figures, Refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterable, Iterator

RETRY_AFTER_S = 1.0
"""Retry delay sent to callers when the entry is overloaded, stopping or without a bundle."""


class BodyBudget:
    """Budget of the entry for the bytes of callers' bodies.

    When it is exceeded, the largest body that isn't complete gives way, so that slow or endless
    bodies don't displace the requests of other callers.

    Parameters
    ----------
    max_bytes
        Bound for all bodies together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.is_closed = False
        """Whether no more is received."""
        self._held: HeldInput[ReceivedBody] = HeldInput(max_bytes)
        self._receiving: set[ReceivedBody] = set()

    @property
    def held_bytes(self) -> int:
        """Bytes of all bodies together."""
        return self._held.total_bytes + self._held.kept_bytes

    @contextmanager
    def receive(self) -> Iterator[ReceivedBody]:
        """Count a body that is being received for the duration of the context."""
        received = ReceivedBody(self)
        self._receiving.add(received)
        if self.is_closed:
            received.scope.cancel()
        try:
            yield received
        finally:
            self._receiving.discard(received)
            self._held.release(received)

    def close(self) -> int:
        """Receive no more; return how many bodies aren't complete."""
        self.is_closed = True
        for received in self._receiving:
            received.scope.cancel()
        return len(self._receiving)

    @contextmanager
    def use(self, size_bytes: int) -> Iterator[None]:
        """Count a complete body for the duration of the context."""
        self._held.keep_bytes(size_bytes)
        try:
            yield
        finally:
            self._held.release_kept(size_bytes)

    def record(self, received: ReceivedBody) -> None:
        """Take over the size of a body; end the largest ones beyond the budget."""
        for largest in self._held.hold(received, len(received.data)):
            largest.end()


class ReceivedBody:
    """A body that is being received.

    Parameters
    ----------
    budget
        The budget that it counts in.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self.data = bytearray()
        """What has been received."""
        self.is_ended = False
        """Whether it has to give way."""
        self.scope = trio.CancelScope()
        """Surrounds the wait for more."""
        self._budget = budget

    def add(self, part: bytes) -> None:
        """Add a part."""
        self.data += part
        if not self.is_ended:
            self._budget.record(self)

    def end(self) -> None:
        """Stop the wait for more."""
        self.is_ended = True
        self.scope.cancel()


async def read_body(
    parts: AsyncIterable[bytes], budget: BodyBudget, max_bytes: int, deadline_s: float
) -> bytes:
    """Read a body and count its bytes, since the declared length may be wrong.

    Parameters
    ----------
    parts
        The body.
    budget
        Budget that it counts in while it is received.
    max_bytes
        Maximum size of the body.
    deadline_s
        When it must be complete, on trio's clock.

    Raises
    ------
    Refusal
        ``body-too-large``, ``overloaded``, ``stopping`` or ``time-limit-passed``.
    """
    with budget.receive() as received:
        received.scope.deadline = deadline_s
        with received.scope:
            async for part in parts:
                received.add(part)
                if received.is_ended:
                    break
                if len(received.data) > max_bytes:
                    raise Refusal("body-too-large", Figures(max_bytes, len(received.data)))
        if received.is_ended:
            detail = "The bound counts bytes of bodies; the largest incomplete one gives way."
            figures = Figures(budget.max_bytes, len(received.data), RETRY_AFTER_S, detail)
            raise Refusal("overloaded", figures)
        if received.scope.cancelled_caught:
            detail = "The body had not been read whole by then."
            if budget.is_closed:
                raise Refusal("stopping", Figures(retry_after_s=RETRY_AFTER_S, detail=detail))
            raise Refusal("time-limit-passed", Figures(detail=detail), Outcome.NOT_RUN)
        return bytes(received.data)
