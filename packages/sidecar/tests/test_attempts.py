"""The table of attempts and its limits."""

from __future__ import annotations

from sassafrastally.serving.outcome import AttemptState
from sassafrastally.sidecar.answer import Answer
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.attempts import Attempt, AttemptTable
from sassafrastally.sidecar.settings import SidecarSettings
from sassafrastally.wire.messages import Reserve

SMALL = SidecarSettings(max_attempts=3, max_marks=5, max_ran_marks=2, mark_age_s=100.0)


def key(number):
    return AttemptKey(f"{number:032x}", 1)


def add(table, number, now_s=0.0, **changes):
    reserve = Reserve(*key(number), time_limit_s=60.0)._replace(**changes)
    attempt = Attempt(reserve, Answer(key(number)), now_s, 3.0)
    table.add(attempt)
    return attempt


class TestLimits:
    async def test_live_attempts(self):
        table = AttemptTable(SMALL)
        for number in range(3):
            assert not table.limit_reached(0.0)
            add(table, number)
        assert table.limit_reached(0.0)
        assert not table.limit_reached(3.0)  # The reservations have lapsed.

    async def test_young_marks_are_never_evicted(self):
        """Marks of voided attempts fill the table. Evicting the oldest would allow its late commit
        to run, so new reservations are refused until the marks expire."""
        table = AttemptTable(SMALL)
        for number in range(5):
            table.void(add(table, number), 0.0)
        assert table.limit_reached(99.0)
        assert table.state(key(0), 99.0) is AttemptState.VOIDED
        assert not table.limit_reached(101.0)
        assert table.mark_count == 0

    async def test_void_without_room_refuses_all_reservations(self):
        """A query voids an attempt that never arrived, and there is no room for its mark. The late
        reserve must still be refused."""
        table = AttemptTable(SMALL._replace(max_marks=1))
        table.void_absent(key(1), 0.0)
        table.void_absent(key(2), 50.0)
        assert table.mark_count == 1
        assert table.limit_reached(149.0)
        assert not table.limit_reached(151.0)

    async def test_evicted_runs_are_not_reported_as_absent(self):
        """Marks of idempotent attempts that ran are evicted early at their limit. "Absent" would be
        taken as proof that such an attempt has not run, so no attempt is reported as absent until
        the evicted mark would have expired."""
        table = AttemptTable(SMALL)
        for number in range(3):
            attempt = add(table, number, idempotent=True)
            attempt.commit(0.0, 60.0)
            table.settle(attempt, AttemptState.COMPLETED, 10.0)
        assert table.state(key(2), 11.0) is AttemptState.COMPLETED
        assert table.state(key(0), 11.0) is AttemptState.OTHER_INCARNATION
        assert table.state(key(0), 111.0) is AttemptState.ABSENT

    async def test_bodies_are_counted_until_the_server_has_them(self):
        table = AttemptTable(SMALL)
        first, second = (add(table, number, body_size_bytes=10) for number in range(2))
        table.release_body(first)
        table.void(first, 0.0)
        assert table.body_bytes == 10
        table.void(second, 0.0)
        assert table.body_bytes == 0


class TestSettle:
    async def test_settled_attempt_is_not_settled_again(self):
        table = AttemptTable(SMALL)
        attempt = add(table, 1)
        table.void(attempt, 0.0)
        table.settle(attempt, AttemptState.COMPLETED, 1.0)
        assert table.state(key(1), 1.0) is AttemptState.VOIDED
