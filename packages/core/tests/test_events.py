"""Tests of the event catalogue and the ring buffer."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from sassafrastally.core import CATALOGUE, Clock, EventLog, Incarnation, event
from sassafrastally.core.events import MAX_TEXT_CHARS


@event(9901)
class Sampled(NamedTuple):
    """An event for these tests."""

    request_id: str


class TestEventLog:
    """`EventLog`."""

    async def test_full_ring_drops_the_oldest_and_counts_it(self):
        log = EventLog("vm-1", Incarnation("i"), Clock(), capacity=2)
        for request_id in ("a", "b", "c"):
            log.emit(Sampled(request_id))
        assert [record["fields"]["request_id"] for record in log.records()] == ["b", "c"]
        assert log.dropped == 1

    async def test_records_are_filtered_by_field(self):
        log = EventLog("vm-1", Incarnation("i"), Clock())
        log.emit(Sampled("a"))
        log.emit(Sampled("b"))
        assert [record["number"] for record in log.records({"request_id": "b"})] == [9901]

    async def test_long_texts_are_cut_off(self):
        """Guards against a process that keeps thousands of long texts of others, such as messages
        of a megabyte with which an engine fails each run."""
        log = EventLog("vm-1", Incarnation("i"), Clock())
        log.emit(Sampled("x" * 1_000_000))
        text = log.records()[0]["fields"]["request_id"]
        assert text == "x" * MAX_TEXT_CHARS + " (1000000 characters)"


class TestCatalogue:
    """`event`."""

    def test_number_is_registered_once(self):
        assert CATALOGUE[9901].meaning == "An event for these tests."
        with pytest.raises(ValueError, match="taken by Sampled"):
            event(9901)(Sampled)
