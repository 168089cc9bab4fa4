"""Quarantine of prompt parts that crash backend servers, with sound requests beside them."""

from __future__ import annotations

from functools import partial

import pytest
import trio

from sassafrastally.testing.harmful_fleet import HARMFUL_PART as PART
from sassafrastally.testing.harmful_fleet import (
    arrivals_with_part,
    harmful_prompt,
    start_fleet,
)

FREE_CRASHES = 5
"""Servers that may crash before operators expect a verdict."""

SETTLED_S = 3.0
"""Time after the fifth crash from which operators count requests."""

FREE_SENDS = 3
"""Requests that may still be sent later."""


class Callers:
    """Callers of sound and harmful requests, no two of which are alike."""

    def __init__(self, fleet, entries: int = 3) -> None:
        self._fleet = fleet
        self._entries = entries
        self.sound: list[tuple[float, int]] = []
        """Time and status of each sound request's first attempt."""

    async def ask_sound(self, count: int, pause_s: float, path: str = "/note/x") -> None:
        """Send sound requests that share customer and first part with the harmful ones."""
        prompt = "1000,340" if path.startswith("/note") else None
        async with trio.open_nursery() as nursery:
            for number in range(count):
                call = partial(
                    self._fleet.call,
                    path,
                    entry=1 + number % self._entries,
                    body=f"sound {number}".encode(),
                    prompt=prompt,
                    parts=f"a{number % 3},e{number:x}",
                )
                nursery.start_soon(self._record, call)
                await trio.sleep(pause_s)

    async def _record(self, call) -> None:
        at_s = trio.current_time()
        answer = await call()
        self.sound.append((at_s, answer.status if answer.is_whole else 0))

    async def ask_harmful(
        self, count: int, pause_s: float, path: str = "/note/x", position: int = 1, part: str = PART
    ) -> None:
        """Send harmful requests; each is retried once at another entry."""
        prompt = "1000,340" if path.startswith("/note") else None
        for number in range(count):
            body, parts = harmful_prompt(number, position, part)
            for retry in range(2):
                entry = 1 + (number + retry) % self._entries
                await self._fleet.call(path, entry=entry, body=body, prompt=prompt, parts=parts)
            await trio.sleep(pause_s)


def crash_times_s(fleet, part: str = PART) -> list[float]:
    """Return when the servers that crashed under a part had got the request, in order."""
    first_s: dict[str, float] = {}
    for arrival in arrivals_with_part(fleet):
        if arrival.has_run and part in arrival.parts:
            server = arrival.request.headers["expect-replica"]
            first_s.setdefault(server, arrival.at_s)
    return sorted(first_s.values())


def assert_few_sends(fleet, part: str = PART) -> None:
    """Check how often requests with a part were sent on after the fifth crash, as operators do."""
    crashes_s = crash_times_s(fleet, part)
    if len(crashes_s) < FREE_CRASHES:
        return
    since_s = crashes_s[FREE_CRASHES - 1] + SETTLED_S
    late = [one for one in arrivals_with_part(fleet) if part in one.parts and one.at_s > since_s]
    assert len(late) <= FREE_SENDS


class TestHarmfulPart:
    """Requests that differ in everything but a part that crashes servers."""

    @pytest.mark.parametrize("seed", [1])
    @pytest.mark.parametrize("position", [0, 1, 2])
    @pytest.mark.parametrize("path", ["/note/x", "/look/x"], ids=["stream", "plain"])
    async def test_reaches_few_servers(self, autojump_clock, seeded_fleet, path, position):
        """Guards against the loss of a fleet to requests of which no two are alike."""
        fleet = seeded_fleet
        fleet.harmful_parts.add(PART)
        fleet.crash_delay_s = 0.08 if path == "/note/x" else 0.0
        await start_fleet(fleet, engines=8)
        callers = Callers(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.ask_sound, 60, 0.2, path)
            await trio.sleep(2.0)
            nursery.start_soon(callers.ask_harmful, 16, 0.5, path, position)
        assert len(crash_times_s(fleet)) <= FREE_CRASHES + 1
        assert_few_sends(fleet)
        late = [status for at_s, status in callers.sound if at_s > callers.sound[0][0] + 6.0]
        assert late.count(200) >= 0.9 * len(late)
