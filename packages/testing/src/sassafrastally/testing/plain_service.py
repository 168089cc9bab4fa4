"""A stand-in of a plain service: ``POST /book`` echoes its body and counts what ran.

Run it by ``python -m sassafrastally.testing.plain_service --listen 127.0.0.1:9201``.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any, cast

import trio
from quart import Response, request
from quart_trio import QuartTrio

from sassafrastally.testing.http_serving import run_program, serve_app, serve_until_cancelled
from sassafrastally.testing.listen_option import add_listen_option

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from sassafrastally.core import Address

MAX_BODY_BYTES = 8 * 1024 * 1024

ANSWER_PARTS = 4
"""Pieces in which an answer is sent, so that one can break off between them."""


class BrokenOff(Exception):
    """A switched failure: the connection is cut."""


class PlainService:
    """What the service has done, and its failure switches.

    Parameters
    ----------
    delay_s
        How long a call takes.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.executions: Counter[str] = Counter()
        """How often a call ran, by the ``marker`` of its body, else by the body itself."""
        self.lost_answers = 0
        """So many next calls run and never answer; the caller's time limit ends them."""
        self.broken_answers = 0
        """So many next calls run and break off mid-answer."""

    async def execute(self, body: bytes) -> str:
        """Run a call; return its marker."""
        if self.delay_s:
            await trio.sleep(self.delay_s)
        marker = _marker(body)
        self.executions[marker] += 1
        return marker

    def lose_next(self) -> None:
        """Let one more answer be lost."""
        self.lost_answers += 1

    def break_next(self) -> None:
        """Let one more answer break off in the middle."""
        self.broken_answers += 1


def make_plain_app(service: PlainService) -> QuartTrio:
    """Return the application that serves a plain service."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["RESPONSE_TIMEOUT"] = None
    faults: dict[str, Callable[[], None]] = {
        "lose_answer": service.lose_next,
        "break_answer": service.break_next,
    }

    @app.post("/book")
    async def book() -> Response:
        body = cast("bytes", await request.get_data(as_text=False))
        marker = await service.execute(body)
        if service.lost_answers:
            service.lost_answers -= 1
            await trio.sleep_forever()  # Until the caller gives up.
        is_broken = service.broken_answers > 0
        service.broken_answers -= is_broken
        answer = {"marker": marker, "echo": body.decode(errors="replace")}
        parts = _parts(json.dumps(answer).encode(), is_broken)
        return Response(parts, content_type="application/json")

    @app.get("/counts")
    async def counts() -> dict[str, Any]:
        return {"executions": dict(service.executions)}

    @app.post("/faults/<name>")
    async def fault(name: str) -> tuple[str, int]:
        if name not in faults:
            return f"no such fault: {name}", 404
        faults[name]()
        return "", 200

    return app


async def serve_plain(
    service: PlainService,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a plain service until cancelled; reports the bound address."""
    await serve_app(make_plain_app(service), address, task_status=task_status)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description="Stand-in of a plain service.")
    add_listen_option(parser)
    parser.add_argument("--delay-s", type=float, default=0.0, help="how long a call takes")
    options = parser.parse_args(arguments)
    app = make_plain_app(PlainService(options.delay_s))
    run_program(partial(serve_until_cancelled, app, options.listen))


async def _parts(answer: bytes, is_broken: bool) -> AsyncIterator[bytes]:
    size = -(-len(answer) // ANSWER_PARTS)
    for start in range(0, len(answer), size):
        if is_broken and start:
            raise BrokenOff
        yield answer[start : start + size]


def _marker(body: bytes) -> str:
    text = body.decode(errors="replace")
    try:
        document = json.loads(text)
    except ValueError:
        return text
    return str(document.get("marker", text)) if isinstance(document, dict) else text


if __name__ == "__main__":
    main()
