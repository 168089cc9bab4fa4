"""The request path as a service, independent of HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager, closing, contextmanager
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple, cast

import trio

from sassafrastally.core import KernelError, Service, TimeLimit, new_request_id
from sassafrastally.entry.bodies import RETRY_AFTER_S, BodyBudget
from sassafrastally.entry.candidates import Candidates
from sassafrastally.entry.claiming import (
    Claims,
    KeyClaim,
    covering_unread_key,
    with_unknown_outcome,
)
from sassafrastally.entry.events import (
    ELAPSED,
    FIRST_DATA,
    OPEN_REQUESTS,
    REQUESTS,
    EntryClosed,
    EntryHurried,
    RequestAbandoned,
    RequestEnded,
    RequestOpened,
    RequestRefused,
)
from sassafrastally.entry.execution import Execution
from sassafrastally.entry.execution_services import ExecutionServices
from sassafrastally.entry.held_answers import HeldAnswers, StreamBuffers
from sassafrastally.entry.hooks import admitted
from sassafrastally.entry.relay import Answer
from sassafrastally.entry.unread_runs import UnreadRuns
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.serving.retries import RetryBudget
from sassafrastally.serving.routing import ROUTING_POLICIES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from sassafrastally.control.bundle import BundleInForce
    from sassafrastally.control.interfaces import BundleSource, Membership
    from sassafrastally.core import RequestId
    from sassafrastally.entry.request import CallerRequest
    from sassafrastally.entry.settings import EntrySettings
    from sassafrastally.wire.link import Peers

CLAIMS = "claims"

ABANDONED = "caller-gone"
"""Metric label ``code`` of requests whose caller disconnected."""

LENGTH_BANDS = ((4_000, "short"), (100_000, "medium"))
"""Upper bounds in tokens of the prompt length bands in metrics; longer prompts are ``long``."""


class OpenRequest(NamedTuple):
    """A request in progress."""

    request_id: RequestId
    request: CallerRequest
    limit: TimeLimit


class RequestPath(Service):
    """Executes requests of callers and returns their answers.

    Parameters
    ----------
    settings
        The entry's settings.
    """

    name: ClassVar[str] = "path"
    needs: ClassVar[tuple[str, ...]] = ("peers", "membership", "bundle")

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._open: dict[str, OpenRequest] = {}
        self.bodies = BodyBudget(settings.max_held_body_bytes)
        self.held_answers = HeldAnswers(settings.max_held_answer_bytes)
        self._buffers = StreamBuffers(settings.max_all_buffered_bytes)
        """Budget for the bodies of callers."""
        self._is_closed = False
        self._idle = trio.lowlevel.ParkingLot()
        self._services: ExecutionServices
        self._unread_runs: UnreadRuns
        self._membership: Membership

    async def start(self, nursery: trio.Nursery) -> None:
        """Look up the services that the path depends on, and start its tasks."""
        kernel, settings = self.kernel, self._settings
        self._membership = cast("Membership", kernel.get("membership", Service))
        peers = cast("Peers", kernel.get("peers", Service))
        self._unread_runs = UnreadRuns(
            peers, kernel.events, kernel.random, settings.max_open_requests
        )
        self._services = ExecutionServices(
            settings=settings,
            peers=peers,
            candidates=Candidates(self._membership, kernel.data_centre),
            policy=ROUTING_POLICIES.get(settings.routing_policy)(kernel.random),
            budget=RetryBudget(settings.retry_burst),
            events=kernel.events,
            random=kernel.random,
            unread_runs=self._unread_runs,
        )
        await nursery.start(self._unread_runs.run)
        nursery.start_soon(self._shorten_deadlines)

    async def stop(self) -> None:
        """Refuse new requests and wait until those in progress have ended."""
        self.close()
        while self._open:
            await self._idle.park()
        await self._unread_runs.stop()

    def close(self) -> None:
        """Refuse new requests as ``stopping`` from now on."""
        if not self._is_closed:
            self._is_closed = True
            incomplete = self.bodies.close()
            self.kernel.events.emit(EntryClosed(len(self._open), incomplete))

    def status(self) -> dict[str, Any]:
        """Return status figures of the request path."""
        return {
            "open_requests": len(self._open),
            "held_body_bytes": self.bodies.held_bytes,
            "retries_left": round(self._services.budget.level, 2),
            "is_ready": self.is_ready,
        }

    @property
    def bundle_source(self) -> BundleSource:
        """Source of the bundle in force."""
        return cast("BundleSource", self.kernel.get("bundle", Service))

    @property
    def in_force(self) -> BundleInForce | None:
        """Bundle under which requests are admitted; ``None`` if there is none."""
        return self.bundle_source.in_force

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this entry.

        An entry isn't ready if the VM list shows it as leaving or no sidecar has reported to it:
        it would refuse requests that another entry can serve.
        """
        is_leaving = self.kernel.stopping.is_set() or self._membership.is_leaving(self.kernel.vm)
        return bool(self._membership.loads()) and not is_leaving and self.in_force is not None

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return len(self._open)

    def bundle(self) -> BundleInForce:
        """Return the bundle in force.

        Raises
        ------
        Refusal
            ``stopping`` or ``no-bundle``.
        """
        if self._is_closed:
            raise Refusal("stopping", Figures(retry_after_s=RETRY_AFTER_S))
        in_force = self.in_force
        if in_force is None:
            raise Refusal("no-bundle", Figures(retry_after_s=RETRY_AFTER_S))
        return in_force

    def new_id(self) -> RequestId:
        """Return an ID for a new request."""
        return new_request_id(self.kernel.random)

    @asynccontextmanager
    async def open(self, request: CallerRequest) -> AsyncIterator[Answer]:
        """Execute a request for the duration of the context; leaving it early cancels the request.

        Yields
        ------
        Answer
            Its head is known. Iterating over it yields the data and raises `Refusal` if the rest
            fails.

        Raises
        ------
        Refusal
            If there is no answer.
        """
        with covering_unread_key(request.key):
            in_force = self.bundle()
            self._check_bounds(request)
        request_id = request.request_id or self.new_id()
        refusal: Refusal | None = None
        with self._tracked(request_id, request) as limit, self.held_answers.open() as held:
            answer = Answer(request_id, self._settings.max_buffered_bytes, held, self._buffers)
            answer.on_part = limit.record_delivery
            with closing(answer):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(limit.watch)
                    nursery.start_soon(self._execute, in_force, request, answer, limit)
                    try:
                        await answer.wait_started()
                        self._record_first_data(request)
                        yield answer
                    except Refusal as caught:
                        # Raised outside the nursery, which would wrap it in an exception group.
                        refusal = caught
                    nursery.cancel_scope.cancel()
        if refusal is not None:
            raise refusal

    async def _execute(
        self,
        in_force: BundleInForce,
        request: CallerRequest,
        answer: Answer,
        limit: TimeLimit,
    ) -> None:
        """Run until the end or the time limit, whether or not the caller reads."""
        claim = self._claim_of(request)
        execution = Execution(self._services, in_force, request, answer, claim, limit)
        try:
            refusal = await self._execute_within(limit.scope, execution, request, answer)
            if refusal is not None:
                answer.fail(await _with_key_outcome(refusal, claim, answer.request_id))
        finally:
            self._record_end(request, answer, execution)

    def _claim_of(self, request: CallerRequest) -> KeyClaim | None:
        if not request.key:
            return None
        if not self.kernel.has(CLAIMS):
            raise KernelError(f"an idempotency key needs the service {CLAIMS!r}")
        return KeyClaim(cast("Claims", self.kernel.get(CLAIMS, Service)), request)

    async def _execute_within(
        self,
        scope: trio.CancelScope,
        execution: Execution,
        request: CallerRequest,
        answer: Answer,
    ) -> Refusal | None:
        tokens = request.prompt_tokens + request.max_output_tokens
        self.kernel.events.emit(
            RequestOpened(
                answer.request_id,
                request.customer.name,
                request.target,
                request.prompt_tokens,
                request.time_limit_s,
            )
        )
        try:
            with scope:
                async with admitted(self.kernel, request.customer, tokens) as admission:
                    try:
                        await execution.run()
                    finally:
                        admission.settle(_used_tokens(request, answer))
            # An answer that has become complete in the turn of the cancellation is delivered.
            if scope.cancelled_caught and answer.end is None:
                return self._cancelled_refusal(request, execution.outcome)
        except Refusal as refusal:
            return refusal
        return None

    def _cancelled_refusal(self, request: CallerRequest, outcome: Outcome) -> Refusal:
        now_s = trio.current_time()
        elapsed_s = now_s - request.arrived_s
        figures = Figures(limit=request.time_limit_s, measured=round(elapsed_s, 3))
        if now_s < request.deadline_s:
            figures = figures._replace(detail="The entry had to stop before the time limit.")
            return Refusal("stopping", figures, outcome)
        return Refusal("time-limit-passed", figures, outcome)

    def _check_bounds(self, request: CallerRequest) -> None:
        settings = self._settings
        if len(self._open) >= settings.max_open_requests:
            raise _overloaded(settings.max_open_requests, len(self._open), "requests in progress")
        held = self.bodies.held_bytes + len(request.body)
        if held > settings.max_held_body_bytes:
            raise _overloaded(settings.max_held_body_bytes, held, "bytes of bodies")

    @contextmanager
    def _tracked(self, request_id: RequestId, request: CallerRequest) -> Iterator[TimeLimit]:
        """Count a request against the entry's own limits for the duration of the context."""
        settings = self._settings
        limit = TimeLimit(request.deadline_s)
        if self.kernel.hurrying.is_set():
            limit.shorten(trio.current_time() + settings.stop_limit_s)
        self._open[request_id] = OpenRequest(request_id, request, limit)
        OPEN_REQUESTS.add(1)
        try:
            with self.bodies.use(len(request.body)):
                yield limit
        finally:
            del self._open[request_id]
            OPEN_REQUESTS.add(-1)
            if not self._open:
                self._idle.unpark_all()

    async def _shorten_deadlines(self) -> None:
        """After a second stop signal, shorten the deadline of every request in progress."""
        await self.kernel.hurrying.wait()
        limit_s = self._settings.stop_limit_s
        self.kernel.events.emit(EntryHurried(len(self._open), limit_s))
        latest_s = trio.current_time() + limit_s
        for item in self._open.values():
            item.limit.shorten(latest_s)

    def _record_first_data(self, request: CallerRequest) -> None:
        if request.model and request.is_streamed:
            elapsed_s = trio.current_time() - request.arrived_s
            FIRST_DATA.record(elapsed_s, {"length": _length_band(request.prompt_tokens)})

    def _record_end(self, request: CallerRequest, answer: Answer, execution: Execution) -> None:
        elapsed_s = trio.current_time() - request.arrived_s
        refusal = answer.refusal
        if not answer.is_over:
            REQUESTS.add(1, {"outcome": str(execution.outcome), "code": ABANDONED})
            abandoned = RequestAbandoned(answer.request_id, str(execution.outcome), elapsed_s)
            self.kernel.events.emit(abandoned)
            return
        outcome = Outcome.COMPLETED if refusal is None else refusal.outcome
        code = "" if refusal is None else refusal.kind.code
        REQUESTS.add(1, {"outcome": str(outcome), "code": code})
        ELAPSED.record(elapsed_s, {"outcome": str(outcome)})
        if refusal is None:
            output_tokens = answer.end.output_tokens if answer.end else 0
            self.kernel.events.emit(
                RequestEnded(answer.request_id, execution.attempts, output_tokens, elapsed_s)
            )
            return
        self.kernel.events.emit(
            RequestRefused(
                answer.request_id,
                request.customer.name,
                code,
                str(outcome),
                refusal.figures.limit,
                refusal.figures.measured,
                elapsed_s,
            )
        )


async def _with_key_outcome(refusal: Refusal, claim: KeyClaim | None, request_id: str) -> Refusal:
    """Return the refusal with an outcome that also covers earlier requests with the same key.

    A caller that repeats a booking needs the outcome of the booking, not that of the repeated
    request. If the repeat were refused as "not run" before its claim, the caller would book again
    under another key, although the first request had run.
    """
    if claim is None or refusal.outcome != Outcome.NOT_RUN:
        return refusal
    if not await claim.earlier_may_have_run(request_id):
        return refusal
    return with_unknown_outcome(refusal)


def _overloaded(limit: int, measured: int, what: str) -> Refusal:
    figures = Figures(limit, measured, RETRY_AFTER_S, f"The bound counts {what}.")
    return Refusal("overloaded", figures)


def _used_tokens(request: CallerRequest, answer: Answer) -> int:
    if answer.end is None or not answer.end.prompt_tokens:
        return request.prompt_tokens + request.max_output_tokens
    return answer.end.prompt_tokens + answer.end.output_tokens


def _length_band(tokens: int) -> str:
    return next((name for bound, name in LENGTH_BANDS if tokens <= bound), "long")
