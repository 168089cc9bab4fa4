"""Links that are cut at the bytes of a request and its answer."""

from __future__ import annotations

import os
from functools import partial
from itertools import count

import pytest
import trio
from trio.testing import MockClock

from sassafrastally.core.logs import configure_logs
from sassafrastally.serving.outcome import Outcome
from sassafrastally.testing.scenario_sent import SERVICE, Asked, Sent
from sassafrastally.testing.scenario_stage import Stage
from sassafrastally.wire.peers import PeerService

STEP_BYTES = int(os.environ.get("SASSAFRASTALLY_CUT_STEP", "13"))
"""Distance of two cuts; a longer run by hand cuts at each byte."""

ENTRY = "entry-1"
SIDECARS = ("engine-1", "engine-2", "service-1")
ASKED = {
    "stream": Asked("", answer_tokens=3, is_streamed=True, time_limit_s=6.0),
    "document": Asked("", answer_tokens=3, time_limit_s=6.0),
    "keyed": Asked("", answer_tokens=3, is_idempotent=False, key="key", time_limit_s=6.0),
    "service": Asked("", service=SERVICE, is_idempotent=False, time_limit_s=6.0),
}


class Callers:
    """Sends requests one by one over links that are cut.

    Parameters
    ----------
    stage
        An entry with its sidecars.
    asked
        What each request asks.
    is_back_soon
        Whether the links can be made again during the request.
    """

    def __init__(self, stage: Stage, asked: Asked, *, is_back_soon: bool) -> None:
        self.stage = stage
        self.asked = asked
        self.is_back_soon = is_back_soon

    async def send(self, size_bytes: int) -> Sent | None:
        """Cut each link after so many bytes to the entry, every second time as by a close.

        Return the request; ``None`` if no link has been cut.
        """
        deployment, network = self.stage.deployment, self.stage.deployment.memory_network
        peers = deployment.node(ENTRY).kernel.get("peers", PeerService)
        while len(peers.links()) < len(SIDECARS):
            await trio.sleep(1.0)
        links = peers.links()
        addresses = [deployment.peer_address(vm) for vm in (*SIDECARS, ENTRY)]
        for address in addresses if not self.is_back_soon else ():
            network.refuse(address)
        for sidecar in SIDECARS:
            network.cut_after(sidecar, ENTRY, size_bytes, with_end=bool(size_bytes % 2))
        name = f"r{size_bytes}"
        key = self.asked.key and f"key-{name}"
        self.stage.send(name, self.asked._replace(marker=name, key=key), ENTRY)
        sent = self.stage.sent.pop(name)
        await sent.over.wait()
        is_cut = not all(link.is_up for link in links)
        for address in addresses:
            network.admit(address)
        return sent if is_cut else None


async def cut_links(asked: Asked, step_bytes: int, *, is_back_soon: bool) -> list[Sent]:
    """Return the requests for all cuts, up to the end of an answer."""
    configure_logs("critical")
    done: list[Sent] = []
    async with trio.open_nursery() as nursery:
        stage = Stage(nursery, seed=0)
        await stage.open(entries=1, engines=2, services=1, blocks=0)
        callers = Callers(stage, asked, is_back_soon=is_back_soon)
        for size_bytes in count(0, step_bytes):
            sent = await callers.send(size_bytes)
            if sent is None:
                break
            done.append(sent)
        nursery.cancel_scope.cancel()
    return done


def run(asked: Asked, step_bytes: int, *, is_back_soon: bool) -> list[Sent]:
    clock = MockClock(autojump_threshold=0)
    work = partial(cut_links, asked, step_bytes, is_back_soon=is_back_soon)
    return trio.run(work, clock=clock)


def check(sent: Sent) -> None:
    """Check that a request isn't complete without its whole answer, nor run unless it says so."""
    if sent.outcome is Outcome.COMPLETED:
        assert sent.text == sent.asked.own_answer(), sent.asked
    elif sent.outcome is Outcome.NOT_RUN:
        assert sent.ran_when_told == 0, sent.asked
    if not sent.asked.may_repeat:
        assert sent.ran_when_told <= 1, sent.asked


class TestCutLinks:
    @pytest.mark.parametrize("kind", ASKED)
    def test_answer_of_a_cut_link_is_whole_or_refused(self, kind: str) -> None:
        """Guards against an answer that is complete for its caller and lacks what a link lost."""
        done = run(ASKED[kind], STEP_BYTES, is_back_soon=True)
        assert len(done) > 500 // STEP_BYTES
        for sent in done:
            check(sent)
        assert any(sent.outcome is Outcome.COMPLETED for sent in done)

    @pytest.mark.parametrize("kind", ["stream", "service"])
    def test_answer_whose_sidecar_stays_away_is_refused(self, kind: str) -> None:
        """As above, while no link can be made again before the time limit."""
        done = run(ASKED[kind], 8 * STEP_BYTES, is_back_soon=False)
        for sent in done:
            check(sent)
        assert any(sent.outcome is not Outcome.COMPLETED for sent in done)
