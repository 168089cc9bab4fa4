"""The placement record in the KV service: one line per engine, split into parts.

Notes
-----
Every write is in one transaction with the fence key (`Tenure.write`), so a replaced holder can't
write any more. Lines are independent of each other, so a record whose parts are written in several
transactions is also valid between them.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

from sassafrastally.control.canonical import BadEncoding, canonical_bytes, load_object
from sassafrastally.control.lease_holder import HolderKeys, decode_fence
from sassafrastally.control.placement_plan import EngineLine
from sassafrastally.core.kv import MAX_VALUE_BYTES, KvWrite
from sassafrastally.core.settings import check_table

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sassafrastally.control.lease_holder import Tenure
    from sassafrastally.core.kv import Kv

ROOT = "sassafrastally/placement/"
PART_PREFIX = ROOT + "part/"
PURPOSE = "placement"
KEYS = HolderKeys(ROOT + "fence", ROOT + "holder", PURPOSE)

PARTS = 16
"""Number of parts of the record; at 1,500 sidecars each holds about 20 kB."""

MAX_TRANSACTION_BYTES = 900_000

MAX_DETAIL_CHARACTERS = 500
"""Maximum length of the reason why a part can't be decoded, which may quote its values."""


class _Part(NamedTuple):
    """Value of one part."""

    lines: tuple[EngineLine, ...] = ()


class RecordedLine(NamedTuple):
    """Fencing number and line of one sidecar, as stored in the KV service."""

    fence: int
    """Fencing number of the last holder; 0 before the first one."""
    line: EngineLine | None
    """``None`` if the record has no line for the VM."""
    is_readable: bool = True
    """Whether the part that holds the VM's line can be decoded."""


class RecordedLines(NamedTuple):
    """All lines of the record."""

    lines: dict[str, EngineLine]
    """Lines by VM."""
    unreadable: tuple[str, ...]
    """Details of the parts that can't be decoded."""


def part_key(index: int) -> str:
    """Return the key of a part."""
    return f"{PART_PREFIX}{index:02d}"


def part_of(vm: str) -> int:
    """Return the index of the part that holds a VM's line."""
    return blake2b(vm.encode(), digest_size=1).digest()[0] % PARTS


async def read_lines(kv: Kv) -> RecordedLines:
    """Return the lines of all parts that can be decoded; raises `KvUnavailable`.

    The engines of the other parts count as engines without lines: the holder adopts what they run
    and writes the part again.
    """
    entries = await kv.get_prefix(PART_PREFIX, purpose=PURPOSE)
    parts = {part_key(index): index for index in range(PARTS)}
    lines: dict[str, EngineLine] = {}
    unreadable: list[str] = []
    for entry in entries:
        if entry.key not in parts:
            continue
        try:
            lines |= _lines_of(parts[entry.key], entry.value)
        except BadEncoding as cause:
            unreadable.append(f"{entry.key}: {cause.detail}")
    return RecordedLines(lines, tuple(unreadable))


async def read_line(kv: Kv, vm: str) -> RecordedLine:
    """Return the fencing number and the line of one VM; raises `KvUnavailable`, `BadEncoding`.

    Notes
    -----
    The fence is read last. If it were read first, a new holder could write the line in between,
    and the sidecar would apply that line under the older fencing number.
    """
    index = part_of(vm)
    part = await kv.get(part_key(index), purpose=PURPOSE)
    fence = await kv.get(KEYS.fence, purpose=PURPOSE)
    number = decode_fence(fence.value).number if fence else 0
    try:
        lines = _lines_of(index, part.value) if part else {}
    except BadEncoding:
        return RecordedLine(number, None, is_readable=False)
    return RecordedLine(number, lines.get(vm))


async def write_lines(
    tenure: Tenure, before: Mapping[str, EngineLine], after: Mapping[str, EngineLine]
) -> None:
    """Write the changed parts in as few transactions as their size allows.

    Raises
    ------
    TenureOver
        When another holder took over; nothing more is written.
    KvUnavailable, MaybeApplied
        When the KV service doesn't respond; some parts may have been written.
    """
    batch: list[KvWrite] = []
    size_bytes = 0
    for index in range(PARTS):
        value = _encode(after.values(), index)
        if value == _encode(before.values(), index):
            continue
        if batch and size_bytes + len(value) > MAX_TRANSACTION_BYTES:
            await tenure.write(batch)
            batch, size_bytes = [], 0
        batch.append(KvWrite(part_key(index), value, expected_revision=-1))
        size_bytes += len(value)
    if batch:
        await tenure.write(batch)


def _encode(lines: Iterable[EngineLine], index: int) -> bytes:
    own = sorted(line for line in lines if part_of(line.vm) == index)
    return canonical_bytes({"lines": [_as_dict(line) for line in own]})


def _as_dict(line: EngineLine) -> dict[str, Any]:
    value = line._asdict()
    value["models"] = [placed._asdict() for placed in line.models]
    return value


def _lines_of(index: int, data: bytes) -> dict[str, EngineLine]:
    """Return the lines of a part, without those of VMs that belong to other parts."""
    part, problems = check_table(load_object(data, MAX_VALUE_BYTES, "placement part"), _Part)
    if part is None:
        raise BadEncoding(f"placement part: {problems[0]}"[:MAX_DETAIL_CHARACTERS])
    return {line.vm: line for line in part.lines if part_of(line.vm) == index}
