"""A watch over the JSON gateway."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any

import httpx
import trio

from sassafrastally.core.kv import KvUnavailable
from sassafrastally.stores import gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from sassafrastally.core.kv import KvEvent


class EtcdWatch:
    """Iterates over the changes under a prefix.

    A watch on a half-open connection stays silent for ever although changes happen: operators
    would see a node stuck on an old bundle. So a watch that was silent for the renewal time is
    opened anew from the next revision; the service's history fills the gap.

    Parameters
    ----------
    prefix
        Start of the keys.
    from_revision
        First revision of interest; 0 is from now on.
    open_stream
        Begins a watch call with the body given.
    renewal_s
        Silence after which the watch is opened anew.
    on_cut
        Is called when the service or the network cuts the watch.
    """

    def __init__(
        self,
        prefix: str,
        from_revision: int,
        open_stream: Callable[[Mapping[str, Any]], Awaitable[httpx.Response]],
        renewal_s: float,
        on_cut: Callable[[], None],
    ) -> None:
        self._prefix = prefix
        self._next_revision = from_revision
        self._open_stream = open_stream
        self._renewal_s = renewal_s
        self._on_cut = on_cut
        self._events: deque[KvEvent] = deque()
        self._response: httpx.Response | None = None
        self._lines: AsyncIterator[str] | None = None

    def __aiter__(self) -> EtcdWatch:
        return self

    async def __anext__(self) -> KvEvent:
        while not self._events:
            result = await self._next_result()
            if result is None:
                await self.open()
                continue
            self._events.extend(gateway.decode_event(item) for item in result.get("events", []))
        change = self._events.popleft()
        if not self._events:
            self._next_revision = change.mod_revision + 1
        return change

    async def open(self) -> None:
        """Open the watch, or open it anew, and wait until the service says that it stands."""
        await self.aclose()
        request: dict[str, Any] = dict(gateway.prefix_request(self._prefix))
        if self._next_revision:
            request["start_revision"] = str(self._next_revision)
        self._response = await self._open_stream({"create_request": request})
        self._lines = self._response.aiter_lines()
        created = await self._next_result()
        if created is None or not created.get("created"):
            raise self._cut("the service didn't create it")
        self._next_revision = self._next_revision or gateway.revision_of(created) + 1

    async def aclose(self) -> None:
        """Close the connection."""
        response, self._response, self._lines = self._response, None, None
        if response is not None:
            await response.aclose()

    async def _next_result(self) -> dict[str, Any] | None:
        """Return the next result; ``None`` after the renewal time without one."""
        if self._lines is None:
            raise KvUnavailable(f"watch of {self._prefix}: closed")
        try:
            with trio.move_on_after(self._renewal_s):
                result = json.loads(await anext(self._lines)).get("result", {})
                if result.get("canceled"):
                    raise self._cut(f"canceled; history starts at {result.get('compact_revision')}")
                return dict(result)
        except StopAsyncIteration as cause:
            raise self._cut("the service ended it") from cause
        except (httpx.TransportError, httpx.StreamError, json.JSONDecodeError) as cause:
            raise self._cut(repr(cause)) from cause
        return None

    def _cut(self, reason: str) -> KvUnavailable:
        self._on_cut()
        return KvUnavailable(f"watch of {self._prefix} cut: {reason}")
