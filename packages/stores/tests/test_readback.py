"""Tests of writes whose answers are lost."""

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


class LateKv(FakeKv):
    """A client whose first write lands only when the second one is on its way."""

    def __init__(self, model: KvModel) -> None:
        super().__init__(model)
        self.held: Sequence[KvWrite] = ()
        self.sent = 0

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        self.sent += 1
        if self.sent == 1:
            self.held = writes
            raise MaybeApplied("no answer in time")
        self.model.transact(self.held)
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
    async def test_a_lost_answer_is_resolved_by_the_own_token(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """A booking is claimed, the claim takes effect and its answer is lost. Taken for a
        failure, the retry would claim again and two crews would be sent."""
        model.set_faults(KvFaults(lose_answers=1))
        revision = await append(FakeKv(model))
        assert model.range(KEY) == KvEntry(KEY, TOKEN, revision)
        assert model.counts["txn"] == 1

    async def test_a_dropped_write_is_sent_again(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """The claim is lost before it takes effect. Taken for done, the request would run without
        its claim, and a retry through another entry would run it again."""
        model.set_faults(KvFaults(drop_writes=1))
        await append(FakeKv(model))
        assert is_own(model.range(KEY))

    async def test_a_write_that_lands_late_is_done_once(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """The first copy of a write is delayed in the network: reading back shows nothing, the
        write is sent again, and then both arrive. The second copy must neither take effect nor
        be told to the caller as a conflict with somebody else."""
        revision = await append(LateKv(model))
        assert model.range(KEY) == KvEntry(KEY, TOKEN, revision)
        assert model.revision == revision

    async def test_another_writer_wins(self, model: KvModel, autojump_clock: object) -> None:
        """Two entries claim the same key; one's write is lost on the way and the other's lands.
        The first must learn that it lost: both running would double the booking."""
        model.set_faults(KvFaults(drop_writes=1))
        model.transact([KvWrite(KEY, OTHER, 0)])
        with pytest.raises(KvConflict):
            await append(FakeKv(model))
        entry = model.range(KEY)
        assert entry is not None
        assert entry.value == OTHER

    async def test_an_open_question_is_never_answered_by_a_guess(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        """The service goes down right after the write. Whether the claim stands can't be known
        within the time limit; the caller must hear that and not "not run"."""
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

    async def test_a_write_that_was_not_sent_stays_certain(
        self, model: KvModel, autojump_clock: object
    ) -> None:
        model.set_faults(KvFaults(down=True))
        with pytest.raises(KvUnavailable):
            await append(FakeKv(model))

    async def test_an_unconditional_write_is_refused(self, model: KvModel) -> None:
        """Sent again, an unconditional write would undo what others wrote in between."""
        with pytest.raises(KvRequestInvalid):
            await append(FakeKv(model), expected_revision=ANY_REVISION)


class DownAfterWrite(FakeKv):
    """A client whose service goes down after the first write."""

    async def write(self, writes: Sequence[KvWrite], *, purpose: str) -> int:
        try:
            return await super().write(writes, purpose=purpose)
        finally:
            self.model.set_faults(KvFaults(down=True))
