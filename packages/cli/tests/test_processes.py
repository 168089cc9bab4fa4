"""The whole path as real processes, ended and stopped by signals while they serve.

The tests share one fleet and use it up: what a test ends stays ended, unless a later one needs it.
"""

from __future__ import annotations

import json
import signal
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx
import pytest

from sassafrastally.testing.engine_prompt import answer_text, parse_prompt
from sassafrastally.testing.process_fleet import ProcessFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).parents[3] / "examples"
DAEMONS = ("reader-1", "reader-2", "crossings-1", "entry-1", "entry-2")
ENTRY_PORTS = {"entry-1": 8001, "entry-2": 8002}
ADMIN_PORTS = {"entry-1": 8101, "entry-2": 8102}
ENGINE_PORTS = {"reader-1": 9101, "reader-2": 9102}
LONG_TOKENS = 160
"""About a second of the stand-in's decoding."""
HEADERS = {"Authorization": "Bearer counter-key"}


class Fleet(ProcessFleet):
    """The fleet with a caller."""

    def url(self, entry: str, path: str) -> str:
        return f"http://{self.address(ENTRY_PORTS[entry])}{path}"

    def is_ready(self, entry: str) -> bool:
        """Whether an entry answers by both readers' engines and knows the plain service."""
        body = {"model": "parcel-reader", "prompt": "ready?", "max_tokens": 1}
        try:
            answer = httpx.post(
                self.url(entry, "/v1/completions"), json=body, headers=HEADERS, timeout=5.0
            )
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    def started(self, marker: str) -> dict[str, int]:
        """Return how often each engine began a request, by its own count."""
        counts = {}
        for vm, port in ENGINE_PORTS.items():
            answer = httpx.get(f"http://{self.address(port)}/extension/counts")
            counts[vm] = answer.json()["started"].get(marker, 0)
        return counts

    def server_of(self, marker: str) -> str:
        """Return the sidecar whose engine runs a request."""
        ran = self.wait(lambda: [vm for vm, n in self.started(marker).items() if n], marker)
        return ran[0]

    def free_blocks(self) -> list[int]:
        answers = [
            httpx.get(f"http://{self.address(port)}/extension/counts")
            for port in ENGINE_PORTS.values()
        ]
        return [answer.json()["free_blocks"] for answer in answers]

    def restart(self, vm: str) -> None:
        self.start(vm)
        for entry in ENTRY_PORTS:
            self.wait(lambda entry=entry: self.is_ready(entry), f"{entry} is ready")
            # A link to the sidecar that came back: both engines serve this entry again.
            self.wait(lambda entry=entry: self.serves_everywhere(entry), f"all serve {entry}")

    def serves_everywhere(self, entry: str = "entry-1") -> bool:
        """Whether every process answers an entry."""
        answer = httpx.get(
            f"http://{self.address(ADMIN_PORTS[entry])}/admin/status",
            headers={"Authorization": "Bearer operator-token"},
            timeout=10.0,
        )
        rows = answer.json()["processes"]
        return all(not row["problem"] for row in rows)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    made = Fleet(EXAMPLES, tmp_path_factory.mktemp("fleet"))
    try:
        made.start_stand_ins()
        for vm in DAEMONS:
            made.start(vm)
        made.roll_first_bundle()
        for entry in ENTRY_PORTS:
            made.wait(lambda entry=entry: made.is_ready(entry), f"{entry} is ready")
        yield made
    finally:
        made.end()


class Streamed:
    """A streamed answer that is read bit by bit."""

    def __init__(self, marker: str, answer: httpx.Response) -> None:
        self.marker = marker
        self.status = answer.status_code
        self._lines = answer.iter_lines()
        self._data: list[str] = []
        self.first = self._next()

    def rest(self) -> None:
        while self._next():
            pass

    def _next(self) -> str:
        for line in self._lines:
            if line.startswith("data: "):
                self._data.append(line.removeprefix("data: "))
                return line
        return ""

    @property
    def is_done(self) -> bool:
        return self._data[-1] == "[DONE]"

    @property
    def text(self) -> str:
        events = [json.loads(data) for data in self._data[:-1]]
        return "".join(event["choices"][0]["text"] for event in events)


