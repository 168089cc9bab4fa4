"""Records of two incarnations of a server: late writes, and a clock that went back."""

from __future__ import annotations

import random

import pytest

from sassafrastally.core import Clock, Kernel, KvEntry, KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.store import Snapshot

from .test_cluster_state import REGISTRATION_EXPIRY_S, PlainDialect, at

HEARTBEAT_S = REGISTRATION_EXPIRY_S / 3
STEP_S = HEARTBEAT_S / 4
"""Time between two changes that others write."""

AHEAD, BEHIND = 3000, 1000
"""Start times of two incarnations; the later one may have either."""

MAX_CONFIRMATION_S = 3 * HEARTBEAT_S
"""Within a drain time of three seconds, a server that restarted with its clock gone back must be
followed again."""


class Follower:
    """A view that follows one server."""

    def __init__(self, clock, born_ms: int = AHEAD) -> None:
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        self.state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        self.clock = clock
        self.revision = 0
        self.state.replace(Snapshot((), at(0)), "store")
        self.write(born_ms)

    def write(self, born_ms: int | None, *, is_draining: bool = False) -> None:
        """Read a record of the server that has just been written."""
        born = "null" if born_ms is None else born_ms
        self._read("servers/a", f"[{str(is_draining).lower()}, {born}]")

    def write_successor(self, born_ms: int) -> None:
        """Read a record of another server at the same address."""
        self._read("servers/b", f"[false, {born_ms}]")

    def usable(self) -> set[str]:
        """Return which of the two servers get requests."""
        return {server.server_id for server in self.state.servers.of_service("s")}

    def _read(self, key: str, value: str | None) -> None:
        self.revision += 1
        encoded = None if value is None else value.encode()
        self.state.apply([KvEvent(key, encoded, self.revision)], at(self.revision), "store")

    def outlast_outage(self) -> None:
        """Let the store be away, and read others' changes after its return."""
        self.clock.jump(2 * REGISTRATION_EXPIRY_S)
        self.state.servers.store_returned_s = self.state.kernel.clock.now_s()
        self.pass_time(STEP_S)

    def remove(self) -> None:
        """Read that the server's record was removed."""
        self._read("servers/a", None)

    def pass_time(self, duration_s: float) -> None:
        """Let others write meanwhile, so that the position is confirmed."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.jump(STEP_S)
            self._read("config", str(self.revision + 1))

    def beat(self, born_ms: int | None, count: int, *, is_draining: bool = False) -> None:
        """Let an incarnation send heartbeats."""
        for _ in range(count):
            self.write(born_ms, is_draining=is_draining)
            self.pass_time(HEARTBEAT_S)

    @property
    def present(self) -> int | None:
        """Start time of the incarnation that gets requests; -1 if none does."""
        usable = {server.server_id: server for server in self.state.servers.of_service("s")}
        return usable["a"].born_ms if "a" in usable else -1


class TestClockWentBack:
    """A server crashes and restarts while its machine's clock is less far ahead than before."""

    @pytest.mark.parametrize("born_ms", [BEHIND, None])
    async def test_incarnation_that_goes_on_writing_is_the_present_one(
        self, autojump_clock, born_ms
    ):
        """Guards against ignoring all records of a restarted server, including its draining."""
        follower = Follower(autojump_clock)
        follower.beat(AHEAD, 2)
        follower.beat(born_ms, round(MAX_CONFIRMATION_S / HEARTBEAT_S) + 1)
        assert follower.present == born_ms
        follower.write(born_ms, is_draining=True)
        assert follower.present == -1

    async def test_drain_right_after_the_restart_is_obeyed(self, autojump_clock):
        """Guards against requests after the drain time since the incarnation wasn't confirmed."""
        follower = Follower(autojump_clock)
        follower.beat(AHEAD, 2)
        follower.beat(BEHIND, 1)
        follower.write(BEHIND, is_draining=True)
        assert follower.present == -1

    async def test_incarnation_after_a_long_absence_counts_at_once(self, autojump_clock):
        """Guards against leaving a server out of use when no late write is possible any more."""
        follower = Follower(autojump_clock)
        follower.remove()
        follower.pass_time(REGISTRATION_EXPIRY_S + 2 * STEP_S)
        follower.write(BEHIND)
        assert follower.present == BEHIND

    async def test_late_write_of_the_one_ahead_is_ignored(self, autojump_clock):
        """The former incarnation has the later start time. Guards against ordering by it: its late
        write would replace the present one's address and drain state."""
        follower = Follower(autojump_clock)
        follower.beat(BEHIND, 5)
        follower.write(AHEAD, is_draining=True)
        assert follower.present == BEHIND

    async def test_state_of_the_former_one_does_not_apply(self, autojump_clock):
        """Guards against keeping a restarted server out of use since it was draining before."""
        follower = Follower(autojump_clock)
        follower.write(AHEAD, is_draining=True)
        follower.pass_time(HEARTBEAT_S)
        follower.beat(BEHIND, 5)
        assert follower.present == BEHIND


