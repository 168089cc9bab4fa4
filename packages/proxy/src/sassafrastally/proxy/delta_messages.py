"""Changes of configuration and backend servers, as one entry sends them to another."""

from __future__ import annotations

import zlib
from typing import Any

from sassafrastally.core import KvEntry, KvEvent
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.peer_messages import decode_counter, decode_position
from sassafrastally.proxy.peer_schema import codec, schema
from sassafrastally.proxy.store_records import Delta
from sassafrastally.proxy.work_steps import decompress_in_steps, map_in_steps

COMPRESSION_LEVEL = 1
"""Fastest zlib level; higher levels take five times as long and save a tenth of the bytes."""

MAX_DELTA_WORDS = 4 * 1024 * 1024
"""Traversal limit of an answer in words of eight bytes, and of its size once decompressed: some
thirty of the store's largest values, well below the memory of a small VM."""


def encode_delta(delta: Delta) -> bytes:
    """Encode the response body for a peer that is missing changes.

    The body is compressed, since configurations are large and repetitive and must arrive quickly.
    """
    message = schema().Delta.new_message(
        epoch=delta.position.epoch,
        revision=delta.position.revision,
        isEverything=delta.entries is not None,
        items=[_encode_item(*item[:3]) for item in (delta.entries or delta.events)],
    )
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


async def decode_delta(body: bytes) -> Delta:
    """Decode the changes in a response body in steps; raises `DocumentInvalid`."""
    try:
        data = await decompress_in_steps(body, 8 * MAX_DELTA_WORDS)
        with schema().Delta.from_bytes(data, traversal_limit_in_words=MAX_DELTA_WORDS) as message:
            position = decode_position(message)
            if message.isEverything:
                entries = await map_in_steps(_decode_entry, message.items)
                return Delta(tuple(entries), (), position)
            events = await map_in_steps(_decode_event, message.items)
            return Delta(None, tuple(events), position)
    except (zlib.error, codec().KjException, ValueError) as cause:
        raise DocumentInvalid(f"invalid changes from a peer: {cause!r}") from cause


def _encode_item(key: str, value: bytes | None, revision: int) -> dict[str, Any]:
    return {"key": key, "value": value or b"", "isRemoved": value is None, "revision": revision}


def _decode_entry(item: Any) -> KvEntry:
    return KvEntry(item.key, bytes(item.value), decode_counter(item.revision))


def _decode_event(item: Any) -> KvEvent:
    value = None if item.isRemoved else bytes(item.value)
    return KvEvent(item.key, value, decode_counter(item.revision))
