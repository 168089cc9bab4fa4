"""Writes that are read back if their response is lost.

The KV service may apply a write although the response is lost. A caller that treats this as a
failure would do its work twice; one that treats it as a success might never get it done. The
writer therefore puts a unique token into the value and looks for it.
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
    """Apply all writes or none, and determine the outcome if the response is lost.

    Parameters
    ----------
    kv
        The KV service.
    writes
        The transaction. The first write must be conditional and contain the caller's token.
    is_own
        Returns whether the entry of the first write's key contains the caller's token.
    purpose
        Purpose of all KV calls.
    time_limit_s
        Time after which an unresolved outcome is reported as unknown.
    random
        Random number generator for the jitter between calls.

    Returns
    -------
    int
        Revision of the write, or of the entry if it was found by reading back.

    Raises
    ------
    KvConflict
        If another revision was found: the write has not been and will not be applied.
    KvUnavailable
        If the write was definitely not sent.
    MaybeApplied
        If the time limit passed before the outcome was determined.

    Notes
    -----
    An entry without the token doesn't prove that the write failed: it may still be in flight. The
    write is then sent again, which is safe because the first write is conditional: at most one of
    the two copies finds the expected revision. If the second copy gets a conflict, reading back
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
            return await _resolve(kv, writes, is_own, purpose, random)
        raise MaybeApplied(
            f"{writes[0].key}: outcome still unknown after {time_limit_s} s"
        ) from cause


async def _resolve(
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
