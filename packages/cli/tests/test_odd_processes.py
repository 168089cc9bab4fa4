"""Real processes beside odd entries of another writer in the KV service."""

from __future__ import annotations

import base64
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING

import httpx
import pytest

from sassafrastally.testing.process_fleet import ProcessFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).parents[3] / "examples"
DAEMONS = ("reader-1", "reader-2", "crossings-1", "entry-1", "entry-2")
ENTRY_PORT = 8001
KV_PORT = 9001
BUNDLE = b"sassafrastally/bundle/"
PLACEMENT = b"sassafrastally/placement/"
HEAD = BUNDLE + b"live/head"
FORGED = {"generation": 2**53, "digest": "ab" * 32, "previous_generation": 2**53 - 1}
FORGED |= {"roller": "ana", "nonce": "\ud800", "signatures": [], "roll_signature": "00" * 64}
ODD_VALUES = [
    b"[" * 30_000 + b"]" * 30_000,
    b'{"number": ' + b"9" * 5_000 + b"}",
    json.dumps({"number": 2**64, "vm": "x", "token": "x"}).encode(),
    json.dumps(FORGED).encode(),
    json.dumps({**FORGED, "nonce": "n"}).encode(),
    b"\xff",
]
ODD_KEYS = [
    HEAD,
    BUNDLE + b"live/signature/" + b"ab" * 32 + b"/ana",
    BUNDLE + b"live/\xff",
    BUNDLE + b"watcher/sondrio/0",
    PLACEMENT + b"fence",
    PLACEMENT + b"holder",
    *(PLACEMENT + b"part/%02d" % index for index in range(16)),
    PLACEMENT + b"part/\xff",
]


class Fleet(ProcessFleet):
    """The fleet with a caller and another writer of the KV service."""

    def is_ready(self) -> bool:
        body = {"model": "parcel-reader", "prompt": "ready?", "max_tokens": 1}
        url = f"http://{self.address(ENTRY_PORT)}/v1/completions"
        headers = {"Authorization": "Bearer counter-key"}
        try:
            return httpx.post(url, json=body, headers=headers, timeout=5.0).status_code == 200
        except httpx.HTTPError:
            return False

    def put(self, key: bytes, value: bytes) -> None:
        put = {
            name: base64.b64encode(data).decode() for name, data in (("key", key), ("value", value))
        }
        self._post("txn", {"success": [{"request_put": put}]})

    def get(self, key: bytes) -> bytes:
        answer = self._post("range", {"key": base64.b64encode(key).decode()})
        return base64.b64decode(answer["kvs"][0]["value"])

    def _post(self, operation: str, body: object) -> dict:
        url = f"http://{self.address(KV_PORT)}/v3/kv/{operation}"
        return httpx.post(url, json=body, timeout=5.0).raise_for_status().json()

    def ended(self) -> list[str]:
        return [vm for vm in DAEMONS if self.process(vm).poll() is not None]


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(EXAMPLES, tmp_path)
    try:
        made.start_stand_ins()
        for vm in DAEMONS:
            made.start(vm)
        made.roll_first_bundle()
        made.wait(made.is_ready, "entry-1 is ready")
        yield made
    finally:
        made.end()


class TestOddEntries:
    def test_end_no_process_and_lose_no_request(self, fleet: Fleet) -> None:
        """Guards against machines that end again and again beside odd entries of another writer."""
        head = fleet.get(HEAD)
        for value in ODD_VALUES:
            for key in ODD_KEYS:
                try:
                    fleet.put(key, value)
                except httpx.HTTPStatusError:
                    continue  # The stand-in refuses keys that aren't UTF-8.
            assert fleet.is_ready()
            time.sleep(0.5)
        assert fleet.ended() == []
        fleet.process("entry-1").terminate()
        fleet.process("entry-1").wait(20)
        fleet.start("entry-1")
        time.sleep(1.0)
        fleet.put(HEAD, head)
        fleet.wait(fleet.is_ready, "entry-1 serves again")
        assert fleet.ended() == []
