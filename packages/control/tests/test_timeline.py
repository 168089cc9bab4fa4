"""Merging the events of all processes into one order, and rendering them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.control.admin import MAX_REPLY_BYTES
from sassafrastally.control.timeline import answer_events, merge_events, render_events
from sassafrastally.core import Clock, EventLog, Incarnation, Kernel, event

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

EPOCH_S = 1_800_000_000.0


@event(9990)
class Asked(NamedTuple):
    """A question was sent."""

    request_id: str


@event(9991, "warning")
class Answered(NamedTuple):
    """A question was answered."""

    request_id: str
    elapsed_s: float


class TestMergeEvents:
    """`merge_events` and `render_events`."""

    async def test_answer_stands_below_its_question_although_clocks_differ(
        self, autojump_clock: object, snapshot: SnapshotAssertion
    ):
        """The timeline lists a sidecar's reply before the entry's request.

        This would happen when sorting by wall-clock time alone, since the entry's clock is three
        seconds ahead of the sidecar's.
        """
        entry = EventLog("entry-1", Incarnation("a"), Clock(3.0, EPOCH_S))
        sidecar = EventLog("reader-1", Incarnation("b"), Clock(0.0, EPOCH_S))
        request_id = "0123456789abcdef" * 2
        asked = entry.emit(Asked(request_id))
        sidecar.hybrid.observe(asked["stamp"])
        sidecar.emit(Answered(request_id, 0.25))
        merged = merge_events([sidecar.records(), entry.records()])
        assert [record["name"] for record in merged] == ["Asked", "Answered"]
        assert render_events(merged) == snapshot

    def test_no_events(self):
        assert render_events([]) == "no events\n"


class TestAnswerEvents:
    """`answer_events`."""

    async def test_returns_latest_events_that_fit_in_a_frame(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        for _ in range(3_000):
            kernel.events.emit(Asked("x" * 100))
        answer = await answer_events(kernel, {"where": {"request_id": "x" * 100}})
        assert len(json.dumps(answer)) <= MAX_REPLY_BYTES
        assert 0 < len(answer["events"]) < 3_000
        assert len(answer["events"]) + answer["left_out"] == 3_000
        assert answer["events"][-1] == kernel.events.records()[-1]
