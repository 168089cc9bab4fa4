"""Detects whether a server that broke off an answer or went silent has crashed."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.fingerprint import Subjects, fingerprint_text
from sassafrastally.proxy.log_events import ServerCrashed, ServerCrashPresumed
from sassafrastally.proxy.metrics import SERVER_CRASHES

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.proxy.answer_progress import AnswerProgress
    from sassafrastally.proxy.liveness import Liveness
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.quarantine_service import QuarantineService
    from sassafrastally.proxy.task import RequestTask

PROBE_WAIT_S = 0.15
"""How long a request waits for the probe before it fails over. The host of a process that has ended
refuses a connection within one round trip, a few milliseconds. A host that takes longer gives no
evidence of a crash, and the request's time is limited."""

LEASE_EXPIRY_WINDOW_S = 8.0
"""Maximum time from an unanswered request until the lease of its server expires, if the server has
ended. Servers renew each second and expire after three missed renewals; the rest is a margin for a
busy store."""

MAX_ENDED = 256
"""Maximum number of servers that have lately ended unplanned and are remembered: attempts that were
in progress there may still wait for their time limit."""

MAX_UNANSWERED = 16
"""Maximum number of requests kept for one silent server: those that it runs and those that wait."""


NO_ANSWER_AND_ENDED = "no complete answer, and the server's incarnation ended"
"""Logged cause of a crash that no connection has shown."""


class _Unanswered(NamedTuple):
    """A request without a complete answer; its body, which may be megabytes, isn't kept."""

    subjects: Subjects
    """The request, and the parts of its prompt unless the answer had gone on."""
    request_id: str
    at_s: float
    events: int
    """Number of events of its answer that had arrived."""
    logged_parts: tuple[str, ...]


def _unanswered(task: RequestTask, answer: AnswerProgress, now_s: float) -> _Unanswered:
    subjects = Subjects(task.fingerprint) if answer.is_going_on else task.subjects
    request_id = task.request.facts.request_id
    return _Unanswered(subjects, request_id, now_s, answer.events, task.logged_parts)


class CrashDetector:
    """Detects and records server crashes in the background of requests.

    Parameters
    ----------
    kernel
        Clock, services and log of the process.
    nursery
        Runs the probes, so that a request whose time limit passes doesn't cancel its probe.
    liveness
        Probes connections.
    quarantine
        Receives the crashes.
    """

    def __init__(
        self,
        kernel: Kernel,
        nursery: trio.Nursery,
        liveness: Liveness,
        quarantine: QuarantineService,
    ) -> None:
        self._kernel = kernel
        self._nursery = nursery
        self._liveness = liveness
        self._quarantine = quarantine
        self._backpressure = kernel.get("backpressure", Backpressure)
        self._cluster_state = kernel.get("beliefs", ClusterState)
        self._cluster_state.servers.on_incarnation_ended = self._record_incarnation_ended
        self._unanswered: dict[str, deque[_Unanswered]] = {}
        self._ended_s: dict[str, float] = {}
        """When servers ended, by incarnation, unless they had been draining or leaving."""
        self._containment = Containment(kernel, "probe after a broken response")

    async def record_broken_answer(
        self, server: BackendServer, task: RequestTask, answer: AnswerProgress, cause: str
    ) -> None:
        """Record that an answer broke off; return once the server is probed or a timeout passes.

        Parameters
        ----------
        server
            Server that answered.
        task
            The request.
        answer
            Progress of the answer.
        cause
            Description of the failure, for the log.
        """
        is_known = trio.Event()
        self._nursery.start_soon(
            self._containment.run, self._find, server, task, answer, cause, is_known
        )
        with trio.move_on_after(PROBE_WAIT_S):
            await is_known.wait()
        if self._quarantine.crash_count(task.subjects):
            # Waits until the entries have exchanged which of their requests ran on that server.
            await trio.sleep(self._quarantine.time_to_judgement_s(task.subjects))

    def record_missing_answer(
        self, server: BackendServer, task: RequestTask, answer: AnswerProgress
    ) -> None:
        """Record that an answer is missing or incomplete and that the server may have ended.

        A slow server and a cut link look the same, and a supervisor may hold the port of an ended
        process. A crash is only counted if the server's lease expires or a new incarnation
        registers, while the request was in progress or soon after.
        """
        now_s = self._kernel.clock.now_s()
        ended_s = self._ended_s.get(server.incarnation_id)
        if ended_s is not None and ended_s >= task.request.arrived_s:
            one = _unanswered(task, answer, now_s)
            self._record_crash(server, one, NO_ANSWER_AND_ENDED, age_s=now_s - ended_s)
            return
        self._unanswered = {
            incarnation_id: requests
            for incarnation_id, requests in self._unanswered.items()
            if any(now_s - one.at_s < LEASE_EXPIRY_WINDOW_S for one in requests)
        }
        requests = self._unanswered.setdefault(server.incarnation_id, deque(maxlen=MAX_UNANSWERED))
        requests.append(_unanswered(task, answer, now_s))

    async def _find(
        self,
        server: BackendServer,
        task: RequestTask,
        answer: AnswerProgress,
        cause: str,
        is_known: trio.Event,
    ) -> None:
        one = _unanswered(task, answer, self._kernel.clock.now_s())
        try:
            finding = await self._liveness.find(server)
            if finding.is_refused and not self._was_leaving(server):
                self._record_crash(server, one, cause)
                return
            if finding.is_dropped and not self._was_leaving(server):
                self._presume_crash(server, one, cause)
            self.record_missing_answer(server, task, answer)
        finally:
            is_known.set()

    def _record_incarnation_ended(self, server: BackendServer) -> None:
        requests = self._unanswered.pop(server.incarnation_id, ())
        if server.is_draining or self._backpressure.is_leaving(server):
            return
        now_s = self._kernel.clock.now_s()
        self._ended_s[server.incarnation_id] = now_s
        if len(self._ended_s) > MAX_ENDED:
            del self._ended_s[next(iter(self._ended_s))]
        for one in requests:
            if now_s - one.at_s < LEASE_EXPIRY_WINDOW_S:
                self._record_crash(server, one, NO_ANSWER_AND_ENDED, age_s=now_s - one.at_s)

    def _was_leaving(self, server: BackendServer) -> bool:
        """Return whether a server was leaving or draining; its end is planned then."""
        if self._backpressure.is_leaving(server):
            return True
        known = self._cluster_state.servers.get(server.server_id)
        return (
            known is not None
            and known.incarnation_id == server.incarnation_id
            and known.is_draining
        )

    def _record_crash(
        self, server: BackendServer, one: _Unanswered, cause: str, *, age_s: float = 0.0
    ) -> None:
        SERVER_CRASHES.add(1)
        text = fingerprint_text(one.subjects.fingerprint)
        self._kernel.events.emit(
            ServerCrashed(
                server.server_id, one.request_id, text, cause, one.events, one.logged_parts
            )
        )
        self._quarantine.record_crash(one.subjects, server, age_s=age_s)

    def _presume_crash(self, server: BackendServer, one: _Unanswered, cause: str) -> None:
        text = fingerprint_text(one.subjects.fingerprint)
        self._kernel.events.emit(
            ServerCrashPresumed(
                server.server_id, one.request_id, text, cause, one.events, one.logged_parts
            )
        )
        self._quarantine.record_crash(one.subjects, server, is_presumed=True)
