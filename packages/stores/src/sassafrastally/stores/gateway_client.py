"""Sends calls to the JSON gateway and says what is known when one fails."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import httpx
import trio

from sassafrastally.core.kv import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.stores import gateway

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.stores.settings import KvSettings

SENT_EVENT = "send_request_headers.started"
"""End of the name of the transport's trace event after which a request may have left."""

Lost = type[KvUnavailable] | type[MaybeApplied]
"""What a call whose answer is lost raises: `KvUnavailable` when it only reads."""


class Sending:
    """Notes whether the transport has begun to send a request."""

    def __init__(self) -> None:
        self.may_have_left = False

    async def trace(self, event_name: str, _info: dict[str, Any]) -> None:
        """Take a trace event of the transport."""
        if event_name.endswith(SENT_EVENT):
            self.may_have_left = True


class GatewayClient:
    """HTTP connections to the gateway.

    Parameters
    ----------
    settings
        Address and bounds.
    """

    def __init__(self, settings: KvSettings) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{settings.address}",
            timeout=None,
            trust_env=False,
            limits=httpx.Limits(max_connections=settings.max_connections),
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def post(
        self, path: str, body: Mapping[str, Any], lost: Lost, time_limit_s: float
    ) -> dict[str, Any]:
        """Make one call and return the body of its answer.

        Raises
        ------
        KvUnavailable
            When the call was certainly not applied.
        MaybeApplied
            When `lost` says so and the answer to a call that may have left is missing.
        LeaseLost
            When the lease is gone.
        """
        sending = Sending()
        try:
            with trio.fail_after(time_limit_s):
                response = await self._client.post(
                    path, json=body, extensions={"trace": sending.trace}
                )
        except (httpx.TransportError, trio.TooSlowError) as cause:
            # Until the first byte of the request is written the service can't have seen it; after
            # that nothing is known: the request or its answer may be what was lost.
            if sending.may_have_left:
                raise lost(f"{path}: no answer: {cause!r}") from cause
            raise KvUnavailable(f"{path}: not sent: {cause!r}") from cause
        return _answer_of(response, path, lost)

    async def open_stream(
        self, path: str, body: Mapping[str, Any], time_limit_s: float
    ) -> httpx.Response:
        """Begin a call whose answer is read line by line; the caller closes the response."""
        request = self._client.build_request("POST", path, json=body)
        try:
            with trio.fail_after(time_limit_s):
                response = await self._client.send(request, stream=True)
        except (httpx.TransportError, trio.TooSlowError) as cause:
            raise KvUnavailable(f"{path}: no answer: {cause!r}") from cause
        if response.status_code != httpx.codes.OK:
            await response.aclose()
            raise KvUnavailable(f"{path}: HTTP status {response.status_code}")
        return response


def _answer_of(response: httpx.Response, path: str, lost: Lost) -> dict[str, Any]:
    try:
        body = response.json()
    except (json.JSONDecodeError, UnicodeDecodeError) as cause:
        raise lost(f"{path}: HTTP status {response.status_code} without JSON") from cause
    if not isinstance(body, dict):
        raise lost(f"{path}: the answer is no object")
    if response.status_code == httpx.codes.OK:
        return body
    message = str(body.get("message", ""))
    if body.get("code") == gateway.CODE_NOT_FOUND:
        raise LeaseLost(f"{path}: {message}")
    if message in gateway.NOT_APPLIED:
        raise KvUnavailable(f"{path}: {message}")
    raise lost(f"{path}: HTTP status {response.status_code}: {message}")
