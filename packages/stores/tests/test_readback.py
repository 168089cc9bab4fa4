"""Tests of writes whose responses are lost."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from sassafrastally.stores import (
    ANY_REVISION,
    KvConflict,
    KvEntry,
    KvRequestInvalid,
    KvUnavailable,
    KvWrite,
    MaybeApplied,
    write_with_readback,
)
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY = "claims/7"
TOKEN = b"token-a"
OTHER = b"token-b"


class DelayedWriteKv(FakeKv):
    """A client whose first write is applied only when the second one is sent."""

    def __init__(self, model: KvModel) -> None:
        super().__init__(model)
        self.delayed_writes: Sequence[KvWrite] = ()
        self.write_count = 0

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        self.write_count += 1
        if self.write_count == 1:
            self.delayed_writes = writes
            raise MaybeApplied("no answer in time")
        self.model.transact(self.delayed_writes)
        return await super().write(writes, purpose=purpose)


@pytest.fixture
def model() -> KvModel:
    return KvModel(Random(1))


def is_own(entry: KvEntry | None) -> bool:
    return entry is not None and TOKEN in entry.value


async def append(kv: FakeKv, expected_revision: int = 0, value: bytes = TOKEN) -> int:
    write = KvWrite(KEY, value, expected_revision)
    return await write_with_readback(
        kv, [write], is_own, purpose="claims", time_limit_s=5.0, random=Random(2)
    )


class TestWriteWithReadback:
    async def test_a_lost_response_is_resolved_by_the_token(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """Guards against a duplicate claim, which would send two crews for one booking.

        The claim is applied but its response is lost; a retry that assumed a failure would claim
        again."""
        model.set_faults(KvFaults(lose_answers=1))
        revision = await append(FakeKv(model))
        assert model.range(KEY) == KvEntry(KEY, TOKEN, revision)
        assert model.counts["txn"] == 1

    async def test_a_dropped_write_is_sent_again(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """Guards against a request that runs without its claim.

        The claim is lost before it is applied. If it were assumed to be applied, a retry through
        another entry would run the request again."""
        model.set_faults(KvFaults(drop_writes=1))
        await append(FakeKv(model))
        assert is_own(model.range(KEY))

    async def test_a_delayed_write_is_applied_once(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """The first copy of a write is delayed in the network: reading back finds nothing, the
        write is sent again, and then both arrive. The second copy must neither be applied nor be
        reported to the caller as a conflict with another writer."""
        revision = await append(DelayedWriteKv(model))
        assert model.range(KEY) == KvEntry(KEY, TOKEN, revision)
        assert model.revision == revision

    async def test_another_writer_wins(self, model: KvModel, autojump_clock: object) -> None:
        """Guards against a booking that runs twice.

        Two entries claim the same key; the first write is lost in transit and the second is
        applied. The first entry must get a conflict."""
        model.set_faults(KvFaults(drop_writes=1))
        model.transact([KvWrite(KEY, OTHER, 0)])
        with pytest.raises(KvConflict):
            await append(FakeKv(model))
        entry = model.range(KEY)
        assert entry is not None
        assert entry.value == OTHER

    async def test_an_unknown_outcome_is_reported_as_unknown(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """The service goes down right after the write, so the outcome of the claim can't be
        determined within the time limit. The caller must not be told "not run"."""
        model.set_faults(KvFaults(lose_answers=1))
        with pytest.raises(MaybeApplied):
            await write_with_readback(
                DownAfterWrite(model),
                [KvWrite(KEY, TOKEN, 0)],
                is_own,
                purpose="claims",
                time_limit_s=5.0,
                random=Random(2),
            )

    async def test_a_write_that_was_not_sent_is_known_not_applied(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        model.set_faults(KvFaults(down=True))
        with pytest.raises(KvUnavailable):
            await append(FakeKv(model))

    async def test_an_unconditional_write_is_rejected(self, model: KvModel) -> None:
        """A retried unconditional write would overwrite what others wrote in between."""
        with pytest.raises(KvRequestInvalid):
            await append(FakeKv(model), expected_revision=ANY_REVISION)


class DownAfterWrite(FakeKv):
    """A client whose service goes down after the first write."""

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        try:
            return await super().write(writes, purpose=purpose)
        finally:
            self.model.set_faults(KvFaults(down=True))