def _body(marker: str) -> dict[str, Any]:
    return {
        "model": "parcel-reader",
        "prompt": f"{marker}: duty on twelve kilograms of chestnuts?",
        "max_tokens": LONG_TOKENS,
        "stream": True,
        "marker": marker,
    }


def _own_answer(marker: str) -> str:
    return answer_text(parse_prompt(json.dumps(_body(marker)).encode()).seed, 0, LONG_TOKENS)


@contextmanager
def _streaming(
    fleet: Fleet, marker: str, entry: str = "entry-1", headers: dict[str, str] | None = None
) -> Iterator[Streamed]:
    sent = {**HEADERS, **(headers or {})}
    url = fleet.url(entry, "/v1/completions")
    with httpx.stream("POST", url, json=_body(marker), headers=sent, timeout=30.0) as answer:
        assert answer.status_code == 200, answer.read()
        yield Streamed(marker, answer)


class TestProcesses:
    def test_stopped_and_continued_sidecar_runs_nothing_twice(self, fleet: Fleet) -> None:
        """A sidecar stands still while a duty declaration runs, and wakes up some time later.

        The other engine is idle all the while. The declaration may not be repeated: it ends whole
        after the sidecar woke up, or the caller is told the truth, but it runs once.
        """
        headers = {"Sassafrastally-Idempotent": "false"}
        with _streaming(fleet, "sigstop-sidecar", headers=headers) as answer:
            server = fleet.server_of(answer.marker)
            fleet.signal(server, signal.SIGSTOP)
            fleet.wait(lambda: not fleet.serves_everywhere(), "the entry misses the sidecar")
            # Requests are answered meanwhile, by the other engine.
            fleet.wait(lambda: fleet.is_ready("entry-2"), "the other entry serves on")
            fleet.signal(server, signal.SIGCONT)
            answer.rest()
        assert sum(fleet.started(answer.marker).values()) == 1
        assert not answer.is_done or answer.text == _own_answer(answer.marker)

    def test_sigterm_of_the_serving_sidecar_cuts_nothing_off(self, fleet: Fleet) -> None:
        """A backend server's VM goes away with notice while a clerk reads a long answer.

        The sidecar gets SIGTERM in the middle of the stream. It must take nothing new, finish the
        answer with its end, and only then exit, with code 0.
        """
        with _streaming(fleet, "sigterm-sidecar") as answer:
            server = fleet.server_of(answer.marker)
            fleet.signal(server, signal.SIGTERM)
            answer.rest()
        assert answer.is_done
        assert answer.text == _own_answer(answer.marker)
        assert sum(fleet.started(answer.marker).values()) == 1
        assert fleet.process(server).wait(15) == 0
        fleet.restart(server)

    def test_sigkill_of_the_serving_sidecar_goes_on_elsewhere(self, fleet: Fleet) -> None:
        """A backend server's VM loses power while a clerk reads a long answer.

        What was shown stays, the rest comes from another engine, and nothing is shown twice.
        """
        with _streaming(fleet, "sigkill-sidecar") as answer:
            server = fleet.server_of(answer.marker)
            fleet.signal(server, signal.SIGKILL)
            answer.rest()
        assert answer.is_done
        assert answer.text == _own_answer(answer.marker)
        assert fleet.started(answer.marker) == {"reader-1": 1, "reader-2": 1}

    def test_sigterm_of_the_entry_cuts_nothing_off(self, fleet: Fleet) -> None:
        """An entry's VM goes away with notice while a clerk reads a long answer through it.

        The entry gets SIGTERM in the middle of the stream; the answer must end whole before the
        process exits, with code 0.
        """
        with _streaming(fleet, "sigterm-entry", "entry-2") as answer:
            fleet.signal("entry-2", signal.SIGTERM)
            answer.rest()
        assert answer.is_done
        assert answer.text == _own_answer(answer.marker)
        assert fleet.process("entry-2").wait(15) == 0

    def test_no_engine_lost_memory(self, fleet: Fleet) -> None:
        """All the failures above leave every engine's memory free, once the sweep has run."""
        fleet.wait(lambda: set(fleet.free_blocks()) == {4096}, "all blocks are free")
