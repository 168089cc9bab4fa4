"""Watch over the JSON gateway."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import httpx
import trio

from sassafrastally.core.json_documents import load_json
from sassafrastally.core.kv import KvUnavailable
from sassafrastally.stores import gateway
from sassafrastally.stores.ignored_entries import IgnoredEntries

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from sassafrastally.core.kv import KvEvent


class EtcdWatch:
    """Iterator over the changes to keys with a prefix.

    A watch on a half-open connection never receives the changes, which would leave a node on an old
    bundle. A watch that received nothing for the renewal time is therefore reopened from the next
    revision, and the service replays the changes in between from its history.

    Parameters
    ----------
    prefix
        Key prefix.
    from_revision
        First revision to report; 0 starts at the current revision.
    open_stream
        Starts a watch call with the given body.
    renewal_s
        Idle time after which the watch is reopened.
    on_interrupted
        Called when the service or the network interrupts the watch.
    ignored
        Reports the changes that are ignored.
    """

    def __init__(
        self,
        prefix: str,
        from_revision: int,
        open_stream: Callable[[Mapping[str, Any]], Awaitable[httpx.Response]],
        renewal_s: float,
        on_interrupted: Callable[[], None],
        ignored: IgnoredEntries | None = None,
    ) -> None:
        self._prefix = prefix
        self._next_revision = from_revision
        self._open_stream = open_stream
        self._renewal_s = renewal_s
        self._on_interrupted = on_interrupted
        self._ignored = ignored or IgnoredEntries()
        self._items: deque[object] = deque()
        """Received changes, which are decoded one by one."""
        self._last_revision = 0
        """Revision of the last decoded change."""
        self._response: httpx.Response | None = None
        self._lines: AsyncIterator[str] | None = None

    def __aiter__(self) -> EtcdWatch:
        return self

    async def __anext__(self) -> KvEvent:
        while True:
            # One read may hold thousands of results or changes, which need no waiting.
            await trio.lowlevel.checkpoint()
            if self._items:
                change = self._decode(self._items.popleft())
                if change is not None:
                    return change
            else:
                await self._receive()

    async def _receive(self) -> None:
        result = await self._next_result()
        if result is None:
            await self.open()
            return
        try:
            self._items.extend(gateway.changes_of(result))
        except gateway.DECODE_ERRORS as cause:
            raise self._interrupted(f"invalid changes: {cause!r:.200}") from cause

    def _decode(self, item: object) -> KvEvent | None:
        """Return a change; ``None`` if it is ignored."""
        try:
            change = gateway.decode_own_event(item, self._ignored)
        except gateway.DECODE_ERRORS as cause:
            raise self._interrupted(f"invalid change: {cause!r:.200}") from cause
        if change is not None:
            self._last_revision = change.mod_revision
        if not self._items and self._last_revision >= self._next_revision:
            self._next_revision = self._last_revision + 1
        return change

    async def open(self) -> None:
        """Open or reopen the watch and wait until the service confirms it."""
        await self.aclose()
        request: dict[str, Any] = dict(gateway.prefix_request(self._prefix))
        if self._next_revision:
            request["start_revision"] = str(self._next_revision)
        self._response = await self._open_stream({"create_request": request})
        self._lines = self._response.aiter_lines()
        created = await self._next_result()
        if created is None or not created.get("created"):
            raise self._interrupted("the service didn't create the watch")
        try:
            self._next_revision = self._next_revision or gateway.revision_of(created) + 1
        except gateway.DECODE_ERRORS as cause:
            raise self._interrupted(f"invalid revision: {cause!r:.200}") from cause

    async def aclose(self) -> None:
        """Close the connection."""
        response, self._response, self._lines = self._response, None, None
        if response is not None:
            await response.aclose()

    async def _next_result(self) -> dict[str, Any] | None:
        """Return the next result, or ``None`` if there is none within the renewal time."""
        if self._lines is None:
            raise KvUnavailable(f"watch of {self._prefix} is closed")
        try:
            with trio.move_on_after(self._renewal_s):
                result = dict(load_json(await anext(self._lines)).get("result", {}))
                if result.get("canceled"):
                    raise self._interrupted(
                        f"canceled; history starts at {result.get('compact_revision')}"
                    )
                return result
        except StopAsyncIteration as cause:
            raise self._interrupted("the service closed the watch") from cause
        except (httpx.TransportError, httpx.StreamError) as cause:
            raise self._interrupted(repr(cause)) from cause
        except gateway.DECODE_ERRORS as cause:
            raise self._interrupted(f"invalid line: {cause!r:.200}") from cause
        return None

    def _interrupted(self, reason: str) -> KvUnavailable:
        self._on_interrupted()
        return KvUnavailable(f"watch of {self._prefix} interrupted: {reason}")
