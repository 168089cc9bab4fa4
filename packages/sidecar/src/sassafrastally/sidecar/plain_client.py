"""Client of a plain service: one HTTP call that tells what is known when it fails."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx
import trio

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from sassafrastally.core import Address

CONNECT_LIMIT_S = 2.0

CLOSE_LIMIT_S = 1.0
"""Bound of closing a call's connection on the way out."""

DEFAULT_CONTENT_TYPE = "application/octet-stream"

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@error(7041)
class PlainNotSent(CodedError):
    """The plain service can't be reached: the call certainly did not run."""


@error(7042)
class PlainMaybeRan(CodedError):
    """The connection broke after the call was sent: it may have run."""


class PlainAnswer:
    """An answer whose head has come; iterate over its body."""

    def __init__(self, response: httpx.Response, deadline_s: float) -> None:
        self.status: int = response.status_code
        self.content_type: str = response.headers.get("content-type", DEFAULT_CONTENT_TYPE)
        self.is_complete = False
        """Whether the whole body has been read, as its framing says."""
        self._pieces = response.aiter_raw()
        self._deadline_s = deadline_s

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece.

        Raises
        ------
        PlainMaybeRan
            When the body breaks off or times out.
        """
        try:
            with trio.fail_at(self._deadline_s):
                return await anext(self._pieces)
        except StopAsyncIteration:
            self.is_complete = True
            raise
        except (httpx.HTTPError, trio.TooSlowError) as cause:
            raise PlainMaybeRan(f"the answer broke off: {cause!r}") from cause


class PlainClient:
    """Client of one plain service.

    Parameters
    ----------
    address
        The service's address.
    """

    def __init__(self, address: Address) -> None:
        # A connection that the service closes while idle would turn a call into "may have run";
        # a new connection for each call keeps that answer to real failures.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", limits=limits, trust_env=False, follow_redirects=False
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    @asynccontextmanager
    async def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> AsyncIterator[PlainAnswer]:
        """Make a call; leaving the context closes its connection.

        Parameters
        ----------
        method, path, headers, body
            The call; the body has no encoding of its own.
        timeout_s
            Bound of the whole call, reading of the body included.

        Raises
        ------
        PlainNotSent
            When it certainly did not run.
        PlainMaybeRan
            When it may have run: the connection broke, or the time was over.
        """
        deadline_s = trio.current_time() + timeout_s
        # The connect limit ends before the whole call's, so that "not sent" can still be told.
        timeout = httpx.Timeout(None, connect=min(CONNECT_LIMIT_S, timeout_s / 2))
        sent = {**headers, "Accept-Encoding": "identity"}
        built = self._client.build_request(
            method, path, headers=sent, content=body, timeout=timeout
        )
        response = await self._send(built, deadline_s)
        try:
            yield PlainAnswer(response, deadline_s)
        finally:
            with trio.move_on_after(CLOSE_LIMIT_S, shield=True):
                await response.aclose()

    async def _send(self, built: httpx.Request, deadline_s: float) -> httpx.Response:
        try:
            with trio.fail_at(deadline_s):
                return await self._client.send(built, stream=True)
        except _NOT_SENT as cause:
            raise PlainNotSent(f"no connection: {cause}") from cause
        except (httpx.HTTPError, trio.TooSlowError) as cause:
            raise PlainMaybeRan(f"the connection broke: {cause!r}") from cause
