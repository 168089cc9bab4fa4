"""Polls engines for load reports and notifies attempts that wait for a slow engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.backpressure import Backpressure, CallKind
from sassafrastally.proxy.calls import CallClient, ResponseBounds, ResponseTooLarge
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.log_events import EngineSlow, EngineUsual, ReportFailed
from sassafrastally.proxy.pace import SLOW_PACE, USUAL_PACE
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.report_duty import polls_engine, report_interval_s
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.input_limits import InputBudget
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.settings import ProxySettings

CHECK_INTERVAL_S = 0.1
"""Time between two checks for due reports: a third of the shortest report interval."""

MAX_CONSECUTIVE_FAILURES = 2
"""Consecutive failed reports after which an engine is suspected; a single one may be lost in
transit. If the report was requested because a request got no response, one failure is enough."""

MAX_FAILING_SHARE = 0.5
"""Maximum share of the engines polled by a process whose failed reports are attributed to the
engines. A larger share doesn't crash at the same time, since each zone has its own power supply."""

REPORT_TIMEOUT_S = 0.4
"""Time limit of a report; an engine answers from memory within a few milliseconds."""

REPORT_BOUNDS = ResponseBounds(size_bytes=65_536, time_s=1.0)
"""Bounds of a report as a whole. It takes a few hundred bytes, with all reservations and adapters
that an engine may have about ten kilobytes, and arrives in one or two packets."""


