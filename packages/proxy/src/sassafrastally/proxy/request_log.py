"""Log lines about one request and its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.fingerprint import fingerprint_text
from sassafrastally.proxy.log_events import (
    AttemptBroken,
    AttemptClosed,
    AttemptFailed,
    RequestAnswered,
    RequestPlaced,
    SilenceTolerated,
)
from sassafrastally.proxy.metrics import ATTEMPTS_FAILED, count_answer

if TYPE_CHECKING:
    from sassafrastally.proxy.body_framing import BodyFraming
    from sassafrastally.proxy.failover_decision import Obstacle
    from sassafrastally.proxy.load import Lane
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.response_times import ResponseTimes
    from sassafrastally.proxy.task import Progress, RequestTask


class RequestLog:
    """Logs the attempts and the answer of one request."""

    def __init__(self, services: RequestServices, task: RequestTask, progress: Progress) -> None:
        self._services = services
        self._task = task
        self._progress = progress
        self._clock = services.kernel.clock
        self._emit = services.kernel.events.emit

    def answered(
        self,
        server_id: str,
        status: int,
        framing: BodyFraming,
        lane: Lane,
        times: ResponseTimes,
        unfinished_bytes: int = 0,
    ) -> None:
        """Log and count a complete response."""
        self._progress.has_final_line = True
        first_s = times.first_s or times.total_s
        count_answer(lane, first_s, times.longest_pause_s, times.total_s)
        self._emit(
            RequestAnswered(
                self._task.request.facts.request_id,
                self._task.route.name,
                server_id,
                status,
                self._progress.attempts,
                round(times.first_s, 4),
                round(times.total_s, 4),
                round(times.longest_pause_s, 4),
                framing.value,
                unfinished_bytes,
            )
        )

    def attempt_failed(self, attempt: OpenAttempt, cause: str, *, is_proved_not_run: bool) -> None:
        """Log and count an attempt without a complete answer."""
        ATTEMPTS_FAILED.add(1, {"proved_not_run": is_proved_not_run})
        self._emit(
            AttemptFailed(
                self._task.request.facts.request_id,
                attempt.server.server_id,
                attempt.number,
                is_proved_not_run,
                round(self._clock.now_s() - attempt.begin_s, 4),
                cause,
            )
        )

    def attempt_broken(self, attempt: OpenAttempt, cause: str) -> None:
        """Log the end of an attempt that was logged and counted before, as it was silent."""
        self._emit(
            AttemptBroken(
                self._task.request.facts.request_id,
                attempt.server.server_id,
                attempt.number,
                attempt.answer.events,
                round(self._clock.now_s() - attempt.begin_s, 4),
                cause,
            )
        )

    def attempt_closed(self, attempt: OpenAttempt, reason: str) -> None:
        """Log an attempt that was closed for another one, and how far both were."""
        closed_by = attempt.closed_by
        last_s = attempt.answer.last_event_s or attempt.begin_s
        self._emit(
            AttemptClosed(
                self._task.request.facts.request_id,
                attempt.server.server_id,
                attempt.number,
                attempt.answer.events,
                round(self._clock.now_s() - last_s, 4),
                closed_by.number if closed_by else 0,
                closed_by.answer.events if closed_by else 0,
                reason,
            )
        )

    def silence_tolerated(self, attempt: OpenAttempt, silent_s: float, obstacle: Obstacle) -> None:
        """Log that a request stays at a silent server."""
        self._emit(
            SilenceTolerated(
                self._task.request.facts.request_id,
                attempt.server.server_id,
                attempt.number,
                round(silent_s, 4),
                obstacle.value,
            )
        )

    def placed(self, server: BackendServer, placement: Placement | None = None) -> None:
        """Log the start of an attempt."""
        task = self._task
        prompt = task.request.facts.prompt
        self._emit(
            RequestPlaced(
                self._task.request.facts.request_id,
                task.route.name,
                task.configuration.version,
                task.customer_name or "",
                server.server_id,
                self._progress.attempts,
                prompt.prompt_tokens if prompt else 0,
                tuple(server.server_id for server in placement.helpers) if placement else (),
                placement.lanes if placement else "",
                round(placement.predicted_s, 4) if placement else 0.0,
                round(task.deadline_s - self._clock.now_s(), 4),
                round(self._services.fleet_view.beliefs_age_s, 4),
                self._services.fleet_view.entries - 1,
                fingerprint_text(task.fingerprint),
                round(self._progress.waited_s, 4),
                task.logged_parts,
            )
        )
