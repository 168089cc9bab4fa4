"""The soak's checks of heads that break off, and of entries short of CPU time."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

import pytest
import trio

from sassafrastally.testing.soak import breaking, starving
from sassafrastally.testing.soak.promises import SEVERAL, Judge
from sassafrastally.testing.soak.proxying import CutHead, LoopbackProxy
from sassafrastally.testing.soak.record import Attempt, HarmedSpan, Kind, Record

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: 1f\r\nContent-Length: 2\r\n\r\n"


def make_fleet(successes: int = 0) -> SimpleNamespace:
    """Return a fleet with one server that broke off the heads of some successes."""
    proxy = SimpleNamespace(cut_successes=Counter({"1f": successes}))
    return SimpleNamespace(record=Record(), servers=[SimpleNamespace(proxy=proxy)])


class TestCutHead:
    """Heads that a proxy ends before their end."""

    @pytest.mark.parametrize("share", [0.0, 0.5, 0.999])
    @pytest.mark.parametrize("is_reset", [False, True])
    async def test_passes_a_part_and_ends(self, nursery, share, is_reset):
        """Guards against a trouble that harms nothing."""

        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(HEAD + b"{}")

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        target = SimpleNamespace(host="127.0.0.1", port=listener.socket.getsockname()[1])
        proxy = LoopbackProxy(target)
        proxy.cut_head = CutHead(share, 0.0, is_reset)
        stream = await trio.open_tcp_stream("127.0.0.1", await proxy.start("127.0.0.1", 0, nursery))
        await stream.send_all(b"request")
        received = b""
        try:
            while data := await stream.receive_some():
                received += data
        except trio.BrokenResourceError:
            assert is_reset
        assert received == HEAD[: len(received)]
        assert len(received) < len(HEAD)
        assert received or is_reset
        assert proxy.cut_successes == {"1f": 1}

    @pytest.mark.parametrize(
        ("status", "runs", "cut", "is_broken"),
        [(200, 1, 1, True), (200, 2, 1, False), (200, 1, 0, False), (502, 1, 1, False)],
    )
    async def test_only_a_success_without_a_whole_head_breaks_the_promise(
        self, status, runs, cut, is_broken
    ):
        """Guards against a check that finds nothing, or blames an answer of another server."""
        fleet, attempt = make_fleet(cut), Attempt("1f", Kind.LOOK, 1, 0)
        attempt.status = status
        breaking.judge_cut_heads(fleet, attempt, [SimpleNamespace(has_run=True)] * runs)
        assert bool(fleet.record.broken) is is_broken


class TestStarving:
    """Requests that end without an answer at an entry short of CPU time."""

    @pytest.mark.parametrize(
        ("took_s", "status", "is_sent", "lag_s", "is_broken"),
        [
            (0.25, 0, True, 0.0, True),
            (0.15, 0, True, 0.0, False),
            (0.25, 503, True, 0.0, False),
            (0.25, 0, False, 0.0, False),
            (0.25, 0, True, 0.1, False),
            (0.35, 0, True, 0.1, True),
        ],
    )
    async def test_only_a_whole_request_cut_late_breaks_the_promise(
        self, autojump_clock, took_s, status, is_sent, lag_s, is_broken
    ):
        """Guards against a check that finds nothing, or blames an entry for a part of a request or
        for the delay of the soak itself."""
        fleet = make_fleet()
        with fleet.record.trouble(starving.STARVED, [1]):
            attempt = Attempt("1f", Kind.NOTE, 1, 3)
            attempt.is_direct, attempt.is_sent, attempt.status = True, is_sent, status
            await trio.sleep(took_s)
        attempt.ended_s = trio.current_time()
        fleet.record.lags.append(HarmedSpan("", attempt.ended_s - lag_s, attempt.ended_s))
        starving.judge_starving(fleet, attempt)
        assert bool(fleet.record.broken) is is_broken


class TestGone:
    """Requests that reach a server after their caller has left."""

    @pytest.mark.parametrize("is_calm", [False, True])
    async def test_only_a_calm_entry_breaks_the_promise(self, autojump_clock, is_calm):
        """Guards against blaming an entry that didn't run when its callers left."""
        autojump_clock.jump(10.0)
        fleet, arrivals = make_fleet(), {}
        with fleet.record.trouble("entry-paused", [2 if is_calm else 1]):
            for number in range(SEVERAL + 1):
                attempt = Attempt(f"{number}", Kind.NOTE, 1, 3)
                attempt.has_left, attempt.ended_s = True, trio.current_time()
                fleet.record.attempts[attempt.attempt_id] = attempt
                late_s = trio.current_time() + 1.0
                arrivals[attempt.attempt_id] = [SimpleNamespace(at_s=late_s, finished_s=None)]
            await trio.sleep(2.0)
        Judge(fleet)._judge_gone(arrivals)
        assert bool(fleet.record.broken) is is_calm
