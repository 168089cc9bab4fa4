"""Client of an entry's administration interface."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, cast

import httpx

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    import argparse

TOKEN_VARIABLE = "SASSAFRASTALLY_TOKEN"
"""Environment variable that holds the administration token, so that no process list shows it."""

CALL_TIME_LIMIT_S = 15.0


@error(8001)
class AdminUnavailable(CodedError):
    """The entry's administration interface doesn't answer."""


@error(8002)
class AdminDenied(CodedError):
    """The entry refuses the administration token or the call."""


def add_admin_argument(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the entry's administration interface."""
    parser.add_argument(
        "--admin",
        required=True,
        metavar="IP:PORT",
        help=f"administration interface of any entry; the token is read from {TOKEN_VARIABLE}",
    )


async def call_admin(
    address: str, method: str, path: str, body: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Call the administration interface and return its JSON.

    Raises
    ------
    AdminUnavailable
        When it doesn't answer in time.
    AdminDenied
        When it refuses; the message is the entry's own.
    """
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        raise AdminDenied(f"the environment variable {TOKEN_VARIABLE} holds no token")
    headers = {"Authorization": f"Bearer {token}"}
    try:
        async with httpx.AsyncClient(timeout=CALL_TIME_LIMIT_S) as client:
            reply = await client.request(
                method, f"http://{address}{path}", json=body, headers=headers
            )
    except httpx.TransportError as cause:
        raise AdminUnavailable(f"{address}: {cause or type(cause).__name__}") from cause
    if reply.is_error:
        raise AdminDenied(f"{reply.status_code}: {_reason(reply)}")
    return cast("dict[str, Any]", reply.json())


def _reason(reply: httpx.Response) -> str:
    try:
        return str(reply.json().get("detail") or reply.json().get("title") or reply.reason_phrase)
    except (ValueError, AttributeError):
        return reply.reason_phrase
