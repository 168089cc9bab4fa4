"""A request whose answer is passed on as a whole: plain services, and streams without an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.answerer import SERVER_ERROR, Answerer
from sassafrastally.proxy.attempt import AttemptNotRun, AttemptUnknown
from sassafrastally.proxy.load import Flight, Lane
from sassafrastally.proxy.log_events import RequestAnswered
from sassafrastally.proxy.metrics import count_answer
from sassafrastally.proxy.plain_placement import place_plain
from sassafrastally.proxy.refusals import MAY_HAVE_RUN, NO_SERVER, TURNED_AWAY
from sassafrastally.proxy.task import Stopped

if TYPE_CHECKING:
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.model import BackendServer

FIRST_TRY_SHARE = 0.45
"""Share of the time left that an attempt gets while another one may follow. A server that hangs
then leaves enough for a second whole try."""


class WholeAnswer(NamedTuple):
    """A backend server's answer with its body."""

    status: int
    headers: Headers
    body: bytes
    server_id: str


class PlainRequest(Answerer):
    """Answers one request by a plain service."""

    async def run(self) -> Stopped | None:
        """Answer the request; return why it wasn't answered."""
        failed: WholeAnswer | None = None
        while True:
            if (quarantined := self._quarantined()) is not None and failed is None:
                return quarantined
            server = None if quarantined else self._choose()
            if server is None:
                break
            answer = await self._try(server)
            if answer is not None and not self._is_worth_another(answer):
                await self._pass_on(answer)
                return None
            failed = answer or failed
            if not self._has_others() or not self._may_try_again():
                break
        if failed is not None:
            await self._pass_on(failed)
            return None
        return self._stopped()

    def _stopped(self) -> Stopped:
        if self.progress.may_have_run:
            return Stopped(MAY_HAVE_RUN, "no whole answer came")
        if self.progress.attempts == 0:
            return self._not_run(NO_SERVER, f"service {self._task.service}")
        return self._not_run(TURNED_AWAY, f"{self.progress.attempts} attempts")

    def _choose(self) -> BackendServer | None:
        views = self._services.sight.views(self._task.service, self.progress.tried)
        if self._is_suspect():
            views = self._dealt(views)
        return place_plain(views, self._services.kernel.data_centre)

    def _has_others(self) -> bool:
        return bool(self._services.sight.views(self._task.service, self.progress.tried))

    def _is_worth_another(self, answer: WholeAnswer) -> bool:
        return answer.status >= SERVER_ERROR and self._task.route.is_repeatable

    async def _try(self, server: BackendServer) -> WholeAnswer | None:
        """Make one attempt; return the answer, ``None`` when none came."""
        self._begin_attempt(server)
        begin_s = self._clock.now_s()
        self._log_placed(server)
        flight = Flight(server.life_id, Lane.PLAIN, is_suspect=self._is_suspect())
        self._services.sight.ledger.add(flight, begin_s)
        try:
            with trio.move_on_at(self._attempt_end_s(begin_s)):
                answer = await self._exchange(server, begin_s)
                self._services.sight.note_success(server.life_id)
                self._note_harmless(answer.status)
                return answer
            await self._note_unknown(server, begin_s, "no answer in its share of the time")
        except AttemptNotRun as cause:
            self._note_not_run(server, begin_s, cause)
        except AttemptUnknown as cause:
            await self._note_unknown(server, begin_s, cause)
        finally:
            self._services.sight.ledger.remove(flight, self._clock.now_s())
        return None

    def _attempt_end_s(self, begin_s: float) -> float:
        deadline_s = self._task.deadline_s
        if not self._can_go_elsewhere():
            return deadline_s + 1.0  # The limit of the whole request ends it.
        return begin_s + FIRST_TRY_SHARE * (deadline_s - begin_s)

    async def _exchange(self, server: BackendServer, begin_s: float) -> WholeAnswer:
        task = self._task
        terms = self._terms(server, begin_s, task.request.facts.last_event_id)
        may_reuse = task.route.is_repeatable
        async with self._services.attempts.send(task.request, terms, may_reuse=may_reuse) as answer:
            body = await answer.read()
            return WholeAnswer(answer.status, answer.headers, body, server.server_id)

    async def _pass_on(self, answer: WholeAnswer) -> None:
        task = self._task
        elapsed_s = self._clock.now_s() - task.request.arrived_s
        await self._reply.whole(
            answer.status, self._services.dialect.answer_headers(answer.headers), answer.body
        )
        count_answer(Lane.PLAIN, elapsed_s, 0.0, elapsed_s)
        self._emit(
            RequestAnswered(
                self._request_id,
                task.route.name,
                answer.server_id,
                answer.status,
                self.progress.attempts,
                round(elapsed_s, 4),
                round(elapsed_s, 4),
                0.0,
            )
        )
