"""Heavy load, early retries, evacuations and cold servers: troubles, and what is promised."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

import trio

from sassafrastally.platform.discovery import KEYS
from sassafrastally.stand_ins.documents import CUSTOMER, with_cold_time
from sassafrastally.testing.soak.callers import GIVES_UP_S
from sassafrastally.testing.soak.entry_process import COLD_OVERRUN, COLD_SLACK, EVACUATED_S
from sassafrastally.testing.soak.fleet import NEIGHBOURS
from sassafrastally.testing.soak.record import KIND_WEIGHTS, HarmedSpan, Kind
from sassafrastally.testing.soak.troubles import NoServerFree, claimed, some_server, trouble

if TYPE_CHECKING:
    from sassafrastally.testing.soak.fleet import Server, SoakFleet

HEAVY_LOAD = "heavy-load"
EVACUATED = "evacuated"
COLD = "server-cold"
EARLY = "early-retries"
ONE_CUSTOMER = "one-customer"

KINDS = (HEAVY_LOAD, EVACUATED, COLD, EARLY, ONE_CUSTOMER)
"""Names of the troubles of this module."""

NOT_OF_ENTRIES = (*KINDS, "server-", "burst", "harmful-request", "callers-links")
"""Troubles that harm no entry, nor its way to store and peers: they excuse nothing here."""

NOT_OF_WAITS = tuple(name for name in NOT_OF_ENTRIES if name != "callers-links")
"""Troubles that excuse no caller's wait; a harmed link of the caller's own does."""

EARLY_SHARE = 0.5
"""Share of the refused callers that retry at once."""

HEAVY_RATE = 3.0
"""How many times the usual load callers press with."""

FLOODS = (
    {**KIND_WEIGHTS, Kind.NOTE: 100},
    {**KIND_WEIGHTS, Kind.NOTE: 10, Kind.DOSSIER: 25},
)
"""Weights of the kinds while short prompts flood, and while long ones do."""

HELD_UP_S = 0.5
"""What a busy machine may add to a bound."""

TOLD_S = 1.0
"""Time from a server's record that it is cold until all entries must know it."""

REPORTED_SHARE = 0.5
"""Share of the cold servers that say so only in their reports."""

REPORT_S = 1.0
"""Time within which some entry reads an engine's report."""

NOT_OF_REPORTS = (*KINDS, "burst", "server-crashed", "server-drained", "server-replaced")
"""Troubles that keep no entry from reading the report of another server."""

CRASH_FACTOR = 3.0
"""A cold server crashes above so many times the rate that it accepts."""

LOOK_S = 0.05
WINDOW_S = 1.0


@trouble(HEAVY_LOAD)
async def press_heavily(fleet: SoakFleet) -> None:
    """Let short and long prompts flood in turns."""
    with fleet.record.trouble(HEAVY_LOAD):
        fleet.rate = HEAVY_RATE
        for _ in range(fleet.random.randint(2, 4)):
            for weights in FLOODS:
                fleet.weights = weights
                await trio.sleep(fleet.random.uniform(0.5, 1.5))
        fleet.weights, fleet.rate = KIND_WEIGHTS, 1.0


@trouble(EARLY)
async def retry_early(fleet: SoakFleet) -> None:
    """Let callers ignore Retry-After and send refused requests again, several times at once."""
    with fleet.record.trouble(EARLY):
        fleet.early_share = EARLY_SHARE
        await trio.sleep(fleet.random.uniform(2.0, 6.0))
        fleet.early_share = 0.0


@trouble(ONE_CUSTOMER)
async def give_one_customer_half(fleet: SoakFleet) -> None:
    """Let one customer press with half of a heavy load, and its neighbours with the rest."""
    if not fleet.has_priorities:
        raise NoServerFree  # The configuration has no other customers.
    with fleet.record.trouble(ONE_CUSTOMER):
        fleet.customers = {CUSTOMER: len(NEIGHBOURS), **dict.fromkeys(NEIGHBOURS, 1)}
        fleet.rate = HEAVY_RATE
        await trio.sleep(fleet.random.uniform(2.0, 6.0))
        fleet.customers, fleet.rate = {CUSTOMER: 1}, 1.0


@trouble(EVACUATED)
async def evacuate(fleet: SoakFleet) -> None:
    """Let the operator evacuate one of the two data centres for a while."""
    if fleet.evacuating:
        raise NoServerFree
    data_centre = fleet.random.choice(fleet.data_centres)
    key = KEYS.evacuations_prefix + data_centre
    fleet.evacuating = True
    with fleet.record.trouble(EVACUATED, planned=True):
        fleet.write(key, b"{}")
        begin_s = trio.current_time()
        await trio.sleep(fleet.random.uniform(1.0, 2.5 * EVACUATED_S))
        fleet.evacuations.append(HarmedSpan(data_centre, begin_s, trio.current_time()))
        fleet.remove(key)
    fleet.evacuating = False


