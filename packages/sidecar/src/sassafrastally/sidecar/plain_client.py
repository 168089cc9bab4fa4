"""HTTP client of a plain service whose errors tell whether a failed call may have run."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx
import trio

from sassafrastally.core import CodedError, error, time_limit
from sassafrastally.core.http_patterns import use_linear_patterns
from sassafrastally.sidecar.content_end import content_end_of
from sassafrastally.stores.bounded_transport import BoundedTransport
from sassafrastally.stores.send_tracker import SendTracker

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from sassafrastally.core import Address

use_linear_patterns()

CONNECT_LIMIT_S = 2.0

CLOSE_LIMIT_S = 1.0
"""Timeout for closing the connection of a call."""

DEFAULT_CONTENT_TYPE = "application/octet-stream"

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@error(7041)
class PlainNotSent(CodedError):
    """The plain service is unreachable; the call certainly did not run."""


@error(7042)
class PlainMaybeRan(CodedError):
    """The connection failed after the call was sent, so the call may have run."""


class PlainAnswer:
    """A response whose head was received; iterate over its body."""

    def __init__(self, response: httpx.Response) -> None:
        self.status: int = response.status_code
        self.content_type: str = response.headers.get("content-type", DEFAULT_CONTENT_TYPE)
        self.is_complete = False
        """Whether the whole body was read, according to its framing and its content."""
        self._pieces = response.aiter_raw()
        self._end = content_end_of(response)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece.

        Raises
        ------
        PlainMaybeRan
            When the body is interrupted.
        """
        try:
            piece = await anext(self._pieces)
        except StopAsyncIteration:
            self.is_complete = self._end.is_whole
            raise
        except httpx.HTTPError as cause:
            raise PlainMaybeRan(f"the answer broke off: {cause!r}") from cause
        self._end.feed(piece)
        return piece


class PlainClient:
    """Client of one plain service.

    Parameters
    ----------
    address
        The service's address.
    """

    def __init__(self, address: Address) -> None:
        # If a reused connection is closed by the service while idle, the call fails as "may have
        # run". Using a new connection for each call limits that error to real failures.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            transport=BoundedTransport(max_bytes=None, limits=limits),
            trust_env=False,
            follow_redirects=False,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    @asynccontextmanager
    async def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> AsyncIterator[PlainAnswer]:
        """Call the service; leaving the context closes the connection.

        Parameters
        ----------
        method, path, headers, body
            The request; the body has no content encoding.
        timeout_s
            Timeout of the whole call, including reading the body.

        Raises
        ------
        PlainNotSent
            When the call certainly did not run.
        PlainMaybeRan
            When the call may have run: the connection failed or the call timed out.
        """
        # The connect timeout ends before the call's, so that "not sent" can still be reported.
        timeout = httpx.Timeout(None, connect=min(CONNECT_LIMIT_S, timeout_s / 2))
        sent = {**headers, "Accept-Encoding": "identity"}
        tracker = SendTracker()
        async with time_limit(trio.current_time() + timeout_s) as limit:
            built = self._client.build_request(
                method,
                path,
                headers=sent,
                content=body,
                timeout=timeout,
                extensions=tracker.extensions(limit),
            )
            response = await self._send(built)
            try:
                yield PlainAnswer(response)
            finally:
                with trio.move_on_after(CLOSE_LIMIT_S, shield=True):
                    await response.aclose()
        if limit.scope.cancelled_caught:
            if not tracker.may_have_been_sent:
                raise PlainNotSent(f"not sent within {timeout_s:g} s")
            raise PlainMaybeRan(f"no whole answer within {timeout_s:g} s")

    async def _send(self, built: httpx.Request) -> httpx.Response:
        try:
            return await self._client.send(built, stream=True)
        except _NOT_SENT as cause:
            raise PlainNotSent(f"no connection: {cause}") from cause
        except httpx.HTTPError as cause:
            raise PlainMaybeRan(f"the connection broke: {cause!r}") from cause
