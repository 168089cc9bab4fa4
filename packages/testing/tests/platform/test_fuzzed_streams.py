"""Streams of servers with faults that seeds draw, checked from outside."""

from __future__ import annotations

import os

import pytest

from sassafrastally.stand_ins.stream_check import (
    Order,
    Outcome,
    Run,
    loss_findings,
    order_findings,
)
from sassafrastally.stand_ins.stream_fuzz import play

FIRST_SEED = int(os.environ.get("SASSAFRASTALLY_STREAM_SEED", "0"))
SEEDS = int(os.environ.get("SASSAFRASTALLY_STREAM_SEEDS", "80"))
"""How many streams are played; more in hunts."""

SLACK_S = 0.3
"""Time before the caller's limit after which a run may come too late."""


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
class TestFuzzedStream:
    """One stream for each seed."""

    async def test_keeps_its_promises(self, autojump_clock, seeded_fleet, seed):
        """Guards against a stream with an event twice or out of order, one of pieces of two runs,
        one that ends as complete before its last event, and one that is cut although a server that
        has it would have finished it in time."""
        scene = await play(seeded_fleet, seed)
        findings = order_findings(scene.order, scene.outcome, scene.servers.runs)
        findings += loss_findings(scene.order, scene.outcome, scene.servers.runs, SLACK_S)
        assert not findings


def equal(end_id: int, first_id: int = 0) -> dict[int, bytes]:
    """Return the events of a run that equals others."""
    return dict.fromkeys(range(first_id, end_id), b"equal")


def own(name: bytes, first_id: int) -> dict[int, bytes]:
    """Return the events of a run of its own."""
    return dict.fromkeys(range(first_id, 5), name)


ORDER = Order(after_id=-1, end_id=5, limit_s=4.0, leaves_s=2.0)


class TestCheck:
    """What the check finds in streams that are made up."""

    def test_accepts_a_resumed_run(self):
        events = [(0, b"a"), (1, b"a"), (2, b"b"), (3, b"b"), (4, b"b")]
        runs = [Run("a", -1, own(b"a", 0), None), Run("b", 1, own(b"b", 2), None)]
        assert not order_findings(ORDER, Outcome(200, True, events, 1.0), runs)

    def test_accepts_events_that_are_equal(self):
        events = [(number, b"equal") for number in range(5)]
        runs = [Run("a", -1, equal(5), None), Run("b", 1, equal(5, 2), None)]
        assert not order_findings(ORDER, Outcome(200, True, events, 1.0), runs)

    @pytest.mark.parametrize("after_id", [-1, 0, 2])
    def test_finds_joined_pieces(self, after_id):
        """Guards against a run that goes on elsewhere than where it was asked to."""
        events = [(0, b"a"), (1, b"a"), (2, b"b"), (3, b"b"), (4, b"b")]
        runs = [Run("a", -1, own(b"a", 0), None), Run("b", after_id, own(b"b", 0), None)]
        assert order_findings(ORDER, Outcome(200, True, events, 1.0), runs)

    @pytest.mark.parametrize("ids", [[0, 1, 1], [0, 2], [1], [1, 0], [0, 1, 2, 3]])
    def test_finds_missing_and_repeated_events(self, ids):
        events = [(number, b"equal") for number in ids]
        runs = [Run("a", -1, equal(5), None)]
        assert order_findings(ORDER, Outcome(200, True, events, 1.0), runs)

    def test_finds_a_cut_that_a_run_would_have_prevented(self):
        events = [(0, b"a"), (1, b"a")]
        sound = [Run("a", -1, own(b"a", 0), 2.0)]
        late = [Run("a", -1, own(b"a", 0), 3.9), Run("b", -1, own(b"b", 0), 2.0)]
        outcome = Outcome(200, False, events, 4.0)
        assert loss_findings(ORDER, outcome, sound, SLACK_S)
        assert not loss_findings(ORDER, outcome, late, SLACK_S)
