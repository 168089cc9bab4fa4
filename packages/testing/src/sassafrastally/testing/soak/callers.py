"""Callers: they press, keep connections open, leave early, and come back as they are told."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.http_stream import ConnectionLost, HttpStream, connect
from sassafrastally.stand_ins.caller_requests import request_fields, send_request
from sassafrastally.testing.soak.record import TIME_LEFT_S, Attempt, Kind

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import SoakFleet

OLD_VERSION_OF = 20
"""One in so many requests is sent with HTTP/1.0."""

GIVES_UP_S = TIME_LEFT_S + 1.5
"""After this a caller closes its connection; an entry must have answered long before."""

THINK_S = 0.5
"""Mean pause of a caller between two requests at the usual load."""

CONNECT_TIME_S = 1.0

KEPT_SHARE = 0.7
"""Share of the requests that go on a connection that is open already."""

LEAVING_SHARE = 0.05
"""Share of the callers that leave before their answer is complete."""

STRIDE = 34
"""Tokens in an event, as the engines' figures say."""

PROMPT_TOKENS = {Kind.NOTE: (500, 12_000), Kind.DOSSIER: (40_000, 260_000)}
MOST_EVENTS = 24

MOST_BODY_BYTES = 1_000_000
"""Begin of an answer that a caller keeps; far more than any that ends."""

EARLY_RETRIES = 3
"""How often a caller that ignores Retry-After sends a refused request again."""


class Caller:
    """One caller, who sends one request after the other."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = fleet.random
        self._connection: HttpStream | None = None
        self._entry = 0
        self._latest: tuple[Attempt, str | None] | None = None
        """The latest attempt, with its token counts."""

    async def press(self) -> None:
        """Send requests until cancelled."""
        while True:
            await trio.sleep(self._random.expovariate(self._fleet.rate / THINK_S))
            weights = self._fleet.weights
            (kind,) = self._random.choices(list(weights), weights=list(weights.values()))
            retry_after_s = await self.call(kind)
            if retry_after_s is None:
                continue
            early_share = self._fleet.early_share
            if early_share and self._random.random() < early_share:
                await self._retry_early()
            else:
                await trio.sleep(retry_after_s)
                await self.call(kind)

    async def _retry_early(self) -> None:
        """Send the refused request again at once, each time on a new connection."""
        for _ in range(EARLY_RETRIES):
            await self.hang_up()
            if await self.call(repeats=True) is None:
                return

    async def call(
        self,
        kind: Kind = Kind.NOTE,
        entry: int | None = None,
        content: str = "",
        *,
        harmful_part: str = "",
        repeats: bool = False,
    ) -> float | None:
        """Send one request; return when to come back if it was turned away.

        Parameters
        ----------
        kind
            Its kind.
        entry
            Where it goes; any by default.
        content
            Body of a harmful request; by default, each request has a body of its own.
        harmful_part
            A part of its prompt that crashes servers, if any.
        repeats
            Whether the latest request is sent again, with the same content.
        """
        try:
            await self._connect(entry)
        except ConnectionLost:
            return None  # Nobody took the connection: no request, no promise.
        attempt, prompt = (
            self._repetition() if repeats else self._attempt(kind, content, harmful_part)
        )
        self._latest = attempt, prompt
        self._fleet.record.attempts[attempt.attempt_id] = attempt
        patience_s = GIVES_UP_S
        if self._random.random() < LEAVING_SHARE:
            patience_s = self._random.uniform(0.0, 1.0)
        with trio.move_on_after(patience_s) as scope:
            await self._exchange(attempt, prompt)
        attempt.ended_s = trio.current_time()
        attempt.has_left = scope.cancelled_caught and patience_s < GIVES_UP_S
        if not attempt.is_whole or attempt.headers.get("connection") == "close":
            await self.hang_up()
        elif self._connection is not None:
            self._connection.http.start_next_cycle()
        if attempt.status != 503:
            return None
        # A refusal has no delay if the caller's time is over.
        return float(attempt.headers.get("retry-after", "0"))

    async def hang_up(self) -> None:
        """Close the connection, if there is one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    async def _connect(self, entry: int | None) -> None:
        if self._connection is not None:
            is_usable = not self._connection.has_unread_input()
            if is_usable and entry is None and self._random.random() < KEPT_SHARE:
                return
            await self.hang_up()
        self._entry = entry or self._random.choice(self._fleet.ready_entries())
        stream = await connect(self._fleet.callers_address(self._entry), CONNECT_TIME_S)
        self._connection = HttpStream(stream, h11.CLIENT)

    def _attempt(self, kind: Kind, content: str, harmful_part: str) -> tuple[Attempt, str | None]:
        attempt_id = f"{self._random.getrandbits(64):016x}"
        make = partial(
            Attempt,
            content=content,
            customer=self._draw_customer(),
            is_harmful=bool(content or harmful_part),
            harmful_part=harmful_part,
            time_left_s=self._fleet.time_left_s,
        )
        if not kind.is_stream:
            return make(attempt_id, kind, self._entry, 0), None
        events = self._random.randint(1, MOST_EVENTS)
        prompt = f"{self._random.randint(*PROMPT_TOKENS[kind])},{events * STRIDE}"
        return make(attempt_id, kind, self._entry, events), prompt

    def _repetition(self) -> tuple[Attempt, str | None]:
        assert self._latest is not None
        latest, prompt = self._latest
        attempt_id = f"{self._random.getrandbits(64):016x}"
        content, customer = latest.content.decode(), latest.customer
        return (
            Attempt(attempt_id, latest.kind, self._entry, latest.events, content, customer),
            prompt,
        )

    def _draw_customer(self) -> str:
        customers = self._fleet.customers
        if len(customers) == 1:
            return next(iter(customers))
        return self._random.choices(list(customers), weights=list(customers.values()))[0]

    async def _exchange(self, attempt: Attempt, prompt: str | None) -> None:
        fields = request_fields(
            prompt=prompt,
            request_id=attempt.attempt_id,
            time_left_s=attempt.time_left_s,
            customer=attempt.customer,
            parts=attempt.parts,
        )
        # Decided by the id, since another draw would change what a seed does.
        is_old = int(attempt.attempt_id, 16) % OLD_VERSION_OF == 0
        version = "1.0" if is_old else "1.1"
        try:
            if await self._send(attempt, fields, version):
                await self._read(attempt)
        except (ConnectionLost, h11.RemoteProtocolError):
            return  # The attempt stays without a whole answer; the checks judge that.

    async def _send(self, attempt: Attempt, fields: dict[str, str], version: str) -> bool:
        """Send the request; return whether its response is still to be read."""
        assert self._connection is not None
        await send_request(
            self._connection, "POST", attempt.target, fields, attempt.content, version
        )
        return True

    async def _read(self, attempt: Attempt) -> None:
        assert self._connection is not None
        while True:
            event = await self._connection.receive()
            if isinstance(event, h11.Response):
                attempt.status = event.status_code
                attempt.headers = {n.decode(): v.decode("latin-1") for n, v in event.headers}
            elif isinstance(event, h11.Data):
                if len(attempt.body) < MOST_BODY_BYTES:
                    attempt.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                attempt.is_whole = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return
