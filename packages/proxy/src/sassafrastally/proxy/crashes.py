"""Finds out whether a server that broke an answer off, or went silent, has crashed under it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.fingerprint import fingerprint_text
from sassafrastally.proxy.log_events import ServerCrashed, ServerCrashPresumed
from sassafrastally.proxy.metrics import SERVER_CRASHES

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.proxy.liveness import Liveness
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.quarantining import Quarantining
    from sassafrastally.proxy.task import RequestTask

KNOWN_WITHIN_S = 0.15
"""How long a request waits for the finding before it goes elsewhere. The host of a process that has
ended refuses a connection within one round trip, some milliseconds; a host that is silent for
longer says nothing, and the request's time is short."""

LAPSES_WITHIN_S = 8.0
"""Time from a request's silence until its server's entry has lapsed, if it has ended: servers write
each second, and three writes that are missing end the entry. More is for a busy store."""

MOST_UNANSWERED = 16
"""Requests kept for one silent server: what it runs and what waits there."""


class _Unanswered(NamedTuple):
    """A request without a whole answer; its body, which may be megabytes, isn't kept for it."""

    fingerprint: int
    request_id: str
    at_s: float


class Crashes:
    """Finds and notes crashes, in the background of requests.

    Parameters
    ----------
    kernel
        Log of the process.
    nursery
        Where findings are waited for, so that a request whose time ends doesn't lose its finding.
    liveness
        Tries connections.
    quarantine
        Hears of crashes.
    """

    def __init__(
        self,
        kernel: Kernel,
        nursery: trio.Nursery,
        liveness: Liveness,
        quarantine: Quarantining,
    ) -> None:
        self._kernel = kernel
        self._nursery = nursery
        self._liveness = liveness
        self._quarantine = quarantine
        self._backpressure = kernel.get("backpressure", Backpressure)
        self._beliefs = kernel.get("beliefs", Beliefs)
        self._beliefs.on_life_ended = self._note_life_ended
        self._unanswered: dict[str, deque[_Unanswered]] = {}

    async def note_broken_off(self, server: BackendServer, task: RequestTask, cause: str) -> None:
        """Note that an answer broke off; return when it is known whether its server has crashed.

        Parameters
        ----------
        server
            Who answered.
        task
            The request.
        cause
            How its answer broke off.
        """
        is_known = trio.Event()
        self._nursery.start_soon(self._find, server, task, cause, is_known)
        with trio.move_on_after(KNOWN_WITHIN_S):
            await is_known.wait()
        if self._quarantine.crashes_under(task.fingerprint):
            # Other entries are told meanwhile what ran there, and tell what ran there for them.
            await trio.sleep(self._quarantine.news_age_s)

    def note_unanswered(self, server: BackendServer, task: RequestTask) -> None:
        """Note that an answer didn't come, or not whole, and that the server may have ended.

        A slow server and a cut link are as silent, and a supervisor may hold the port of a process
        that has ended. If the server's entry lapses soon after or another life follows, it has
        ended, and only then that counts.
        """
        now_s = self._kernel.clock.now_s()
        self._unanswered = {
            life_id: requests
            for life_id, requests in self._unanswered.items()
            if any(now_s - one.at_s < LAPSES_WITHIN_S for one in requests)
        }
        requests = self._unanswered.setdefault(server.life_id, deque(maxlen=MOST_UNANSWERED))
        requests.append(_Unanswered(task.fingerprint, task.request.facts.request_id, now_s))

    async def _find(
        self, server: BackendServer, task: RequestTask, cause: str, is_known: trio.Event
    ) -> None:
        try:
            finding = await self._liveness.find(server)
            if finding.is_refused and not self._was_leaving(server):
                self._note_crash(server, task.fingerprint, task.request.facts.request_id, cause)
                return
            if finding.is_dropped and not self._was_leaving(server):
                self._presume_crash(server, task, cause)
            self.note_unanswered(server, task)
        finally:
            is_known.set()

    def _note_life_ended(self, server: BackendServer) -> None:
        requests = self._unanswered.pop(server.life_id, ())
        if server.is_draining or self._backpressure.is_leaving(server):
            return
        now_s = self._kernel.clock.now_s()
        for one in requests:
            if now_s - one.at_s < LAPSES_WITHIN_S:
                cause = "no whole answer, and then the server's life ended"
                age_s = now_s - one.at_s
                self._note_crash(server, one.fingerprint, one.request_id, cause, age_s=age_s)

    def _was_leaving(self, server: BackendServer) -> bool:
        """Return whether a server was to leave: what ends then is cut off by plan."""
        if self._backpressure.is_leaving(server):
            return True
        known = self._beliefs.server(server.server_id)
        return known is not None and known.life_id == server.life_id and known.is_draining

    def _note_crash(
        self,
        server: BackendServer,
        fingerprint: int,
        request_id: str,
        cause: str,
        *,
        age_s: float = 0.0,
    ) -> None:
        SERVER_CRASHES.add(1)
        text = fingerprint_text(fingerprint)
        self._kernel.events.emit(ServerCrashed(server.server_id, request_id, text, cause))
        self._quarantine.note_crash(fingerprint, server, age_s=age_s)

    def _presume_crash(self, server: BackendServer, task: RequestTask, cause: str) -> None:
        text = fingerprint_text(task.fingerprint)
        request_id = task.request.facts.request_id
        self._kernel.events.emit(ServerCrashPresumed(server.server_id, request_id, text, cause))
        self._quarantine.note_crash(task.fingerprint, server, is_presumed=True)
