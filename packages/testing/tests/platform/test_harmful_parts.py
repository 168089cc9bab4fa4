"""Quarantine of prompt parts that crash backend servers, with sound requests beside them."""

from __future__ import annotations

import json
from functools import partial

import pytest
import trio

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.fingerprint import Subjects, part_key
from sassafrastally.proxy.part_causes import CRASHES_FOR_VERDICT
from sassafrastally.proxy.quarantine import TRIAL_AFTER_S
from sassafrastally.proxy.quarantine_service import QuarantineService
from sassafrastally.proxy.refusals import MAY_HAVE_RUN, NO_ANSWER_IN_TIME
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.harmful_fleet import HARMFUL_PART as PART
from sassafrastally.testing.harmful_fleet import (
    alive,
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


class TestCircumstances:
    """Harmful parts beside other troubles."""

    async def run(self, fleet, *, entries: int = 3, engines: int = 8, count: int = 16) -> Callers:
        """Send harmful streams with sound ones beside them; return the callers."""
        fleet.harmful_parts.add(PART)
        fleet.crash_delay_s = 0.08
        await start_fleet(fleet, entries, engines)
        callers = Callers(fleet, entries)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.ask_sound, 10 * engines, 0.1)
            await trio.sleep(1.5)
            nursery.start_soon(callers.ask_harmful, count, 0.3)
        return callers

    def assert_sound_are_served(self, callers: Callers, after_s: float) -> None:
        """Check that sound requests are served from some time after the first one on."""
        begin_s = callers.sound[0][0]
        late = [status for at_s, status in callers.sound if at_s > begin_s + after_s]
        assert late.count(200) >= 0.9 * len(late)

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_two_causes_at_once(self, autojump_clock, seeded_fleet):
        """Guards against taking two parts with a common first part for one cause."""
        fleet = seeded_fleet
        fleet.harmful_parts |= {PART, "bad1"}
        fleet.crash_delay_s = 0.08
        await start_fleet(fleet, engines=10)
        callers = Callers(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.ask_sound, 80, 0.1)
            await trio.sleep(1.5)
            for part in (PART, "bad1"):
                nursery.start_soon(callers.ask_harmful, 12, 0.3, "/note/x", 1, part)
        for part in (PART, "bad1"):
            assert len(crash_times_s(fleet, part)) <= FREE_CRASHES + 2
            assert_few_sends(fleet, part)
        self.assert_sound_are_served(callers, 6.0)

    @pytest.mark.parametrize("seed", [1])
    async def test_twelve_entries(self, autojump_clock, seeded_fleet):
        """Guards against a verdict that is found only where the crashes were seen."""
        fleet = seeded_fleet
        callers = await self.run(fleet, entries=12, engines=14)
        assert len(crash_times_s(fleet)) <= FREE_CRASHES + 1
        assert_few_sends(fleet)
        self.assert_sound_are_served(callers, 5.0)

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_crashes_behind_a_supervisor(self, autojump_clock, seeded_fleet):
        """Guards against missing crashes of servers whose ports still accept connections."""
        fleet = seeded_fleet
        fleet.drops_after_crash_s = 2.0
        callers = await self.run(fleet)
        assert_few_sends(fleet)
        self.assert_sound_are_served(callers, 6.0)

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_many_at_once(self, autojump_clock, seeded_fleet):
        """Guards against running what waits for a slot when the verdict comes."""
        fleet = seeded_fleet
        fleet.harmful_parts.add(PART)
        fleet.crash_delay_s = 0.08
        await start_fleet(fleet, engines=10)
        callers = Callers(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.ask_sound, 60, 0.1)
            await trio.sleep(1.5)
            for _ in range(6):
                nursery.start_soon(callers.ask_harmful, 4, 0.1)
        assert_few_sends(fleet)
        self.assert_sound_are_served(callers, 5.0)

    @pytest.mark.parametrize("seed", [1])
    async def test_entries_that_all_restart_know_the_part(self, autojump_clock, seeded_fleet):
        """Guards against losing verdicts on parts when all entries are killed at once."""
        fleet = seeded_fleet
        await self.run(fleet, entries=2, count=6)
        await wait_until(lambda: "quarantine/" in " ".join(fleet.store.keys()), 8.0)
        for number in (1, 2):
            fleet.kill_entry(number)
        await trio.sleep(0.05)
        before = len(arrivals_with_part(fleet))
        for number in (1, 2):
            await fleet.add_entry(number)
            body, parts = harmful_prompt(1000 + number)
            answer = await fleet.call(
                "/note/x", entry=number, body=body, prompt="1000,340", parts=parts
            )
            assert answer.status == 503
            assert f"prompt part {PART}" in json.loads(answer.body)["detail"]
        assert len(arrivals_with_part(fleet)) == before

    @pytest.mark.parametrize("seed", [1])
    async def test_part_that_is_sound_after_all_is_tried(self, autojump_clock, seeded_fleet):
        """Guards against refusing a part for minutes whose servers crashed for another reason."""
        fleet = seeded_fleet
        await self.run(fleet, count=6)
        crashed = len(fleet.crashed)
        fleet.harmful_parts.clear()
        await trio.sleep(TRIAL_AFTER_S)
        for number in range(100, 106):
            body, parts = harmful_prompt(number)
            answer = await fleet.call(
                "/note/x", entry=1 + number % 3, body=body, prompt="1000,1360", parts=parts
            )
        assert answer.status == 200
        assert len(fleet.crashed) == crashed

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_rack_that_falls_without_a_cause(self, autojump_clock, seeded_fleet):
        """Guards against blaming the first part that all requests of a route share."""
        fleet = seeded_fleet
        await start_fleet(fleet, engines=8)
        callers = Callers(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.ask_sound, 100, 0.05)
            await trio.sleep(2.0)
            for replica in [one for one in alive(fleet) if one.service == "engines"][:5]:
                replica.crash()
        assert len(fleet.crashed) == 5
        events = {one["name"] for kernel in fleet.kernels for one in kernel.events.records()}
        assert "ServerCrashed" in events
        assert "PromptPartQuarantined" not in events
        self.assert_sound_are_served(callers, 4.0)


