"""The path of one request: routed, checked, and answered by a backend server or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.answer_services import AnswerServices
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.crashes import Crashes
from sassafrastally.proxy.fingerprint import fingerprint_text, request_fingerprint
from sassafrastally.proxy.generation import Generation
from sassafrastally.proxy.log_events import CallerLeft, RequestFailed, RequestRefused, StreamBroken
from sassafrastally.proxy.metrics import REFUSALS, REQUESTS
from sassafrastally.proxy.model import RouteKind
from sassafrastally.proxy.plain import PlainRequest
from sassafrastally.proxy.quarantining import Quarantining
from sassafrastally.proxy.reading_limits import KnownReadingLimits
from sassafrastally.proxy.refusals import (
    MAY_HAVE_RUN,
    NO_ANSWER_IN_TIME,
    NO_CONFIGURATION,
    NO_ROUTE,
    NOT_SENT_IN_TIME,
    UNKNOWN_KEY,
    Refusal,
    refusal_body,
)
from sassafrastally.proxy.reservations import Reservations
from sassafrastally.proxy.routes import UnknownKey, choose_service, find_customer
from sassafrastally.proxy.sight import Sight
from sassafrastally.proxy.task import Progress, RequestTask, Stopped

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import Attempts, Request
    from sassafrastally.proxy.budget import RetryBudget
    from sassafrastally.proxy.dialect import Dialect, Headers
    from sassafrastally.proxy.model import Configuration, Customer, Route
    from sassafrastally.proxy.reply import Reply

COME_BACK_S = 0.3
"""When to come back while no configuration is known: a process learns it within a second of its
start, and other entries have it."""

START_TIME_S = 0.5
"""Requests that arrive this soon after the start wait for the first configuration. The store gives
it within some milliseconds; longer than this, it is away, and a wait would be in vain."""

NO_ROUTE_NAME = "-"

TIDY_S = 5.0
"""Time between two rounds that drop what belongs to servers that have left. A replacement takes
longer, so that at most one generation of connections is held in vain."""


class RequestPath(Service):
    """Answers callers' requests.

    Parameters
    ----------
    dialect
        Translator of headers.
    attempts
        Sends requests to backend servers.
    budget
        The shared budget of repeats.
    """

    name: ClassVar[str] = "path"
    needs: ClassVar[tuple[str, ...]] = ("backpressure", "beliefs", "quarantine", "sight")

    services: AnswerServices
    """What answers are made with; known from the start on."""

    def __init__(self, dialect: Dialect, attempts: Attempts, budget: RetryBudget) -> None:
        self._dialect = dialect
        self._attempts = attempts
        self._budget = budget

    async def start(self, nursery: trio.Nursery) -> None:
        """Find the services that decisions rest on."""
        self._started_s = self.kernel.clock.now_s()
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        sight = self.kernel.get("sight", Sight)
        backpressure = self.kernel.get("backpressure", Backpressure)
        quarantine = self.kernel.get("quarantine", Quarantining)
        self._attempts.on_answer = backpressure.note_answer
        quarantine.on_verdict = sight.waiting_attempts.give_up_request
        self.services = AnswerServices(
            self.kernel,
            self._dialect,
            self._attempts,
            self._budget,
            sight,
            backpressure,
            quarantine,
            Crashes(self.kernel, nursery, sight.liveness, quarantine),
            Reservations(self._dialect, self.kernel, self._beliefs, backpressure, nursery),
            KnownReadingLimits(),
        )
        nursery.start_soon(self._tidy)

    async def _tidy(self) -> None:
        while True:
            await trio.sleep(TIDY_S)
            await self._attempts.pool.close_idle()
            await self.services.reservations.forget_gone(
                {server.address for server in self._beliefs.servers()}
            )
            self.services.sight.forget_gone()

    async def answer(self, request: Request, reply: Reply) -> None:
        """Answer a request; raises `ConnectionLost` when the caller can't be reached."""
        if self._beliefs.configuration is None:
            with trio.move_on_at(self._started_s + START_TIME_S):
                await self._beliefs.configuration_known.wait()
        configuration = self._beliefs.configuration
        if configuration is None:
            await self._answer_ourselves(request, reply, Stopped(NO_CONFIGURATION, "", COME_BACK_S))
            return
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = self._beliefs.routes.find(request.facts.host, path)
        if route is None:
            detail = f"version {configuration.version}"
            await self._answer_ourselves(request, reply, Stopped(NO_ROUTE, detail))
            return
        customer = find_customer(configuration, route, request.facts)
        if isinstance(customer, UnknownKey):
            detail = f"version {configuration.version}"
            await self._answer_ourselves(request, reply, Stopped(UNKNOWN_KEY, detail), route.name)
            return
        await self._answer_within_limit(request, reply, configuration, route, customer)

    async def _answer_within_limit(
        self,
        request: Request,
        reply: Reply,
        configuration: Configuration,
        route: Route,
        customer: Customer | None,
    ) -> None:
        service = choose_service(route.shares, self.kernel.random.random())
        task = RequestTask(
            request, route, configuration, customer, service, _fingerprint(request, customer)
        )
        self._budget.count_request(service, request.arrived_s)
        answerer = self._answerer(task, reply)
        progress = answerer.progress
        stopped: Stopped | None = None
        with trio.move_on_at(task.deadline_s) as limit:
            try:
                stopped = await answerer.run()
            except trio.Cancelled:
                if not limit.cancel_called:
                    held_s = self.kernel.clock.now_s() - request.arrived_s
                    self.kernel.events.emit(
                        CallerLeft(request.facts.request_id, route.name, held_s)
                    )
                    self._note_unanswered(task, progress)
                raise
        if limit.cancelled_caught:
            stopped = _out_of_time(progress)
            self._note_unanswered(task, progress)
        if stopped is None:
            return
        if reply.has_begun:
            self._note_broken(task, progress, stopped)
            return
        fingerprint = fingerprint_text(task.fingerprint)
        await self._answer_ourselves(
            request, reply, stopped, route.name, progress.attempts, fingerprint
        )

    def _answerer(self, task: RequestTask, reply: Reply) -> Generation | PlainRequest:
        engine = task.configuration.services[task.service].engine
        prompt = task.request.facts.prompt
        if task.route.kind is RouteKind.STREAM and engine is not None and prompt is not None:
            return Generation(self.services, task, reply, engine, prompt)
        return PlainRequest(self.services, task, reply)

    def _note_unanswered(self, task: RequestTask, progress: Progress) -> None:
        """Note an attempt that was under way when the caller left or the time was over."""
        if progress.pending is not None:
            self.services.crashes.note_unanswered(progress.pending, task)

    def _note_broken(self, task: RequestTask, progress: Progress, stopped: Stopped) -> None:
        REQUESTS.add(1, {"outcome": "broken"})
        self.kernel.events.emit(
            StreamBroken(
                task.request.facts.request_id,
                task.route.name,
                progress.attempts,
                progress.last_event_id,
                f"{stopped.refusal.code}: {stopped.detail}",
            )
        )

    async def _answer_ourselves(
        self,
        request: Request,
        reply: Reply,
        stopped: Stopped,
        route_name: str = NO_ROUTE_NAME,
        attempts: int = 0,
        fingerprint: str = "",
    ) -> None:
        """Give an answer of our own: a refusal, or a failure of a request that may have run."""
        REFUSALS.add(1, {"code": stopped.refusal.code})
        held_s = round(self.kernel.clock.now_s() - request.arrived_s, 4)
        request_id = request.facts.request_id
        status = stopped.refusal.status
        if stopped.refusal in (MAY_HAVE_RUN, NO_ANSWER_IN_TIME):
            detail = f"{stopped.refusal.code}: {stopped.detail}"
            self.kernel.events.emit(
                RequestFailed(request_id, route_name, status, attempts, held_s, detail)
            )
        else:
            code = stopped.refusal.code
            retry_after_s = round(stopped.retry_after_s or 0.0, 3)
            self.kernel.events.emit(
                RequestRefused(
                    request_id,
                    route_name,
                    code,
                    status,
                    retry_after_s,
                    attempts,
                    held_s,
                    stopped.detail,
                    fingerprint,
                )
            )
        await self._send(request, reply, stopped)

    async def _send(self, request: Request, reply: Reply, stopped: Stopped) -> None:
        headers: Headers = [(b"content-type", b"application/problem+json")]
        if stopped.retry_after_s is not None:
            headers.append(self._dialect.retry_after(stopped.retry_after_s))
        body = refusal_body(stopped.refusal, request.facts.request_id, stopped.detail)
        await reply.whole(stopped.refusal.status, headers, body)


def _fingerprint(request: Request, customer: Customer | None) -> int:
    return request_fingerprint(
        customer.name if customer else "",
        request.method,
        request.facts.host,
        request.target,
        request.body,
    )


def _out_of_time(progress: Progress) -> Stopped:
    """Return how a request ends whose time is over.

    Only a request of which no attempt may have run may be called "not run".
    """
    refusal: Refusal = NOT_SENT_IN_TIME
    if progress.may_have_run or progress.pending:
        refusal = NO_ANSWER_IN_TIME
    return Stopped(refusal, "the time limit is over")
