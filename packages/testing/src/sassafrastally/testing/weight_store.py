"""A model of the rate-limited weight store, in process and over HTTP."""

from __future__ import annotations

import argparse
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from quart import request
from quart_trio import QuartTrio

from sassafrastally.stores import PlatformUnavailable
from sassafrastally.stores.weight_store import LOADS_PATH
from sassafrastally.testing.http_serving import run_program, serve_app
from sassafrastally.testing.listen_option import add_listen_option

if TYPE_CHECKING:
    from sassafrastally.core import Address

Answer = tuple[dict[str, Any], int]
"""JSON body and HTTP status."""


class WeightStoreModel:
    """Books loads one after another at a fixed rate.

    Parameters
    ----------
    loads_per_s
        Rate at which loads may begin.
    """

    def __init__(self, loads_per_s: float) -> None:
        self.down = False
        self.loads: list[str] = []
        """Booked loads, as ``model@version``."""
        self._interval_s = 1.0 / loads_per_s
        self._next_free_s = trio.current_time()

    def book(self, model: str, version: str) -> float:
        """Book a load and return after how many seconds it may begin."""
        if self.down:
            raise PlatformUnavailable("the weight store is down")
        now_s = trio.current_time()
        begins_s = max(now_s, self._next_free_s)
        self._next_free_s = begins_s + self._interval_s
        self.loads.append(f"{model}@{version}")
        return begins_s - now_s


class FakeWeightStore:
    """The weight store in process."""

    def __init__(self, model: WeightStoreModel) -> None:
        self.model = model

    async def reserve_load(self, model: str, version: str) -> float:
        """Return after how many seconds a load may begin; raises `PlatformUnavailable`."""
        await trio.lowlevel.checkpoint()
        return self.model.book(model, version)


def make_weight_store_app(model: WeightStoreModel) -> QuartTrio:
    """Return the HTTP application of a model."""
    app = QuartTrio(__name__)
    app.add_url_rule(LOADS_PATH, "loads", partial(_book, model), methods=["POST"])
    return app


def main() -> None:
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description="Stand-in of the weight store.")
    add_listen_option(parser)
    parser.add_argument("--loads-per-s", type=float, default=2.0)
    options = parser.parse_args()
    run_program(partial(_serve, options.listen, options.loads_per_s))


async def _serve(address: Address, loads_per_s: float) -> None:
    await serve_app(make_weight_store_app(WeightStoreModel(loads_per_s)), address)


async def _book(model: WeightStoreModel) -> Answer:
    body = await request.get_json(force=True)
    try:
        return {"wait_s": model.book(str(body["model"]), str(body["version"]))}, 200
    except PlatformUnavailable as cause:
        return {"problem": cause.detail}, 503


if __name__ == "__main__":
    main()