class TestLateWrites:
    """Writes of a crashed incarnation that are applied after its successor's first record."""

    @pytest.mark.parametrize("late", [(False,), (True,), (True, True), (False, False, False)])
    async def test_of_an_unseen_incarnation_change_nothing(self, autojump_clock, late):
        """Guards against taking several late writes, applied together, for heartbeats."""
        follower = Follower(autojump_clock)
        follower.beat(AHEAD, 2)
        for is_draining in late:
            follower.write(BEHIND, is_draining=is_draining)
        assert follower.present == AHEAD

    async def test_that_report_draining_are_corrected(self, autojump_clock):
        """The crashed incarnation's last heartbeat and its drain report are applied together, which
        looks like a server that leaves. Guards against a new incarnation that stays out of use."""
        follower = Follower(autojump_clock)
        follower.beat(AHEAD, 2)
        follower.write(BEHIND)
        follower.write(BEHIND, is_draining=True)
        assert follower.present == -1
        follower.beat(AHEAD, 4)
        assert follower.present == AHEAD

    async def test_between_heartbeats_of_the_present_one_change_nothing(self, autojump_clock):
        """Guards against counting late writes that the present incarnation interrupts."""
        follower = Follower(autojump_clock)
        for _ in range(4):
            follower.write(BEHIND)
            follower.pass_time(HEARTBEAT_S / 2)
            follower.write(AHEAD)
            follower.pass_time(HEARTBEAT_S / 2)
            assert follower.present == AHEAD

    async def test_after_a_gap_of_this_process_do_not_count_by_their_age(self, autojump_clock):
        """After a gap, only the last record of each server is seen. Guards against taking the
        present incarnation, whose heartbeats were in the gap, for silent."""
        follower = Follower(autojump_clock)
        follower.write(BEHIND)
        autojump_clock.jump(2 * REGISTRATION_EXPIRY_S)
        follower.write(BEHIND, is_draining=False)
        assert follower.present == AHEAD

    @pytest.mark.parametrize("is_draining", [False, True])
    async def test_after_an_outage_do_not_count_by_the_silence_in_it(
        self, autojump_clock, is_draining
    ):
        """No server could write in the outage, and the first write after it is a late one. Guards
        against taking the present incarnation for gone, as it was silent for so long."""
        follower = Follower(autojump_clock)
        follower.beat(AHEAD, 2)
        follower.outlast_outage()
        follower.write(BEHIND, is_draining=is_draining)
        assert follower.present == AHEAD

    async def test_in_a_copy_of_the_store_do_not_count(self, autojump_clock):
        """A restored store has the former incarnation's record. Guards against using it."""
        follower = Follower(autojump_clock, BEHIND)
        follower.write(AHEAD)
        follower.pass_time(2 * REGISTRATION_EXPIRY_S)
        copied = KvEntry("servers/a", f"[false, {BEHIND}]".encode(), 1)
        follower.state.replace(Snapshot((copied,), at(1, epoch=2)), "store")
        assert follower.present == AHEAD

    async def test_that_was_taken_for_the_present_one_is_corrected(self, autojump_clock):
        """A late write has a later start time that was never seen. Guards against keeping to it."""
        follower = Follower(autojump_clock, BEHIND)
        follower.write(AHEAD, is_draining=True)
        assert follower.present == -1
        follower.pass_time(HEARTBEAT_S / 2)
        follower.beat(BEHIND, 4)
        assert follower.present == BEHIND


class TestSharedAddress:
    """Two servers with different ids register at one address."""

    async def test_successor_whose_clock_went_back_is_used(self, autojump_clock):
        """A server crashes, and another one starts at its address with an earlier start time.
        Guards against requests that name the crashed one, which its successor rejects, until the
        crashed one's record expires."""
        follower = Follower(autojump_clock)
        for _ in range(3):
            follower.write_successor(BEHIND)
            follower.pass_time(HEARTBEAT_S)
        assert follower.usable() == {"b"}

    async def test_servers_that_both_go_on_writing_are_ordered_by_their_start(self, autojump_clock):
        """Guards against a holder that changes with each heartbeat."""
        follower = Follower(autojump_clock)
        for _ in range(4):
            follower.write(AHEAD)
            follower.pass_time(HEARTBEAT_S / 2)
            follower.write_successor(BEHIND)
            follower.pass_time(HEARTBEAT_S / 2)
            assert follower.usable() == {"a"}

    async def test_late_writes_of_the_crashed_one_change_nothing(self, autojump_clock):
        """Guards against taking two late writes, applied together, for heartbeats."""
        follower = Follower(autojump_clock)
        follower.write_successor(BEHIND)
        follower.write_successor(BEHIND)
        assert follower.usable() == {"a"}

    async def test_silence_in_an_outage_does_not_count(self, autojump_clock):
        """Guards against a late write of the crashed server, the first one after an outage, by
        which the live one loses its address."""
        follower = Follower(autojump_clock)
        follower.outlast_outage()
        follower.write_successor(BEHIND)
        assert follower.usable() == {"a"}


class TestReplay:
    """A server that crashes and restarts again and again while its clock steps."""

    @pytest.mark.parametrize("seed", range(20))
    async def test_present_incarnation_is_followed_within_three_heartbeats(
        self, autojump_clock, seed
    ):
        """Guards against an order of steps and late writes after which a server is ignored."""
        drawn = random.Random(seed)
        follower = Follower(autojump_clock)
        former, present = 0, AHEAD
        for _ in range(25):
            former, present = present, drawn.choice([-1, 1]) * drawn.randrange(1, 2400) + 90_000
            follower.pass_time(drawn.choice([0.0, HEARTBEAT_S, 2 * REGISTRATION_EXPIRY_S]))
            follower.beat(present, 1)
            if drawn.random() < 0.5:
                follower.write(former, is_draining=drawn.random() < 0.5)
                follower.pass_time(STEP_S)
            follower.beat(present, 5)
            assert follower.present == present
            follower.write(present, is_draining=True)
            assert follower.present == -1
            if drawn.random() < 0.5:
                follower.remove()
