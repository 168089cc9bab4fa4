"""The timeline: events of all processes, merged into causal order."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from sassafrastally.control.admin import ADMIN_METHODS, MAX_BYTES_FIELD, MAX_REPLY_BYTES
from sassafrastally.core import Kernel, stamp_wall_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sassafrastally.core import EventRecord

RECORD_ALLOWANCE_BYTES = 512
"""Space in the reply reserved for the encoding around the records."""


@ADMIN_METHODS.register("events")
async def answer_events(kernel: Kernel, body: dict[str, Any]) -> dict[str, Any]:
    """Return this process's latest events that match ``where``, as many as fit in the reply."""
    records = kernel.events.records(body.get("where"))
    kept: list[EventRecord] = []
    max_bytes = min(MAX_REPLY_BYTES, int(body.get(MAX_BYTES_FIELD, MAX_REPLY_BYTES)))
    room_bytes = max_bytes - RECORD_ALLOWANCE_BYTES
    for record in reversed(records):
        room_bytes -= len(json.dumps(record)) + len(", ")
        if room_bytes < 0:
            break
        kept.append(record)
    kept.reverse()
    return {"events": kept, "left_out": len(records) - len(kept) + kernel.events.dropped}


def merge_events(parts: Iterable[Sequence[EventRecord]]) -> list[EventRecord]:
    """Merge the events of many processes into one causally consistent order.

    Notes
    -----
    Hybrid logical clock timestamps increase along every message, so sorting by them puts each
    effect after its cause even if wall clocks differ. The VM's name makes the order of equal
    timestamps stable.
    """
    merged = [record for part in parts for record in part]
    merged.sort(key=lambda record: (record["stamp"], record["vm"]))
    return merged


def render_events(records: Sequence[EventRecord]) -> str:
    """Render the timeline as aligned text: one line per event, a heading for each second."""
    if not records:
        return "no events\n"
    vm_width = max(len(record["vm"]) for record in records)
    lines: list[str] = []
    last_second = ""
    for record in records:
        moment = datetime.fromtimestamp(stamp_wall_s(record["stamp"]), UTC)
        second = moment.strftime("%Y-%m-%d %H:%M:%S")
        if second != last_second:
            lines.append(f"── {second} UTC")
            last_second = second
        lines.append(
            f"  .{moment.microsecond // 1000:03d}  {record['vm']:<{vm_width}}  "
            f"{record['number']}  {_spaced_words(record['name']):<28} "
            f"{_format_fields(record['fields'])}".rstrip()
        )
    return "\n".join(lines) + "\n"


def _spaced_words(name: str) -> str:
    spaced = "".join(f" {letter.lower()}" if letter.isupper() else letter for letter in name)
    return spaced.strip()


def _format_fields(fields: dict[str, Any]) -> str:
    return "  ".join(f"{name}={_format_value(value)}" for name, value in fields.items())


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    is_id = len(text) >= 32 and all(letter in "0123456789abcdef" for letter in text)
    return text[:8] if is_id else text