class EngineReports(Service):
    """Keeps the paces of the engines up to date.

    Parameters
    ----------
    settings
        The process's own address.
    dialect
        Encodes and decodes reports.
    input_budget
        Budget of the process for responses that aren't complete; by default without a bound.
    """

    name: ClassVar[str] = "reports"
    needs: ClassVar[tuple[str, ...]] = ("backpressure", "beliefs", "peers", "sight")

    def __init__(
        self, settings: ProxySettings, dialect: Dialect, input_budget: InputBudget | None = None
    ) -> None:
        self._own_host = settings.host
        self._dialect = dialect
        self._input_budget = input_budget
        self._calls: dict[Address, CallClient] = {}
        self._polled_s: dict[str, float] = {}
        self._polling: set[str] = set()
        self._failures: dict[str, int] = {}
        self._invalid: set[str] = set()
        """Engines whose last report was invalid or too large."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Look up the services used and start polling."""
        self._cluster_state = self.kernel.get("beliefs", ClusterState)
        self._peers = self.kernel.get("peers", Peers)
        self._fleet_view = self.kernel.get("sight", FleetView)
        self._backpressure = self.kernel.get("backpressure", Backpressure)
        self._nursery = nursery
        self._containment = Containment(self.kernel, "report of an engine")
        self._fleet_view.request_report = self._poll_for_request
        nursery.start_soon(Containment(self.kernel, "reports of engines").restart, self._run)

    async def _run(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            engines = self._engines()
            await self._forget_gone(engines)
            for engine in self._engines_due(engines):
                self._polled_s[engine.incarnation_id] = self.kernel.clock.now_s()
                self._nursery.start_soon(self._poll, engine)
            self._fleet_view.waiting_attempts.notify_slow_engines(self._fleet_view.paces())

    def _engines(self) -> list[BackendServer]:
        configuration = self._cluster_state.configuration
        if configuration is None:
            return []
        return [
            server
            for service in configuration.services.values()
            if service.engine is not None
            for server in self._cluster_state.servers.of_service(service.name)
        ]

    def _engines_due(self, engines: list[BackendServer]) -> list[BackendServer]:
        now_s = self.kernel.clock.now_s()
        hosts = self._polling_hosts(engines)
        doubted = self._fleet_view.waiting_attempts.overdue_servers(now_s)
        paces = self._fleet_view.paces()
        due = []
        for engine in engines:
            incarnation_id = engine.incarnation_id
            is_doubted = incarnation_id in doubted
            polling_hosts = hosts[engine.data_centre]
            if not is_doubted and not polls_engine(incarnation_id, self._own_host, polling_hosts):
                continue
            pace = paces.get(incarnation_id, USUAL_PACE)
            limit_per_s = self._backpressure.limit_of(incarnation_id)
            interval_s = report_interval_s(pace, limit_per_s, is_doubted=is_doubted)
            is_due = now_s - self._polled_s.get(incarnation_id, float("-inf")) >= interval_s
            if is_due and self._backpressure.is_open(engine):
                due.append(engine)
        return due

    def _polling_hosts(self, engines: list[BackendServer]) -> dict[str, list[str] | None]:
        """Return the entries that poll each data centre's engines: its own, or all if none."""
        own_centre = self.kernel.data_centre
        polling_hosts: dict[str, list[str] | None] = {}
        for data_centre in {engine.data_centre for engine in engines}:
            hosts = self._peers.live_hosts_in(data_centre)
            if hosts is not None and data_centre == own_centre:
                is_left_to_others = (
                    self._peers.is_overloaded and self._peers.has_local_peer_with_time()
                )
                hosts = hosts if is_left_to_others else [*hosts, self._own_host]
            polling_hosts[data_centre] = self._all_live_hosts() if hosts == [] else hosts
        return polling_hosts

    def _all_live_hosts(self) -> list[str]:
        return [*self._peers.live_hosts(), self._own_host]

    def _poll_for_request(self, engine: BackendServer, request_id: str) -> None:
        """Request an engine's report at once; an engine that doesn't answer is avoided."""
        if self._cluster_state.servers.evacuations.is_evacuated(engine.data_centre):
            return  # Its attempts run to completion; nothing else is sent there.
        if engine.incarnation_id not in self._polling and self._backpressure.is_open(engine):
            self._nursery.start_soon(self._poll, engine, request_id)

    async def _poll(self, engine: BackendServer, request_id: str = "") -> None:
        """Request an engine's report and record its pace, or the failure."""
        self._polling.add(engine.incarnation_id)
        with self._containment:
            try:
                await self._exchange(engine, request_id)
            finally:
                self._polling.discard(engine.incarnation_id)

    async def _exchange(self, engine: BackendServer, request_id: str) -> None:
        client = self._calls.get(engine.address)
        if client is None:
            client = CallClient(engine.address, input_budget=self._input_budget)
            self._calls[engine.address] = client
        call = self._dialect.make_report_call(engine)
        self._backpressure.count_request(engine, CallKind.REPORT)
        try:
            response = await client.exchange(
                call.method, call.target, call.headers, call.body, REPORT_TIMEOUT_S, REPORT_BOUNDS
            )
            answer = self._dialect.decode_response(response.status, response.headers)
            self._backpressure.record_cold_time(engine, answer.backpressure)
            report = self._dialect.decode_report(response.status, response.body)
        except (AnswerLost, DocumentInvalid) as cause:
            self._log_failed(engine, cause, request_id)
            failures = self._failures.get(engine.incarnation_id, 0) + 1
            self._failures[engine.incarnation_id] = failures
            if self._is_probably_cut_off():
                return
            if request_id or failures >= MAX_CONSECUTIVE_FAILURES:
                reason = f"no report: {cause.detail}"
                self._fleet_view.record_failure(engine, reason, request_id, is_conclusive=True)
            return
        self._failures.pop(engine.incarnation_id, None)
        self._invalid.discard(engine.incarnation_id)
        if report.born_ms is not None and report.born_ms != engine.born_ms:
            return  # Another incarnation answers; its store record will follow.
        was_slow = engine.incarnation_id in self._fleet_view.paces()
        self._fleet_view.record_pace(engine, report.pace)
        if report.pace >= SLOW_PACE and not was_slow:
            self.kernel.events.emit(EngineSlow(engine.server_id, report.pace))
        elif report.pace < SLOW_PACE and was_slow:
            self.kernel.events.emit(EngineUsual(engine.server_id, report.pace))

    def _log_failed(
        self, engine: BackendServer, cause: AnswerLost | DocumentInvalid, request_id: str
    ) -> None:
        """Log a failed report; of invalid or endless ones in succession, only the first."""
        if isinstance(cause, DocumentInvalid | ResponseTooLarge):
            if engine.incarnation_id in self._invalid:
                return
            self._invalid.add(engine.incarnation_id)
        self.kernel.events.emit(ReportFailed(engine.server_id, cause.detail, request_id))

    def _is_probably_cut_off(self) -> bool:
        """Return whether so many reports fail that this process is probably cut off itself.

        Its suspicions are sent to the peers, which would then avoid healthy engines.
        """
        return len(self._failures) > MAX_FAILING_SHARE * len(self._polled_s)

    async def _forget_gone(self, engines: list[BackendServer]) -> None:
        known = {engine.incarnation_id for engine in engines}
        for incarnation_id in self._polled_s.keys() - known:
            del self._polled_s[incarnation_id]
            self._failures.pop(incarnation_id, None)
            self._invalid.discard(incarnation_id)
        addresses = {engine.address for engine in engines}
        for address in self._calls.keys() - addresses:
            await self._calls.pop(address).close()
