"""The extension paths of the model engine's server, under ``/extension``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
from quart import request

from sassafrastally.sidecar.engine import EngineOrder, EngineRefused

if TYPE_CHECKING:
    from collections.abc import Callable

    from quart_trio import QuartTrio

    from sassafrastally.testing.engine_model import EngineModel

PEER_LIMIT_S = 5.0
"""Bound of the look at another engine's export."""

FAULTS_PATH = "/extension/faults/"


def add_extension(app: QuartTrio, model: EngineModel) -> None:
    """Add all extension paths to an application."""
    _add_reports(app, model)
    _add_orders(app, model)
    _add_exports(app, model)
    _add_faults(app, model)


def _add_reports(app: QuartTrio, model: EngineModel) -> None:
    @app.get("/extension/describe")
    async def describe() -> dict[str, Any]:
        return model.describe()._asdict()

    @app.get("/extension/streams")
    async def streams() -> dict[str, Any]:
        return {"streams": [stream._asdict() for stream in model.streams()]}

    @app.get("/extension/cache_events")
    async def cache_events() -> dict[str, Any]:
        after = int(request.args.get("after", "0"))
        return {"events": [item._asdict() for item in model.cache_feed.read(after)]}

    @app.get("/extension/counts")
    async def counts() -> dict[str, Any]:
        return {
            "started": dict(model.started),
            "started_streams": dict(model.started_streams),
            "wasted_tokens": model.wasted_tokens,
            "emitted_tokens": model.emitted_tokens,
            "free_blocks": model.memory.free_blocks,
            "orders": [order._asdict() for order in model.placement.orders],
        }


def _add_orders(app: QuartTrio, model: EngineModel) -> None:
    @app.post("/extension/orders")
    async def orders() -> str:
        document = await request.get_json(force=True)
        try:
            order = EngineOrder(**document)
        except TypeError as cause:
            raise EngineRefused(f"bad order: {cause}") from cause
        await model.placement.carry_out(order)
        return ""

    @app.post("/v1/<action>_lora_adapter")
    async def adapter(action: str) -> str:
        document = await request.get_json(force=True)
        fence = int(document.get("fence", 0))
        order = EngineOrder(fence, f"{action}_adapter", "", adapter=str(document["lora_name"]))
        await model.placement.carry_out(order)
        return ""


def _add_exports(app: QuartTrio, model: EngineModel) -> None:
    @app.post("/extension/exports")
    async def export() -> dict[str, Any]:
        document = await request.get_json(force=True)
        return {"blocks": model.export(str(document["stream_id"]), str(document["handle"]))}

    @app.get("/extension/exports/<handle>")
    async def look(handle: str) -> dict[str, Any]:
        export = model.exports.get(handle)
        if export is None or export.kind != "export":
            raise EngineRefused(f"no export {handle}")
        return {"blocks": export.holding.blocks, "tokens": export.tokens}

    @app.delete("/extension/exports/<handle>")
    async def free(handle: str) -> dict[str, Any]:
        return {"found": model.exports.free(handle)}

    @app.post("/extension/imports")
    async def import_export() -> str:
        document = await request.get_json(force=True)
        handle = str(document["handle"])
        export = await _look_at_peer(str(document["source"]), handle)
        await model.import_export(handle, int(export["blocks"]), int(export["tokens"]))
        return ""


async def _look_at_peer(source: str, handle: str) -> dict[str, Any]:
    try:
        async with httpx.AsyncClient(timeout=PEER_LIMIT_S, trust_env=False) as client:
            answer = await client.get(f"http://{source}/extension/exports/{handle}")
        answer.raise_for_status()
    except httpx.HTTPError as cause:
        raise EngineRefused(f"no export {handle} on {source}") from cause
    document: dict[str, Any] = answer.json()
    return document


def _add_faults(app: QuartTrio, model: EngineModel) -> None:
    def set_end_mark(is_left_out: bool) -> Callable[[], None]:
        return lambda: setattr(model, "ends_without_mark", is_left_out)

    faults: dict[str, Callable[[], None]] = {
        "die": model.die,
        "revive": model.revive,
        "freeze": model.freeze,
        "thaw": model.thaw,
        "end_without_mark": set_end_mark(True),
        "end_with_mark": set_end_mark(False),
    }

    @app.post(f"{FAULTS_PATH}<action>")
    async def fault(action: str) -> str:
        if action not in faults:
            raise EngineRefused(f"no such fault: {action}")
        faults[action]()
        return ""
