"""Budget of a process for unfinished input."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from sassafrastally.proxy.input_limits import (
    HeldInput,
    InputBudget,
    InputBudgetExceeded,
    most_held_bytes,
)


class TestHeldInput:
    """Which holder is ended beyond the bound."""

    def test_largest_holder_is_ended_not_the_last_one(self):
        """Guards against refusing a small sound response because of a flood elsewhere."""
        held: HeldInput[str] = HeldInput(100)
        assert held.hold("flood", 90) == []
        assert held.hold("sound", 9) == []
        assert held.hold("new", 2) == ["flood"]
        assert held.total_bytes == 11

    def test_replay_of_a_flood_keeps_the_sound_holders(self):
        """Guards against a flood that grows past the bound or displaces sound input."""
        chance = random.Random(1)
        held: HeldInput[str] = HeldInput(100_000)
        ended: list[str] = []
        growing = {f"flood-{number}": 0 for number in range(5)}
        for step in range(10_000):
            sound = f"sound-{step % 20}"
            ended += held.hold(sound, chance.randrange(2000))
            name = chance.choice(list(growing))
            growing[name] += chance.randrange(5000)
            victims = held.hold(name, growing[name])
            for victim in victims:
                growing[victim] = 0
            ended += victims
            assert held.total_bytes <= 100_000
            if step % 3 == 0:
                held.release(sound)
        assert len(ended) > 100
        assert all(name.startswith("flood") for name in ended)

    def test_several_are_ended_if_one_is_not_enough(self):
        held: HeldInput[str] = HeldInput(10)
        assert held.hold("a", 6) == []
        assert held.hold("b", 18) == ["b"]
        assert held.total_bytes == 6

    def test_bound_is_an_eighth_of_the_memory(self):
        assert most_held_bytes(152) == 19_000_000
        assert most_held_bytes(0) < 152_000_000


class TestInputBudget:
    """Accounts of readers."""

    async def test_reader_that_waits_is_ended(self):
        """Guards against a holder of many bytes that waits for more and never gives way."""
        budget = InputBudget(100)
        endings = []

        async def read_slowly() -> None:
            with budget.account() as account:
                account.add(80)
                try:
                    with account.reading():
                        await trio.sleep_forever()
                except InputBudgetExceeded as cause:
                    endings.append(cause.excess.amount)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_slowly)
            await trio.testing.wait_all_tasks_blocked()
            with budget.account() as small:
                small.add(30)
                await trio.testing.wait_all_tasks_blocked()
                small.check()
                assert endings == [80]
                assert budget.held_bytes == 30
        assert budget.held_bytes == 0

    async def test_reader_beyond_the_bound_alone_is_ended(self):
        budget = InputBudget(100)
        with budget.account() as account, pytest.raises(InputBudgetExceeded):
            account.add(101)
        assert budget.held_bytes == 0

    def test_bytes_are_freed_on_exit_and_when_handed_on(self):
        budget = InputBudget(100)
        for _ in range(10):
            with budget.account() as account:
                account.add(90)
                account.add(-90)
                account.add(60)
        assert budget.held_bytes == 0

    async def test_complete_input_counts_but_is_not_ended(self):
        """Guards against ending a request in progress, and against forgetting what it holds."""
        budget = InputBudget(100)
        with budget.account() as complete:
            complete.add(80)
            complete.keep()
            with budget.account() as reading:
                reading.add(20)
                with pytest.raises(InputBudgetExceeded):
                    reading.add(1)
            complete.check()
            assert budget.held_bytes == 80
        assert budget.held_bytes == 0

    async def test_cancellation_from_outside_is_no_end_of_the_account(self):
        budget = InputBudget(100)
        with trio.move_on_after(0) as scope, budget.account() as account, account.reading():
            await trio.sleep_forever()
        assert scope.cancelled_caught
