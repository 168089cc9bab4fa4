"""Asks engines for their reports, and tells those who wait for a slow one."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import Service
from sassafrastally.proxy.backpressure import Backpressure, CallKind
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.log_events import EngineSlow, EngineUsual, ReportFailed
from sassafrastally.proxy.pace import SLOW_PACE, USUAL_PACE
from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.report_duty import has_report_duty, report_interval_s
from sassafrastally.proxy.sight import Sight
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.settings import ProxySettings

TICK_S = 0.1
"""Time between two looks at what is due: a third of the shortest interval of reports."""

FAILURES_IN_A_ROW = 2
"""Reports in a row that don't come and make an engine suspect, beside a request's silence: a single
one may be lost on the way."""

MOST_FAILING_SHARE = 0.5
"""Share of the engines asked by a process whose reports may fail for reasons of their own; more
don't crash at a time where each zone has its own power."""

REPORT_TIME_S = 0.4
"""Time for a report; an engine answers it from memory within some milliseconds."""


class EngineReports(Service):
    """Keeps the paces of the engines known.

    Parameters
    ----------
    settings
        The process's own address.
    dialect
        Translator of reports.
    """

    name: ClassVar[str] = "reports"
    needs: ClassVar[tuple[str, ...]] = ("backpressure", "beliefs", "peers", "sight")

    def __init__(self, settings: ProxySettings, dialect: Dialect) -> None:
        self._own_host = settings.host
        self._dialect = dialect
        self._calls: dict[Address, CallClient] = {}
        self._asked_s: dict[str, float] = {}
        self._asking: set[str] = set()
        self._failures: dict[str, int] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to ask."""
        self._beliefs = self.kernel.get("beliefs", Beliefs)
        self._peers = self.kernel.get("peers", Peers)
        self._sight = self.kernel.get("sight", Sight)
        self._backpressure = self.kernel.get("backpressure", Backpressure)
        self._nursery = nursery
        self._sight.ask_report = self._ask_for_request
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            engines = self._engines()
            await self._forget_gone(engines)
            for engine in self._due(engines):
                self._asked_s[engine.life_id] = self.kernel.clock.now_s()
                self._nursery.start_soon(self._ask, engine)
            self._sight.waiting_attempts.tell(self._sight.paces())

    def _engines(self) -> list[BackendServer]:
        configuration = self._beliefs.configuration
        if configuration is None:
            return []
        return [
            server
            for service in configuration.services.values()
            if service.engine is not None
            for server in self._beliefs.servers_of(service.name)
        ]

    def _due(self, engines: list[BackendServer]) -> list[BackendServer]:
        now_s = self.kernel.clock.now_s()
        hosts = self._hosts_on_duty(engines)
        doubted = self._sight.waiting_attempts.doubted(now_s)
        paces = self._sight.paces()
        due = []
        for engine in engines:
            life_id = engine.life_id
            is_doubted = life_id in doubted
            on_duty = hosts[engine.data_centre]
            if not is_doubted and not has_report_duty(life_id, self._own_host, on_duty):
                continue
            pace = paces.get(life_id, USUAL_PACE)
            limit_per_s = self._backpressure.limit_of(life_id)
            interval_s = report_interval_s(pace, limit_per_s, is_doubted=is_doubted)
            is_due = now_s - self._asked_s.get(life_id, float("-inf")) >= interval_s
            if is_due and self._backpressure.is_open(engine):
                due.append(engine)
        return due

    def _hosts_on_duty(self, engines: list[BackendServer]) -> dict[str, list[str] | None]:
        """Return who asks the engines of each data centre: its entries, or all if it has none."""
        own_centre = self.kernel.data_centre
        on_duty: dict[str, list[str] | None] = {}
        for data_centre in {engine.data_centre for engine in engines}:
            hosts = self._peers.hosts_near(data_centre)
            if hosts is not None and data_centre == own_centre:
                hosts = [*hosts, self._own_host]
            on_duty[data_centre] = self._everyone() if hosts == [] else hosts
        return on_duty

    def _everyone(self) -> list[str]:
        return [*self._peers.live_hosts(), self._own_host]

    def _ask_for_request(self, engine: BackendServer, request_id: str) -> None:
        """Ask an engine at once: one that doesn't report is left alone."""
        if engine.life_id not in self._asking and self._backpressure.is_open(engine):
            self._nursery.start_soon(self._ask, engine, request_id)

    async def _ask(self, engine: BackendServer, request_id: str = "") -> None:
        """Ask an engine for its report and note what it says, or that it says nothing."""
        self._asking.add(engine.life_id)
        try:
            await self._exchange(engine, request_id)
        finally:
            self._asking.discard(engine.life_id)

    async def _exchange(self, engine: BackendServer, request_id: str) -> None:
        client = self._calls.setdefault(engine.address, CallClient(engine.address))
        call = self._dialect.report_call(engine)
        self._backpressure.count_request(engine, CallKind.REPORT)
        try:
            status, body = await client.exchange(
                call.method, call.target, call.headers, call.body, REPORT_TIME_S
            )
            report = self._dialect.read_report(status, body)
        except (AnswerLost, DocumentInvalid) as cause:
            self.kernel.events.emit(ReportFailed(engine.server_id, cause.detail, request_id))
            failures = self._failures.get(engine.life_id, 0) + 1
            self._failures[engine.life_id] = failures
            if self._is_own_fault():
                return
            if request_id or failures >= FAILURES_IN_A_ROW:
                reason = f"no report: {cause.detail}"
                self._sight.note_failure(engine, reason, request_id, is_clear=True)
            return
        self._failures.pop(engine.life_id, None)
        if report.born_ms is not None and report.born_ms != engine.born_ms:
            return  # Another life of it answers at the address; its entry will tell of it.
        was_slow = engine.life_id in self._sight.paces()
        self._sight.note_pace(engine, report.pace)
        if report.pace >= SLOW_PACE and not was_slow:
            self.kernel.events.emit(EngineSlow(engine.server_id, report.pace))
        elif report.pace < SLOW_PACE and was_slow:
            self.kernel.events.emit(EngineUsual(engine.server_id, report.pace))

    def _is_own_fault(self) -> bool:
        """Return whether so many reports fail that this process is cut off, not the engines.

        Its suspicions are told to the peers, which would leave healthy engines alone for them.
        """
        return len(self._failures) > MOST_FAILING_SHARE * len(self._asked_s)

    async def _forget_gone(self, engines: list[BackendServer]) -> None:
        known = {engine.life_id for engine in engines}
        for life_id in self._asked_s.keys() - known:
            del self._asked_s[life_id]
            self._failures.pop(life_id, None)
        addresses = {engine.address for engine in engines}
        for address in self._calls.keys() - addresses:
            await self._calls.pop(address).close()
