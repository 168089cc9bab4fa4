"""Prompts of many parts of which one crashes servers, and the entry that has to judge them."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.store import AnswerLost
from sassafrastally.testing.soak.callers import STRIDE, Caller
from sassafrastally.testing.soak.harmful import MAX_PARTS_AT_ONCE, PART_NAME
from sassafrastally.testing.soak.record import Attempt, Kind
from sassafrastally.testing.soak.troubles import some_entries, trouble

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import SoakFleet

MANY_PARTS = "many-parts"

PARTS = 900
"""Parts of a prompt; its header takes 12 KB of the usual 16 KB."""

REQUESTS = (4, 8)
PAUSE_S = 0.3
"""Requests with these parts, and the pause between two of them."""

WATCHED_S = 8.0
"""How long is looked whether entries answer."""

EVENTS = 5
PROMPT_TOKENS = 5000

READY_LIMIT_S = 4.0
READY_S = 1.0
"""Time within which an entry that runs answers whether it is ready. The operator asks each second,
and takes a machine out after two questions without an answer."""

READY_PAUSE_S = 0.2

LATE_S = 0.7
"""How much later than its limit an answer may come; the machine of a soak is busy."""

PLAIN = (Kind.LOOK, Kind.BOOK)
"""Kinds that no engine serves, so that no crash of an engine breaks them off."""


class Asked(NamedTuple):
    """A question to an entry, and when it was asked and answered."""

    entry: int
    question: str
    begin_s: float
    end_s: float


class ManyPartsCaller(Caller):
    """A caller whose prompts have many parts.

    Parameters
    ----------
    fleet
        The fleet.
    parts
        IDs of the parts that its prompts share.
    """

    def __init__(self, fleet: SoakFleet, parts: tuple[str, ...]) -> None:
        super().__init__(fleet)
        self._parts = parts

    def _attempt(self, kind: Kind, content: str, harmful_part: str) -> tuple[Attempt, str | None]:
        attempt, _ = super()._attempt(kind, content, harmful_part)
        attempt.common_parts, attempt.events = self._parts, EVENTS
        return attempt, f"{PROMPT_TOKENS},{EVENTS * STRIDE}"


@trouble(MANY_PARTS)
async def send_many_parts(fleet: SoakFleet) -> None:
    """Let an entry get prompts of many parts, of which one crashes each server that answers it."""
    if fleet.record.count_active(PART_NAME) >= MAX_PARTS_AT_ONCE:
        return
    (number,) = some_entries(fleet, 0.0)
    part = f"bad{fleet.random.getrandbits(48):012x}"
    first = fleet.random.getrandbits(31)
    parts = tuple(f"{first + place:08x}" for place in range(PARTS))
    fleet.harmful_parts.add(part)
    with fleet.record.trouble(PART_NAME), fleet.record.trouble(MANY_PARTS, []):
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + WATCHED_S
            for watched in fleet.entries:
                nursery.start_soon(_watch_ready, fleet, watched)
            for _ in range(fleet.random.randint(*REQUESTS)):
                call = partial(ManyPartsCaller(fleet, parts).call, harmful_part=part)
                nursery.start_soon(call, Kind.NOTE, number)
                await trio.sleep(PAUSE_S)


async def _watch_ready(fleet: SoakFleet, number: int) -> None:
    """Ask an entry whether it is ready, again and again, and judge how long it takes to answer."""
    calls = CallClient(fleet.entries[number].readiness_address)
    while True:
        begin_s = trio.current_time()
        with suppress(AnswerLost):  # Judged by the time that it took.
            await calls.exchange("GET", "/readyz", [], b"", READY_LIMIT_S)
        asked = Asked(number, "whether it is ready", begin_s, trio.current_time())
        _judge_time(fleet, asked, READY_S)
        await trio.sleep(READY_PAUSE_S)


def judge_many_parts(fleet: SoakFleet, attempt: Attempt) -> None:
    """Judge the time of a request that no engine serves, beside prompts of many parts."""
    if attempt.kind not in PLAIN or attempt.has_left:
        return
    assert attempt.ended_s is not None
    name = f"{attempt.kind.value} {attempt.attempt_id}"
    asked = Asked(attempt.entry, name, attempt.sent_s, attempt.ended_s)
    _judge_time(fleet, asked, attempt.time_left_s + LATE_S)


def _judge_time(fleet: SoakFleet, asked: Asked, most_s: float) -> None:
    """Judge how long an entry took that nothing else harmed.

    The time in which it was ready to run without a processor isn't counted, nor that in which this
    process was late to notice.
    """
    record, scheduling = fleet.record, fleet.scheduling
    took_s = asked.end_s - asked.begin_s
    lost_s = record.own_lag_s(asked.begin_s, asked.end_s)
    lost_s += scheduling.waited_s(asked.entry, asked.begin_s, asked.end_s)
    if took_s - lost_s <= most_s or MANY_PARTS not in record.names_during(
        asked.begin_s, asked.end_s
    ):
        return
    others = (MANY_PARTS, PART_NAME)
    if record.is_calm(asked.entry, asked.begin_s, asked.end_s, but_for=others):
        seen = scheduling.describe(asked.entry, asked.begin_s, asked.end_s)
        record.note_broken(
            "no entry stands still over prompts of many parts",
            f"entry {asked.entry}, {asked.question}: {took_s:.2f} s, at most {most_s:.1f}; {seen}",
        )
