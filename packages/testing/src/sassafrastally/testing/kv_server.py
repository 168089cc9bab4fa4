"""A stand-in of the KV service that speaks the JSON gateway form of etcd v3.

``POST /faults`` sets the switches of `KvFaults`, ``GET /counts`` tells the calls by method.
"""

from __future__ import annotations

import argparse
import base64
import json
from contextlib import aclosing
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from quart import Response, request
from quart_trio import QuartTrio

from sassafrastally.core.settings import check_table
from sassafrastally.stores import KvConflict, KvUnavailable, LeaseLost, MaybeApplied, gateway
from sassafrastally.testing.http_serving import run_program, serve_app
from sassafrastally.testing.kv_model import KvFaults, KvModel, KvRates
from sassafrastally.testing.listen_option import add_listen_option

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sassafrastally.core import Address

JSON_TYPE = "application/json"
MAX_BODY_BYTES = 8 * 1024 * 1024

Answer = tuple[dict[str, Any], int]
"""JSON body and HTTP status."""


def make_kv_app(model: KvModel) -> QuartTrio:
    """Return the HTTP application of a model."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    calls: dict[str, Callable[[KvModel, dict[str, Any]], Awaitable[dict[str, Any]]]] = {
        gateway.RANGE_PATH: _range,
        gateway.TXN_PATH: _transact,
        gateway.LEASE_GRANT_PATH: _grant,
        gateway.LEASE_KEEPALIVE_PATH: _keep_alive,
        gateway.LEASE_REVOKE_PATH: _revoke,
    }
    for path, call in calls.items():
        app.add_url_rule(path, path, partial(_answer, model, call), methods=["POST"])
    app.add_url_rule(gateway.WATCH_PATH, "watch", partial(_watch, model), methods=["POST"])
    app.add_url_rule("/faults", "faults", partial(_set_faults, model), methods=["POST"])
    app.add_url_rule("/counts", "counts", partial(_counts, model), methods=["GET"])
    return app


async def serve_kv(address: Address, rates: KvRates, seed: int) -> None:
    """Serve a fresh model until cancelled."""
    await serve_app(make_kv_app(KvModel(Random(seed), rates)), address)


def main() -> None:
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description="Stand-in of the KV service.")
    add_listen_option(parser)
    parser.add_argument("--seed", type=int, default=1, help="seed of the random faults")
    parser.add_argument("--reads-per-s", type=float, default=0.0, help="0: no limit")
    parser.add_argument("--writes-per-s", type=float, default=0.0, help="0: no limit")
    options = parser.parse_args()
    rates = KvRates(options.reads_per_s, options.writes_per_s)
    run_program(partial(serve_kv, options.listen, rates, options.seed))


async def _answer(
    model: KvModel, call: Callable[[KvModel, dict[str, Any]], Awaitable[dict[str, Any]]]
) -> Answer:
    try:
        return await call(model, await request.get_json(force=True)), 200
    except LeaseLost:
        return _error(gateway.CODE_NOT_FOUND, gateway.LEASE_NOT_FOUND, 404)
    except KvUnavailable as cause:
        return _unavailable(cause)
    except MaybeApplied:
        return _error(gateway.CODE_UNAVAILABLE, gateway.REQUEST_TIMED_OUT, 503)


async def _range(model: KvModel, body: dict[str, Any]) -> dict[str, Any]:
    key = base64.b64decode(body["key"]).strip(b"\0").decode()
    limit = int(body.get("limit", 0))
    if "range_end" in body:
        entries = await model.read("range", lambda: model.range_prefix(key, limit))
    else:
        entry = await model.read("range", lambda: model.range(key))
        entries = [entry] if entry else []
    encoded = [gateway.encode_entry(entry) for entry in entries]
    return {**_header(model), "kvs": encoded, "count": str(len(encoded))}


async def _transact(model: KvModel, body: dict[str, Any]) -> dict[str, Any]:
    writes = gateway.decode_txn(body)
    try:
        revision = await model.mutate("txn", lambda: model.transact(writes))
    except KvConflict:
        return _header(model)
    return {"header": {"revision": str(revision)}, "succeeded": True}


async def _grant(model: KvModel, body: dict[str, Any]) -> dict[str, Any]:
    time_to_live_s = int(body["TTL"])
    lease_id = await model.mutate("lease_grant", lambda: model.grant(time_to_live_s))
    return {**_header(model), "ID": str(lease_id), "TTL": str(time_to_live_s)}


async def _keep_alive(model: KvModel, body: dict[str, Any]) -> dict[str, Any]:
    lease_id = int(body["ID"])
    remaining_s = await model.mutate("lease_keepalive", lambda: model.keep_alive(lease_id))
    result = {**_header(model), "ID": str(lease_id)}
    return {"result": {**result, "TTL": str(remaining_s)} if remaining_s else result}


async def _revoke(model: KvModel, body: dict[str, Any]) -> dict[str, Any]:
    lease_id = int(body["ID"])
    await model.mutate("lease_revoke", lambda: model.revoke(lease_id))
    return _header(model)


async def _watch(model: KvModel) -> Any:
    body = (await request.get_json(force=True))["create_request"]
    prefix = base64.b64decode(body["key"]).strip(b"\0").decode()
    try:
        first_revision = model.begin_watch(int(body.get("start_revision", 0)))
    except KvUnavailable as cause:
        return _unavailable(cause)
    created = {**_header(model), "created": True}
    response = Response(_lines(model, prefix, first_revision, created), mimetype=JSON_TYPE)
    response.timeout = None  # Quart would end a watch that waits longer than its default.
    return response


async def _lines(
    model: KvModel, prefix: str, first_revision: int, created: dict[str, Any]
) -> AsyncIterator[bytes]:
    yield _line(created)
    try:
        async with aclosing(model.changes(prefix, first_revision)) as moments:
            async for changes in moments:
                events = [gateway.encode_event(change) for change in changes]
                yield _line({**_header(model), "events": events})
    except KvUnavailable:
        yield _line({**_header(model), "canceled": True})


async def _set_faults(model: KvModel) -> Answer:
    faults, problems = check_table(await request.get_json(force=True), KvFaults)
    if faults is None:
        return {"problems": [f"{key}: {message}" for key, message in problems]}, 400
    model.set_faults(faults)
    return dict(faults._asdict()), 200


async def _counts(model: KvModel) -> Answer:
    return dict(model.counts), 200


def _header(model: KvModel) -> dict[str, Any]:
    return {"header": {"revision": str(model.revision)}}


def _line(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def _unavailable(cause: KvUnavailable) -> Answer:
    if cause.detail == gateway.TOO_MANY_REQUESTS:
        return _error(gateway.CODE_RESOURCE_EXHAUSTED, cause.detail, 429)
    return _error(gateway.CODE_UNAVAILABLE, cause.detail, 503)


def _error(code: int, message: str, status: int) -> Answer:
    return dict(gateway.GatewayError(error=message, code=code, message=message)), status


if __name__ == "__main__":
    main()
