"""What a run has seen of each request and engine."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

IN_TIME = "in time"
LATE = "late"
REFUSED = "refused"
BROKEN = "broken"
UNANSWERED = "unanswered"

OUTCOMES = (IN_TIME, LATE, REFUSED, BROKEN, UNANSWERED)
"""How a request ends for its caller, best first."""


class RequestRow(NamedTuple):
    """A caller's request, with all its repeats."""

    number: int
    at_s: float
    route: str
    customer: str
    is_harmful: bool
    prompt_tokens: int
    outcome: str
    attempts: int
    """Times that the caller asked."""
    first_event_s: float | None
    """Time from the first attempt to the first event, or the answer."""
    longest_pause_s: float
    refusals: tuple[str, ...]
    """Names of the refusals that the caller got, in their order."""


class LoadRow(NamedTuple):
    """Engines at a moment."""

    at_s: float
    engine: str
    running: int
    waiting: int


class RunRows(NamedTuple):
    """All of a run."""

    variant: str
    seed: int
    requests: tuple[RequestRow, ...]
    loads: tuple[LoadRow, ...]
    crashes: int
    """Engines that crashed."""
    peer_bytes: int
    """Bytes of the datagrams between entries."""

    def served_share(self, route: str | None = None) -> float:
        """Return the share of the good requests that were served in time."""
        good = [row for row in self.requests if not row.is_harmful and route in (None, row.route)]
        return sum(row.outcome == IN_TIME for row in good) / len(good) if good else 1.0


def encode_rows(rows: RunRows, digest: str) -> str:
    """Return a run's file: a line for the run, then one for each request and load."""
    head = {
        "digest": digest,
        "variant": rows.variant,
        "seed": rows.seed,
        "crashes": rows.crashes,
        "peer_bytes": rows.peer_bytes,
        "requests": len(rows.requests),
        "loads": len(rows.loads),
    }
    lines: list[Any] = [head]
    lines += [row._asdict() for row in rows.requests]
    lines += [row._asdict() for row in rows.loads]
    return "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in lines)


def decode_rows(text: str, digest: str) -> RunRows | None:
    """Return the run of a file, ``None`` if it isn't whole or of another plan."""
    try:
        head, *lines = [json.loads(line) for line in text.splitlines()]
    except ValueError:
        return None
    count = head["requests"]
    if head["digest"] != digest or len(lines) != count + head["loads"]:
        return None
    requests = tuple(
        RequestRow(**{**line, "refusals": tuple(line["refusals"])}) for line in lines[:count]
    )
    loads = tuple(LoadRow(**line) for line in lines[count:])
    return RunRows(
        head["variant"], head["seed"], requests, loads, head["crashes"], head["peer_bytes"]
    )
