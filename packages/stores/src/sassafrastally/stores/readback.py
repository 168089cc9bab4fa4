"""Writes whose lost answers are resolved by reading back.

The KV service may apply a write and lose the answer. A caller that took that for a failure would
do its work twice; one that took it for success might never have it done. The writer therefore
puts a token of its own into the value and looks for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core.kv import KvConflict, KvUnavailable, MaybeApplied
from sassafrastally.stores.backoff import full_jitter
from sassafrastally.stores.requests import ANY_REVISION, KvRequestInvalid

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from sassafrastally.core.kv import Kv, KvEntry, KvWrite

READBACK_BASE_S = 0.02
READBACK_CAP_S = 1.0


async def write_with_readback(
    kv: Kv,
    writes: Sequence[KvWrite],
    is_own: Callable[[KvEntry | None], bool],
    *,
    purpose: str,
    time_limit_s: float,
    random: Random,
) -> int:
    """Do all writes or none, and find out which when the answer is lost.

    Parameters
    ----------
    kv
        The KV service.
    writes
        The transaction. The first write is conditional and carries the caller's token.
    is_own
        Tells from the entry of the first write's key whether the caller's token is in it.
    purpose
        Purpose of all calls.
    time_limit_s
        Time after which an open question stays open.
    random
        Source of the jitter between calls.

    Returns
    -------
    int
        Revision of the write or, when it was found by reading back, of the entry.

    Raises
    ------
    KvConflict
        When another revision was found: the write had no effect and will have none.
    KvUnavailable
        When the write was certainly not sent.
    MaybeApplied
        When the time limit passed before the question was settled.

    Notes
    -----
    An entry without the token doesn't prove that the write failed: it may still be on its way. It
    is sent again then, which is safe because the first write is conditional: of the two copies
    one at most finds the expected revision. Whoever comes second meets a conflict, reads back and
    finds the token.
    """
    if writes[0].expected_revision == ANY_REVISION:
        raise KvRequestInvalid("a write that is read back must be conditional")
    started_s = trio.current_time()
    try:
        return await kv.write(writes, purpose=purpose)
    except MaybeApplied as cause:
        remaining_s = max(started_s + time_limit_s - trio.current_time(), 0.0)
        with trio.move_on_after(remaining_s):
            return await _settle(kv, writes, is_own, purpose, random)
        raise MaybeApplied(f"{writes[0].key}: not settled within {time_limit_s} s") from cause


async def _settle(
    kv: Kv,
    writes: Sequence[KvWrite],
    is_own: Callable[[KvEntry | None], bool],
    purpose: str,
    random: Random,
) -> int:
    attempt = 0
    while True:
        try:
            return await _read_or_write_again(kv, writes, is_own, purpose)
        except (KvUnavailable, MaybeApplied) as cause:
            hint_s = cause.retry_after_s if isinstance(cause, KvUnavailable) else 0.0
            wait_s = full_jitter(attempt, READBACK_BASE_S, READBACK_CAP_S, random)
            await trio.sleep(max(wait_s, hint_s))
            attempt += 1


async def _read_or_write_again(
    kv: Kv,
    writes: Sequence[KvWrite],
    is_own: Callable[[KvEntry | None], bool],
    purpose: str,
) -> int:
    first = writes[0]
    entry = await kv.get(first.key, purpose=purpose)
    if is_own(entry):
        return entry.mod_revision if entry else 0
    try:
        return await kv.write(writes, purpose=purpose)
    except KvConflict:
        entry = await kv.get(first.key, purpose=purpose)
        if is_own(entry):
            return entry.mod_revision if entry else 0
        raise
