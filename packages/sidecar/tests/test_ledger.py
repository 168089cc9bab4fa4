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
    def test_holds_no_more_than_there_is(self, ledger):
        assert ledger.hold("one", 60, 0.0)
        assert not ledger.hold("two", 41, 0.0)
        assert not ledger.hold("one", 1, 0.0)
        ledger.free("one")
        ledger.free("one")
        assert ledger.free_blocks == 100

    def test_cut_run_counts_until_the_engine_no_longer_lists_it(self, ledger):
        ledger.hold("one", 60, 0.0)
        ledger.disown("one", 5.0)
        ledger.settle_missing([EngineStream("one", "run", 60)], asked_s=6.0)
        assert ledger.free_blocks == 40
        ledger.settle_missing([], asked_s=4.0)
        assert ledger.free_blocks == 40
        ledger.settle_missing([], asked_s=6.0)
        assert ledger.free_blocks == 100

    def test_sweep_never_takes_what_has_an_owner(self, ledger):
        ledger.hold("one", 10, 0.0)
        ledger.hold_export("kept", 5, 0.0, 30.0)
        listed = [EngineStream(name, "run", 10) for name in ("one", "kept", "old-life")]
        assert [s.stream_id for s in ledger.without_owner(listed, 1.0)] == ["old-life"]
        ledger.settle_missing([], 1.0)
        assert ledger.held_blocks == 15
        assert [s.stream_id for s in ledger.without_owner(listed, 31.0)] == ["kept", "old-life"]

    def test_new_engine_life_empties_what_was_certainly_on_the_old(self, ledger):
        ledger.hold("old", 10, 1.0)
        ledger.hold("new", 10, 3.0)
        assert ledger.empty_before(2.0) == ["old"]
        assert ledger.held_blocks == 10
