"""The ledger of the engine's memory."""

from __future__ import annotations

import pytest

from sassafrastally.sidecar.engine import EngineInfo, EngineStream
from sassafrastally.sidecar.ledger import Ledger


@pytest.fixture
def ledger():
    ledger = Ledger()
    ledger.set_engine(EngineInfo("a", ("small",), 16, 100, 100, True))
    return ledger


class TestLedger:
    def test_holds_at_most_the_total(self, ledger):
        assert ledger.hold("one", 60, 0.0)
        assert not ledger.hold("two", 41, 0.0)
        assert not ledger.hold("one", 1, 0.0)
        ledger.free("one")
        ledger.free("one")
        assert ledger.free_blocks == 100

    def test_orphaned_run_counts_until_the_engine_no_longer_lists_it(self, ledger):
        ledger.hold("one", 60, 0.0)
        ledger.mark_orphaned("one", 5.0)
        ledger.free_missing([EngineStream("one", "run", 60)], requested_s=6.0)
        assert ledger.free_blocks == 40
        ledger.free_missing([], requested_s=4.0)
        assert ledger.free_blocks == 40
        ledger.free_missing([], requested_s=6.0)
        assert ledger.free_blocks == 100

    def test_sweep_never_frees_owned_holds(self, ledger):
        ledger.hold("one", 10, 0.0)
        ledger.hold_export("kept", 5, 0.0, 30.0)
        listed = [EngineStream(name, "run", 10) for name in ("one", "kept", "orphan")]
        assert [s.stream_id for s in ledger.find_orphans(listed, 1.0)] == ["orphan"]
        ledger.free_missing([], 1.0)
        assert ledger.held_blocks == 15
        assert [s.stream_id for s in ledger.find_orphans(listed, 31.0)] == ["kept", "orphan"]

    def test_new_engine_incarnation_drops_holds_of_the_old_one(self, ledger):
        ledger.hold("old", 10, 1.0)
        ledger.hold("new", 10, 3.0)
        assert ledger.drop_held_before(2.0) == ["old"]
        assert ledger.held_blocks == 10