@trouble(COLD)
async def cool_server(fleet: SoakFleet) -> None:
    """Let an engine become cold: it crashes well above the rate that it then accepts."""
    server = some_server(fleet)
    if server.replica.service != "engines":
        raise NoServerFree
    with claimed(server), fleet.record.trouble(COLD):
        begin_s, cold_s = trio.current_time(), fleet.cold_s
        server_id = server.replica.server_id
        is_only_reported = fleet.random.random() < REPORTED_SHARE
        if is_only_reported:
            # Longer, as the entries know it only once one of them has read a report.
            cold_s += 2 * REPORT_S
            server.replica.turn_cold(cold_s, fleet.cold_per_s)
        else:
            record = with_cold_time(server.replica.entry(), cold_s)
            fleet.write(KEYS.servers_prefix + server_id, record)
        crashed = await _crashes(server, begin_s + cold_s, fleet.cold_per_s)
        if not is_only_reported:
            fleet.cold.append(HarmedSpan(server_id, begin_s, trio.current_time()))
        elif _are_reports_read(fleet, begin_s):
            fleet.cold.append(HarmedSpan(server_id, begin_s + REPORT_S, trio.current_time()))
        if crashed:
            fleet.end_life(server)
            fleet.unregister(server)
            await fleet.begin_life(server)
        fleet.register(server)


def _are_reports_read(fleet: SoakFleet, begin_s: float) -> bool:
    """Return whether nothing has kept the entries from reading reports and telling each other."""
    now_s = trio.current_time()
    return all(
        fleet.record.is_calm(entry, begin_s, now_s, with_planned=True, but_for=NOT_OF_REPORTS)
        for entry in fleet.entries
    )


async def _crashes(server: Server, until_s: float, per_s: float) -> bool:
    """Return whether a cold server gets far more than it accepts before it is warm."""
    while trio.current_time() < until_s:
        since_s = trio.current_time() - WINDOW_S
        if server.replica.has_crashed.is_set():
            return True
        if sum(one.at_s > since_s for one in server.replica.received_requests) > (
            CRASH_FACTOR * per_s
        ):
            return True
        await trio.sleep(LOOK_S)
    return False


def judge_contention(fleet: SoakFleet) -> None:
    """Judge evacuations, cold servers, and the callers' waits."""
    _judge_evacuations(fleet)
    _judge_cold(fleet)
    _judge_waits(fleet)


def _judge_waits(fleet: SoakFleet) -> None:
    endless = [
        attempt.attempt_id
        for attempt in fleet.record.attempts.values()
        if attempt.ended_s is not None
        and not attempt.is_whole
        and not attempt.has_left
        and attempt.ended_s - attempt.sent_s >= GIVES_UP_S
        and fleet.record.is_calm(
            attempt.entry, attempt.sent_s, attempt.ended_s, but_for=NOT_OF_WAITS
        )
    ]
    if endless:
        fleet.record.note_broken("every wait ends", ", ".join(endless[:5]))


def _judge_evacuations(fleet: SoakFleet) -> None:
    for span in fleet.evacuations:
        late = []
        for replica in fleet.all_replicas:
            if replica.data_centre != span.name:
                continue
            for arrival in replica.received_requests:
                attempt = fleet.record.attempts.get(arrival.request_id)
                if attempt is None or not span.begin_s < arrival.at_s < span.end_s:
                    continue
                calm_s = fleet.record.calm_since_s(attempt.entry, arrival.at_s, NOT_OF_ENTRIES)
                if arrival.at_s > max(span.begin_s, calm_s) + EVACUATED_S + HELD_UP_S:
                    late.append(f"{replica.server_id} after {arrival.at_s - span.begin_s:.2f} s")
        if late:
            fleet.record.note_broken("evacuated data centres get nothing", ", ".join(late[:5]))


def _judge_cold(fleet: SoakFleet) -> None:
    most = fleet.cold_per_s * COLD_OVERRUN + COLD_SLACK
    for span in fleet.cold:
        (replica,) = [one for one in fleet.all_replicas if one.server_id == span.name]
        times_s = sorted(
            arrival.at_s
            for arrival in replica.received_requests
            if span.begin_s + TOLD_S < arrival.at_s < span.end_s
            and _is_from_calm_entry(fleet, arrival.request_id, arrival.at_s)
        )
        counts = [
            place + 1 - bisect_left(times_s, at_s - WINDOW_S) for place, at_s in enumerate(times_s)
        ]
        if max(counts, default=0) > most:
            detail = f"{span.name}: {max(counts)} in a second, {most:g} at most"
            fleet.record.note_broken("cold servers get few requests", detail)


def _is_from_calm_entry(fleet: SoakFleet, request_id: str, at_s: float) -> bool:
    attempt = fleet.record.attempts.get(request_id)
    return attempt is not None and fleet.record.is_calm(
        attempt.entry, at_s - WINDOW_S, at_s, but_for=NOT_OF_ENTRIES
    )
