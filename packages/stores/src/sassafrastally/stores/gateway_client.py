"""HTTP client of the JSON gateway that classifies failed calls by whether they were applied."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
import trio

from sassafrastally.core import time_limit
from sassafrastally.core.http_patterns import use_linear_patterns
from sassafrastally.core.json_documents import load_json
from sassafrastally.core.kv import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.stores import gateway
from sassafrastally.stores.bounded_transport import LINE_BOUND, BoundedTransport
from sassafrastally.stores.send_tracker import SendTracker

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.stores.settings import KvSettings

use_linear_patterns()

LostAnswerError = type[KvUnavailable] | type[MaybeApplied]
"""Error raised for a call whose response is lost: `KvUnavailable` if the call only reads."""


class GatewayClient:
    """HTTP client with a connection pool to the gateway.

    Parameters
    ----------
    settings
        Address and connection limit.
    """

    def __init__(self, settings: KvSettings) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{settings.address}",
            timeout=None,
            trust_env=False,
            transport=BoundedTransport(
                limits=httpx.Limits(max_connections=settings.max_connections)
            ),
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def post(
        self,
        path: str,
        body: Mapping[str, Any],
        lost_answer_error: LostAnswerError,
        time_limit_s: float,
    ) -> dict[str, Any]:
        """Send one call and return the body of its response.

        Raises
        ------
        KvUnavailable
            If the call was definitely not applied.
        MaybeApplied
            If it is `lost_answer_error` and a call that may have been sent got no valid response.
        LeaseLost
            If the lease doesn't exist.
        """
        tracker = SendTracker()
        try:
            async with time_limit(trio.current_time() + time_limit_s) as limit:
                response = await self._client.post(
                    path, json=body, extensions=tracker.extensions(limit)
                )
            if limit.scope.cancelled_caught:
                raise trio.TooSlowError
        except (httpx.TransportError, trio.TooSlowError) as cause:
            # Before the first byte of the request is written, the service can't have received it.
            # After that the outcome is unknown: either the request or its response may be lost.
            if tracker.may_have_been_sent:
                raise lost_answer_error(f"{path}: no response: {cause!r}") from cause
            raise KvUnavailable(f"{path}: not sent: {cause!r}") from cause
        return _parse_answer(response, path, lost_answer_error)

    async def open_stream(
        self, path: str, body: Mapping[str, Any], time_limit_s: float
    ) -> httpx.Response:
        """Start a call with a streaming response, which the caller must close."""
        request = self._client.build_request("POST", path, json=body, extensions={LINE_BOUND: True})
        try:
            with trio.fail_after(time_limit_s):
                response = await self._client.send(request, stream=True)
        except (httpx.TransportError, trio.TooSlowError) as cause:
            raise KvUnavailable(f"{path}: no response: {cause!r}") from cause
        if response.status_code != httpx.codes.OK:
            await response.aclose()
            raise KvUnavailable(f"{path}: HTTP status {response.status_code}")
        return response


def _parse_answer(
    response: httpx.Response, path: str, lost_answer_error: LostAnswerError
) -> dict[str, Any]:
    try:
        body = load_json(response.content)
    except ValueError as cause:
        raise lost_answer_error(
            f"{path}: HTTP status {response.status_code} without JSON"
        ) from cause
    if not isinstance(body, dict):
        raise lost_answer_error(f"{path}: the response is not a JSON object")
    if response.status_code == httpx.codes.OK:
        return body
    message = str(body.get("message", ""))
    if body.get("code") == gateway.CODE_NOT_FOUND:
        raise LeaseLost(f"{path}: {message}")
    if message in gateway.NOT_APPLIED:
        raise KvUnavailable(f"{path}: {message}")
    raise lost_answer_error(f"{path}: HTTP status {response.status_code}: {message}")
