"""What the attempts of one request tell about their servers, recorded and logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.answer_progress import AnswerProgress
from sassafrastally.proxy.attempt import NON_SUCCESS_STATUS, TIMEOUT_DETAIL
from sassafrastally.proxy.slow_event_detection import event_time_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.attempt import AttemptNotRun, AttemptUnknown
    from sassafrastally.proxy.event_stream import StreamEvent
    from sassafrastally.proxy.load import InFlightAttempt
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.request_log import RequestLog
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.task import Progress, RequestTask

SUPERSEDED_DETAIL = "another attempt goes on or is complete"
DIFFERENT_DETAIL = "its events differ from those that the caller has got"


class AttemptRecords:
    """Records the outcomes of one request's attempts.

    Parameters
    ----------
    services, task, progress, log
        The request and the services of its handler.
    """

    def __init__(
        self, services: RequestServices, task: RequestTask, progress: Progress, log: RequestLog
    ) -> None:
        self._services = services
        self._task = task
        self._progress = progress
        self._log = log

    def is_suspect(self) -> bool:
        """Return whether a server has crashed while running the request, whatever the cause."""
        return self._services.quarantine.crash_count(self._task.subjects) > 0

    def outcome(self, *servers: BackendServer, is_failure: bool) -> None:
        """Count a response or a failure of servers over all entries.

        Failures of a request during which a server has crashed don't count: it may be their cause.
        """
        if is_failure and self.is_suspect():
            return
        for server in servers:
            self._services.fleet_view.failures.record(server, is_failure=is_failure)

    def events(
        self,
        attempt: OpenAttempt,
        in_flight: InFlightAttempt,
        slow_event_s: float,
        events: Sequence[StreamEvent],
        waited_s: float,
    ) -> None:
        """Record events of an attempt's response.

        Parameters
        ----------
        attempt, in_flight
            The attempt.
        slow_event_s
            Time for an event from which an engine counts as slow.
        events, waited_s
            What arrived, and the time waited for it.
        """
        fleet_view = self._services.fleet_view
        if not in_flight.is_in_prefill:
            event_s = event_time_s(waited_s, len(events))
            fleet_view.record_event(attempt.server, event_s, slow_event_s, self._request_id)
        now_s = self._services.kernel.clock.now_s()
        for event in events:
            if event.has_fields:
                if attempt.position.is_new_to_attempt(event):
                    attempt.wait.record_event(now_s)
                fleet_view.ledger.first_event(in_flight, now_s)
                if attempt.record_event(now_s):
                    quarantine = self._services.quarantine
                    quarantine.record_going_on(self._task.parts, attempt.server)

    def success(self, attempt: OpenAttempt, status: int) -> None:
        """Record a complete, successful response: the request doesn't crash servers."""
        if status < NON_SUCCESS_STATUS:
            self._services.quarantine.record_answered(
                self._task.subjects, attempt.server, attempt.answer
            )

    def silence(self, attempt: OpenAttempt, detail: str) -> None:
        """Record that a server is silent for as long as an attempt is given, once for each attempt.

        It is a failure of the server, even if its response comes in the end.

        Parameters
        ----------
        attempt
            An attempt at the server, which stays open.
        detail
            What was silent. The report of a silent engine decides whether it has failed.
        """
        attempt.progress_since_silence = AnswerProgress()
        if attempt.silence_detail:
            return
        self._log.attempt_failed(attempt, detail, is_proved_not_run=False)
        attempt.silence_detail = detail
        if detail == TIMEOUT_DETAIL:
            self._services.fleet_view.record_timeout(attempt.server, self._request_id)
            return
        self.outcome(attempt.server, is_failure=True)
        self._services.fleet_view.record_failure(attempt.server, detail, self._request_id)

    def slow(self, attempt: OpenAttempt, detail: str) -> None:
        """Record that another attempt is added to one that waits for a slow engine.

        It is no failure: reports tell how slow an engine is.
        """
        if not attempt.is_slow:
            self._log.attempt_failed(attempt, detail, is_proved_not_run=False)
        attempt.is_slow = True

    def superseded(self, attempt: OpenAttempt) -> None:
        """Record an attempt that was closed for another one.

        A server that has gone on after its silence hasn't crashed on the request.
        """
        detail = DIFFERENT_DETAIL if attempt.has_differed else SUPERSEDED_DETAIL
        self._log.attempt_closed(attempt, detail)
        self.abandoned(attempt, detail)
        if attempt.silence_detail and not attempt.progress_since_silence.events:
            self._record_missing_answer(attempt)

    def unsent(self, attempt: OpenAttempt) -> None:
        """Record an attempt that was closed for another one before its request was sent."""
        self._progress.end(attempt)
        self._log.attempt_closed(attempt, SUPERSEDED_DETAIL)
        self._log.attempt_failed(attempt, SUPERSEDED_DETAIL, is_proved_not_run=True)

    def not_run(
        self,
        attempt: OpenAttempt,
        cause: AttemptNotRun,
        helpers: tuple[BackendServer, ...] = (),
    ) -> None:
        """Record an attempt that certainly didn't run."""
        server, progress, fleet_view = attempt.server, self._progress, self._services.fleet_view
        progress.end(attempt)
        if not cause.is_unreachable and self._is_for_load(server, cause):
            progress.was_refused_for_load = True
        if cause.is_unreachable:
            # Nothing was sent, so it counts neither as an attempt nor as a retry.
            progress.sent.remove(server.incarnation_id)
            progress.unreachable += 1
        self._log.attempt_failed(attempt, cause.detail, is_proved_not_run=True)
        # Only the helpers of this attempt can be at fault: a server that has since restarted at the
        # same address isn't.
        at_fault = [helper for helper in helpers if helper.address == cause.failed_server_address]
        for helper in at_fault:
            self._rejection(helper)
            reason = "reported as the cause by another server"
            fleet_view.record_refusal(helper, reason, self._request_id, is_conclusive=True)
        if at_fault or not cause.counts_against_server:
            return
        if cause.is_unreachable:
            self.outcome(server, is_failure=True)
            fleet_view.record_failure(server, cause.detail, self._request_id, is_conclusive=True)
        else:
            self._rejection(server)
            fleet_view.record_refusal(server, cause.detail, self._request_id)

    async def unknown(self, attempt: OpenAttempt, cause: AttemptUnknown | str) -> None:
        """Record an attempt that may have run and count it as a failure of its server."""
        detail = cause if isinstance(cause, str) else cause.detail
        server = attempt.server
        self.abandoned(attempt, detail)
        is_silence = not isinstance(cause, str) and cause.is_timeout
        if not is_silence:  # The report of a silent engine decides whether it has failed.
            self.outcome(server, is_failure=True)
        if isinstance(cause, str):
            self._services.fleet_view.record_failure(server, detail, self._request_id)
            self._record_missing_answer(attempt)
        elif cause.is_timeout:
            self._services.fleet_view.record_timeout(server, self._request_id)
            self._record_missing_answer(attempt)
        else:
            self._services.fleet_view.record_failure(server, detail, self._request_id)
            await self._services.crash_detector.record_broken_answer(
                server, self._task, attempt.answer, detail
            )

    def rejected(self, attempt: OpenAttempt, detail: str) -> None:
        """Record an attempt that the server answered as a whole, but not with a success."""
        self._services.fleet_view.record_success(attempt.server.incarnation_id)
        self.abandoned(attempt, detail)

    def abandoned(self, attempt: OpenAttempt, detail: str) -> None:
        """Record and log an attempt that may have run."""
        self._progress.end(attempt)
        self._progress.may_have_run = True
        if not attempt.is_logged:
            self._log.attempt_failed(attempt, detail, is_proved_not_run=False)
        elif not attempt.is_closed:
            self._log.attempt_broken(attempt, detail)

    @property
    def _request_id(self) -> str:
        return self._task.request.facts.request_id

    def _record_missing_answer(self, attempt: OpenAttempt) -> None:
        self._services.crash_detector.record_missing_answer(
            attempt.server, self._task, attempt.answer
        )

    def _rejection(self, server: BackendServer) -> None:
        """Count a rejection unless load, a rate limit or a cold start explains it."""
        incarnation_id = server.incarnation_id
        if (
            not self._services.fleet_view.is_loaded(server)
            and self._services.backpressure.limit_of(incarnation_id) is None
            and not self._services.backpressure.is_cold(incarnation_id)
        ):
            self.outcome(server, is_failure=True)

    def _is_for_load(self, server: BackendServer, cause: AttemptNotRun) -> bool:
        """Return whether a server refused an attempt because of its load."""
        return not cause.counts_against_server or self._services.fleet_view.is_loaded(server)
