"""Order among attempts of one request whose reservations are open at the same time."""

from __future__ import annotations

import trio


class CommitTurn:
    """Lets one attempt of a request at a time go on from its reservation to its commit.

    Two reservations may be open while a sidecar is silent. Were both committed, a request that may
    not be repeated would run twice.
    """

    def __init__(self) -> None:
        self._holder: object | None = None
        self._waiting = trio.lowlevel.ParkingLot()

    def is_held_by(self, attempt: object) -> bool:
        """Return whether an attempt has the turn."""
        return self._holder is attempt

    async def take(self, attempt: object) -> None:
        """Wait until no other attempt has the turn, and take it."""
        while self._holder is not None:
            await self._waiting.park()
        self._holder = attempt

    def take_over(self, attempt: object) -> None:
        """Take the turn from an attempt that has ended and beside which a retry is allowed."""
        self._holder = attempt

    def give_back(self, attempt: object) -> None:
        """Let another attempt go on, because this one is proved never to run."""
        if self._holder is attempt:
            self._holder = None
            self._waiting.unpark()
