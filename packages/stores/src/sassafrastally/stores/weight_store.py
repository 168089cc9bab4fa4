"""Client of the platform's weight store.

``POST /loads`` with ``{"model": ..., "version": ...}`` reserves a load and returns
``{"wait_s": ...}``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import trio

from sassafrastally.core.json_documents import load_json
from sassafrastally.stores.bounded_transport import BoundedTransport
from sassafrastally.stores.interfaces import PlatformUnavailable

if TYPE_CHECKING:
    from sassafrastally.core import Address

LOADS_PATH = "/loads"

MAX_WAIT_S = 86_400.0
"""Longest wait that is accepted; the engine that waits gets no other placement order meanwhile."""


class HttpWeightStore:
    """`WeightStore` implementation over HTTP.

    Parameters
    ----------
    address
        Address of the weight store.
    time_limit_s
        Time limit of one call.
    """

    def __init__(self, address: Address, time_limit_s: float) -> None:
        self._time_limit_s = time_limit_s
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=None,
            transport=BoundedTransport(),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def reserve_load(self, model: str, version: str) -> float:
        """Return the delay in seconds before a load may start; raises `PlatformUnavailable`.

        Notes
        -----
        If the response is lost, the load stays reserved but unused. The caller reserves another
        one, and the store's rate limit bounds the cost.
        """
        try:
            with trio.fail_after(self._time_limit_s):
                response = await self._client.post(
                    LOADS_PATH, json={"model": model, "version": version}
                )
            response.raise_for_status()
            return _decode_wait_s(response.content)
        except (httpx.HTTPError, trio.TooSlowError) as cause:
            raise PlatformUnavailable(f"the weight store doesn't respond: {cause!r}") from cause
        except (KeyError, TypeError, ValueError) as cause:
            raise PlatformUnavailable(
                f"invalid response from the weight store: {cause!r}"
            ) from cause


def _decode_wait_s(body: bytes) -> float:
    wait_s = load_json(body)["wait_s"]
    if isinstance(wait_s, bool) or not isinstance(wait_s, int | float):
        raise TypeError("wait_s is not a number")
    if not 0.0 <= wait_s <= MAX_WAIT_S:
        raise ValueError(f"wait_s is not from 0 to {MAX_WAIT_S:g}")
    return float(wait_s)
