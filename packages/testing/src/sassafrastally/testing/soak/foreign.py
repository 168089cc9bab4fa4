"""Odd entries that another writer leaves in the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from sassafrastally.platform.discovery import KEYS
from sassafrastally.testing.soak.troubles import trouble

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import SoakFleet

FOREIGN = "foreign-entries"

PREFIXES = (
    KEYS.servers_prefix,
    KEYS.servers_prefix,
    KEYS.entries_prefix,
    KEYS.quarantine_prefix,
    KEYS.evacuations_prefix,
    "others/",
)
"""Where they lie; half as often among each of the others as among the servers'."""

COUNTS = (1, 20, 200)
"""How many are written at once."""

FEW = 20
"""Entries of many kilobytes come in no larger numbers."""

CHANGES = (0, 0, 150)
CHANGE_INTERVAL_S = 0.01
"""How often they are written again in quick succession, and at what interval."""

STAY_S = (0.0, 3.0)

ODD_FIELDS: tuple[tuple[str, object], ...] = (
    ("address", "127.0.0.1:65536"),
    ("address", "127.0.0.1:-1"),
    ("address", "127.0.0.1:" + "9" * 30),
    ("address", "[::1]:80"),
    ("address", None),
    ("slots", 10**30),
    ("slots", -1),
    ("slots", 1e308),
    ("slots", float("inf")),
    ("seqNo", 2**80),
    ("seqNo", float("nan")),
    ("service", {"desk": []}),
    ("state", ["ready"]),
    ("version", 10**400),
)
"""Each makes a server's record invalid."""

SMALL = (
    b"",
    b"null",
    b"1e999",
    b"\xff\xfe\x00",
    b'"\\ud800"',
    b"9" * 5_000,
    b'{"slots": ' + b"9" * 5_000 + b"}",
    b"[" * 2_000,
    b"[" * 900 + b"]" * 900,
    b'{"address": ' * 500 + b"0" + b"}" * 500,
)
LARGE = (b"[" * 100_000, b'{"a":' * 20_000 + b"0" + b"}" * 20_000, b'"' + b"x" * 100_000 + b'"')


@trouble(FOREIGN)
async def write_foreign(fleet: SoakFleet) -> None:
    """Leave odd entries among the servers' and other records; some change in quick succession."""
    count = fleet.random.choice(COUNTS)
    own = json.loads(fleet.servers[0].replica.entry(is_draining=False))
    values = [json.dumps({**own, field: value}).encode() for field, value in ODD_FIELDS]
    values += [*SMALL, *(LARGE if count <= FEW else ())]
    keys = [
        f"{fleet.random.choice(PREFIXES)}odd-{fleet.random.getrandbits(32):08x}"
        for _ in range(count)
    ]
    with fleet.record.trouble(FOREIGN, planned=True):
        for key in keys:
            fleet.store.put(key, fleet.random.choice(values))
        for _ in range(fleet.random.choice(CHANGES)):
            fleet.store.put(fleet.random.choice(keys), fleet.random.choice(values))
            await trio.sleep(CHANGE_INTERVAL_S)
        await trio.sleep(fleet.random.uniform(*STAY_S))
        for key in keys:
            fleet.store.remove(key)