class TestInFlight:
    """Plain requests that wait for their server when a part of their prompt is quarantined."""

    @pytest.mark.parametrize("seed", [1])
    @pytest.mark.parametrize("path", ["/look/x", "/book/x"], ids=["repeatable", "once"])
    async def test_waiting_request_is_called_back_if_it_may_be_repeated(
        self, autojump_clock, seeded_fleet, path
    ):
        """Guards against running what waits in a server's queue when the verdict comes, and against
        breaking off what mustn't run twice."""
        fleet = seeded_fleet
        waiting_desk = await fleet.add_replica("desk-1", "desk")
        waiting_desk.is_unresponsive = True
        kernel = await fleet.add_entry()
        quarantine = kernel.get("quarantine", QuarantineService)
        servers = kernel.get("beliefs", ClusterState).servers
        await wait_until(lambda: bool(servers.known()))
        (server,) = servers.known()
        answers = []
        async with trio.open_nursery() as nursery:

            async def ask() -> None:
                answers.append(await fleet.call(path, parts=f"a0,{PART},f0"))

            nursery.start_soon(ask)
            await wait_until(lambda: waiting_desk.received_requests)
            for number in range(CRASHES_FOR_VERDICT):
                crashed = server._replace(server_id=f"desk-{2 + number}")
                subjects = Subjects(2 + number, (part_key(PART),))
                quarantine.record_crash(subjects, crashed)
                await trio.sleep(0.2)
            assert bool(answers) == (path == "/look/x")
        assert [answer.status for answer in answers] == [
            MAY_HAVE_RUN.status if path == "/look/x" else NO_ANSWER_IN_TIME.status
        ]
