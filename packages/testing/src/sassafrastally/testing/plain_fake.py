"""Client of a `PlainService` in the same process, for tests on the mock clock."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.sidecar.plain_client import PlainMaybeRan, PlainNotSent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from sassafrastally.testing.plain_service import PlainService

_STATUS_OK = 200


class FakePlainAnswer:
    """An answer in one piece; a broken one stops in the middle."""

    status = _STATUS_OK
    content_type = "application/json"

    def __init__(self, body: bytes, is_broken: bool) -> None:
        self.is_complete = False
        self._pieces = [body[: len(body) // 2]] if is_broken else [body]
        self._is_broken = is_broken

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        await trio.lowlevel.checkpoint()
        if self._pieces:
            return self._pieces.pop()
        if self._is_broken:
            raise PlainMaybeRan("the answer broke off")
        self.is_complete = True
        raise StopAsyncIteration


class FakePlainClient:
    """Implements the sidecar's `Caller` on a service in process.

    Parameters
    ----------
    service
        The service; it outlives its clients, as a process of its own would.
    """

    def __init__(self, service: PlainService) -> None:
        self._service = service
        self.unsent = 0
        """So many next calls fail before anything is sent."""

    @asynccontextmanager
    async def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> AsyncIterator[FakePlainAnswer]:
        """Call the service once; the service does not hear of a caller that goes away."""
        if self.unsent:
            self.unsent -= 1
            raise PlainNotSent("no connection")
        answer = await self._answer(body, timeout_s)
        yield answer

    async def _answer(self, body: bytes, timeout_s: float) -> FakePlainAnswer:
        service = self._service
        with trio.move_on_after(timeout_s):
            marker = await service.execute(body)
            if service.lost_answers:
                service.lost_answers -= 1
                await trio.sleep_forever()
            is_broken = service.broken_answers > 0
            service.broken_answers -= is_broken
            echo = {"marker": marker, "echo": body.decode(errors="replace")}
            return FakePlainAnswer(json.dumps(echo).encode(), is_broken)
        raise PlainMaybeRan("no answer in time")
