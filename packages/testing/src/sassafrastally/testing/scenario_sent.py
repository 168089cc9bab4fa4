"""One request of a scenario: what its caller asked and what came back."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sassafrastally.entry.claiming import covering_unread_key
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.request import (
    COMPLETIONS,
    CallOptions,
    read_completion,
    read_service_call,
)
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.engine_prompt import CHARACTERS_PER_TOKEN, answer_text, parse_prompt

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.control.bundle import Bundle
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.testing.deployment import Node

MODEL = "reader"
SERVICE = "bookings"
TIME_LIMIT_S = 30.0


class Option(NamedTuple):
    """One option of a request, by its field of `Asked`."""

    name: str
    value: Any


class Asked(NamedTuple):
    """What a caller asks."""

    marker: str
    """Name under which the backend servers count its executions."""
    service: str = ""
    """Name of a plain service; empty for the model."""
    prompt_tokens: int = 100
    answer_tokens: int = 16
    is_streamed: bool = False
    is_idempotent: bool = True
    key: str = ""
    time_limit_s: float = TIME_LIMIT_S

    def body(self) -> bytes:
        """Return the HTTP body; it is the same each time that the request is sent."""
        if self.service:
            return json.dumps({"marker": self.marker}).encode()
        size = self.prompt_tokens * CHARACTERS_PER_TOKEN
        text = f"{self.marker}: ".ljust(size, ".")
        fields = {
            "model": MODEL,
            "prompt": text,
            "max_tokens": self.answer_tokens,
            "stream": self.is_streamed,
            "marker": self.marker,
        }
        return json.dumps(fields).encode()

    @property
    def may_repeat(self) -> bool:
        """Whether the system may run it more than once; its services' calls never."""
        return self.is_idempotent and not self.service

    def own_answer(self) -> str:
        """Return the whole answer that the backend server gives to this request alone."""
        body = self.body()
        if self.service:
            return json.dumps({"marker": self.marker, "echo": body.decode()})
        return answer_text(parse_prompt(body).seed, 0, self.answer_tokens)

    def read(self, bundle: Bundle) -> CallerRequest:
        """Return the checked request, as the HTTP interface would."""
        customer = bundle.customers[0]
        options = CallOptions(self.time_limit_s, self.is_idempotent, self.key)
        now_s = trio.current_time()
        if not self.service:
            return read_completion(self.body(), COMPLETIONS, options, customer, bundle, now_s)
        return read_service_call(
            self.body(), "POST", "/book", options, customer, bundle.services[0], now_s
        )


class Sent:
    """A request on its way or answered.

    Parameters
    ----------
    asked
        What was asked.
    node
        The entry that it was sent to.
    count
        Returns how often requests of its body have run.
    """

    def __init__(self, asked: Asked, node: Node, count: Callable[[], int]) -> None:
        self.asked = asked
        self.ran_when_told = 0
        """How often requests of its body had run when the caller got its answer or refusal."""
        self.started_s = trio.current_time()
        self.ended_s = 0.0
        self.outcome: Outcome | None = None
        """What the caller was told; ``None`` when its connection ended first."""
        self.code = ""
        """Code of the refusal."""
        self.detail = ""
        self.first_data = trio.Event()
        self.over = trio.Event()
        self._data: list[bytes] = []
        self._node = node
        self._count = count
        self._request: CallerRequest | None = None
        self._scope = trio.CancelScope()
        self._request_id = ""

    async def run(self) -> None:
        """Send it and wait for what comes back."""
        path = self._node.kernel.get("path", RequestPath)
        with self._node.call() as self._scope:
            # Nothing of it reaches a process that has ended.
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                with covering_unread_key(self.asked.key):  # As the HTTP interface does.
                    in_force = path.bundle()
                self._request = self.asked.read(in_force.bundle)
                async with path.open(self._request) as answer:
                    async for data in answer:
                        self._data.append(data)
                        self.first_data.set()
                self.outcome = Outcome.COMPLETED
            except Refusal as refusal:
                self.outcome, self.code = refusal.outcome, refusal.kind.code
                self.detail = refusal.figures.detail
        self.ended_s = trio.current_time()
        self.ran_when_told = self._count()
        self.over.set()

    def leave(self) -> None:
        """Let the caller go away."""
        self._scope.cancel()

    @property
    def is_over(self) -> bool:
        """Whether the caller has its answer or refusal, or its connection has ended."""
        return self.over.is_set()

    @property
    def request_id(self) -> str:
        """Name of the request in the system; empty before it was opened."""
        if not self._request_id:
            # The path names a request before its answer begins, and tells nobody until then.
            for request_id, item in self._node.kernel.get("path", RequestPath)._open.items():
                if item.request is self._request:
                    self._request_id = request_id
        return self._request_id

    @property
    def text(self) -> str:
        """The answer as its reader sees it."""
        data = b"".join(self._data).decode()
        if self.asked.service or not data:
            return data
        if not self.asked.is_streamed:
            return str(json.loads(data)["choices"][0]["text"])
        events = [event.removeprefix("data: ") for event in data.split("\n\n") if event]
        return "".join(json.loads(event)["choices"][0]["text"] for event in events)

    @property
    def verdict(self) -> str:
        """What came of it, in words."""
        if not self.is_over:
            return "still open"
        told = self.outcome or "connection lost"
        return f"{told} {self.code} {self.detail}".strip()
