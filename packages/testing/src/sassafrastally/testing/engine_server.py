"""The model engine as an HTTP server of its own, in the published completion forms.

Run it by ``python -m sassafrastally.testing.engine_server --listen 127.0.0.1:9101``.
"""

from __future__ import annotations

import argparse
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from sassafrastally.core import Address
from sassafrastally.sidecar.engine import EngineRefused, EngineUnavailable
from sassafrastally.testing.engine_answers import add_completions
from sassafrastally.testing.engine_extension import FAULTS_PATH, add_extension
from sassafrastally.testing.engine_model import EngineModel, EngineShape
from sassafrastally.testing.http_serving import run_program, serve_app, serve_until_cancelled
from sassafrastally.testing.listen_option import add_listen_option

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_BODY_BYTES = 64 * 1024 * 1024


def make_engine_app(model: EngineModel) -> QuartTrio:
    """Return the application that serves an engine."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["RESPONSE_TIMEOUT"] = None
    add_completions(app, model)
    add_extension(app, model)
    _add_published(app, model)

    @app.before_request
    async def check_up() -> None:
        if not request.path.startswith(FAULTS_PATH):
            await model.wait_thawed()
            model.check_up()

    @app.errorhandler(EngineRefused)
    async def refused(cause: EngineRefused) -> tuple[dict[str, Any], int]:
        return {"error": {"message": cause.detail, "type": "refused"}}, 400

    @app.errorhandler(EngineUnavailable)
    async def unavailable(cause: EngineUnavailable) -> tuple[dict[str, Any], int]:
        return {"error": {"message": cause.detail, "type": "unavailable"}}, 503

    return app


async def serve_engine(
    model: EngineModel,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an engine and serve it until cancelled; reports the bound address."""
    async with trio.open_nursery() as nursery:
        await nursery.start(model.run)
        bound: Address = await nursery.start(serve_app, make_engine_app(model), address)
        task_status.started(bound)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description="Stand-in of a model engine.")
    usual = EngineShape()
    add_listen_option(parser)
    parser.add_argument("--model", action="append", help="name or name@version; repeatable")
    parser.add_argument("--blocks", type=int, default=usual.total_blocks)
    parser.add_argument("--block-tokens", type=int, default=usual.block_tokens)
    parser.add_argument("--speed", type=float, default=usual.speed, help="2 halves all times")
    parser.add_argument("--decode-stride", type=int, default=usual.decode_stride)
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--seed", type=int, help="of incarnations and gaps; random by default")
    options = parser.parse_args(arguments)
    shape = usual._replace(
        models=tuple(options.model or usual.models),
        total_blocks=options.blocks,
        block_tokens=options.block_tokens,
        speed=options.speed,
        decode_stride=options.decode_stride,
        checks_fencing=not options.ignore_fencing,
    )
    run_program(partial(_serve_fresh, shape, options.seed, options.listen))


async def _serve_fresh(shape: EngineShape, seed: int | None, address: Address) -> None:
    model = EngineModel(shape, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(model.run)
        await serve_until_cancelled(make_engine_app(model), address)


def _add_published(app: QuartTrio, model: EngineModel) -> None:
    @app.get("/v1/models")
    async def models() -> dict[str, Any]:
        listed = [{"id": name, "object": "model"} for name in model.placement.models]
        return {"object": "list", "data": listed}

    @app.get("/health")
    async def health() -> str:
        return ""

    @app.get("/metrics")
    async def metrics() -> Response:
        load = model.load()
        lines = (
            f"vllm:num_requests_running {load.running}\n"
            f"vllm:num_requests_waiting {load.waiting}\n"
            f"kv_cache_free_blocks {load.free_blocks}\n"
        )
        return Response(lines, content_type="text/plain; version=0.0.4")

    @app.post("/abort_request")
    async def abort() -> dict[str, Any]:
        document = await request.get_json(force=True)
        return {"found": model.cancel(str(document["rid"]))}


if __name__ == "__main__":
    main()
