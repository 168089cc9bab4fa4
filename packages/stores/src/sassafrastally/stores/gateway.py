"""JSON encoding of the etcd v3 gateway, used by the client and by the fake server.

Keys and values are base64, 64-bit integers are strings, and fields with a zero value are omitted.
The names are those of etcd.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any, TypedDict

from sassafrastally.core.kv import KvEntry, KvEvent, KvWrite
from sassafrastally.stores.requests import ANY_REVISION, prefix_end

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.stores.ignored_entries import IgnoredEntries

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEPALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

CODE_NOT_FOUND = 5
CODE_RESOURCE_EXHAUSTED = 8
CODE_UNAVAILABLE = 14

NO_LEADER = "etcdserver: no leader"
TOO_MANY_REQUESTS = "etcdserver: too many requests"
REQUEST_TIMED_OUT = "etcdserver: request timed out"
LEASE_NOT_FOUND = "etcdserver: requested lease not found"

NOT_APPLIED = frozenset({NO_LEADER, TOO_MANY_REQUESTS})
"""Errors returned before a write is proposed; any other error may be returned after that."""


MAX_INTEGER = 2**63 - 1
MAX_DIGITS = len(str(MAX_INTEGER))

IGNORED_SOURCE = "kv"

DECODE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
"""Errors of the decoders for JSON values of another form."""


class ForeignKey(ValueError):
    """A key isn't UTF-8, so its entry is of another writer."""


class RangeRequest(TypedDict, total=False):
    """Body of a range request."""

    key: str
    range_end: str
    limit: str


class GatewayError(TypedDict):
    """Body of an error response."""

    error: str
    code: int
    message: str


def encode_bytes(data: bytes) -> str:
    """Encode bytes as base64."""
    return base64.b64encode(data).decode("ascii")


def encode_key(key: str) -> str:
    """Encode a key as base64."""
    return encode_bytes(key.encode())


def decode_key(text: str) -> str:
    """Decode a key from base64; raises `ForeignKey` if it isn't UTF-8."""
    raw = base64.b64decode(text)
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise ForeignKey(raw.decode(errors="backslashreplace")) from None


def prefix_request(prefix: str, limit: int = 0) -> RangeRequest:
    """Return the range request for all keys with a prefix; an empty prefix means all keys."""
    raw = prefix.encode()
    request = RangeRequest(key=encode_bytes(raw or b"\0"), range_end=encode_bytes(prefix_end(raw)))
    if limit:
        request["limit"] = str(limit)
    return request


def encode_txn(writes: Sequence[KvWrite]) -> dict[str, Any]:
    """Encode a transaction that applies all writes if all keys have the expected revisions."""
    return {
        "compare": [
            {
                "target": "MOD",
                "result": "EQUAL",
                "key": encode_key(write.key),
                "mod_revision": str(write.expected_revision),
            }
            for write in writes
            if write.expected_revision != ANY_REVISION
        ],
        "success": [_encode_operation(write) for write in writes],
    }


def _encode_operation(write: KvWrite) -> dict[str, Any]:
    key = encode_key(write.key)
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": encode_bytes(write.value)}
    if write.lease_id:
        put["lease"] = str(write.lease_id)
    return {"request_put": put}


def decode_txn(body: dict[str, Any]) -> list[KvWrite]:
    """Decode the writes of a transaction encoded by `encode_txn`."""
    expected = {
        compare["key"]: int(compare.get("mod_revision", 0)) for compare in body.get("compare", [])
    }
    writes = []
    for operation in body.get("success", []):
        put = operation.get("request_put")
        key = (put or operation["request_delete_range"])["key"]
        value = base64.b64decode(put.get("value", "")) if put else None
        lease_id = int(put.get("lease", 0)) if put else 0
        revision = expected.get(key, ANY_REVISION)
        writes.append(KvWrite(decode_key(key), value, revision, lease_id))
    return writes


def encode_entry(entry: KvEntry) -> dict[str, Any]:
    """Encode an entry as JSON."""
    encoded = {
        "key": encode_key(entry.key),
        "value": encode_bytes(entry.value),
        "mod_revision": str(entry.mod_revision),
    }
    if entry.lease_id:
        encoded["lease"] = str(entry.lease_id)
    return encoded


def decode_entry(body: dict[str, Any]) -> KvEntry:
    """Decode an entry from JSON; raises one of `DECODE_ERRORS`."""
    return KvEntry(
        decode_key(body["key"]),
        base64.b64decode(body.get("value", "")),
        decode_integer(body.get("mod_revision", 0)),
        decode_integer(body.get("lease", 0)),
    )


def decode_entries(body: dict[str, Any], ignored: IgnoredEntries) -> list[KvEntry]:
    """Decode the entries of a range without those of other writers that aren't UTF-8.

    Raises one of `DECODE_ERRORS`.
    """
    entries = []
    for item in _list(body, "kvs"):
        try:
            entries.append(decode_entry(item))
        except ForeignKey as cause:
            ignored.add(IGNORED_SOURCE, str(cause), ValueError("the key isn't UTF-8"))
    return entries


def encode_event(change: KvEvent) -> dict[str, Any]:
    """Encode a change as JSON."""
    entry = {"key": encode_key(change.key), "mod_revision": str(change.mod_revision)}
    if change.value is None:
        return {"type": "DELETE", "kv": entry}
    return {"kv": {**entry, "value": encode_bytes(change.value)}}


def decode_event(body: dict[str, Any]) -> KvEvent:
    """Decode a change from JSON; raises one of `DECODE_ERRORS`."""
    entry = decode_entry(body["kv"])
    value = None if body.get("type") == "DELETE" else entry.value
    return KvEvent(entry.key, value, entry.mod_revision)


def changes_of(body: dict[str, Any]) -> list[Any]:
    """Return the changes in a result of a watch, undecoded; raises one of `DECODE_ERRORS`."""
    return _list(body, "events")


def decode_own_event(item: Any, ignored: IgnoredEntries) -> KvEvent | None:
    """Decode a change; ``None`` for one of another writer, whose key isn't UTF-8.

    Raises one of `DECODE_ERRORS`.
    """
    try:
        return decode_event(item)
    except ForeignKey as cause:
        ignored.add(IGNORED_SOURCE, str(cause), ValueError("the key isn't UTF-8"))
        return None


def revision_of(body: dict[str, Any]) -> int:
    """Return the store revision from the header of a response; raises one of `DECODE_ERRORS`."""
    return decode_integer(body.get("header", {}).get("revision", 0))


def decode_integer(value: object) -> int:
    """Decode a 64-bit integer that isn't negative; raises `ValueError`."""
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS:
        value = int(value)
    if not isinstance(value, int) or not 0 <= value <= MAX_INTEGER:
        raise ValueError("not a 64-bit integer")
    return value


def _list(body: dict[str, Any], name: str) -> list[Any]:
    items = body.get(name, [])
    if not isinstance(items, list):
        raise TypeError(f"{name} is not a list")
    return items
