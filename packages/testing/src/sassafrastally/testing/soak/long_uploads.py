"""An entry that gets CPU time in turns only, beside callers who hand over long requests at once."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from sassafrastally.testing.soak.reconnecting import UNREAD_S
from sassafrastally.testing.soak.record import TIME_LEFT_S, Kind
from sassafrastally.testing.soak.scheduling import describe_lags
from sassafrastally.testing.soak.starving import change, run_in_turns
from sassafrastally.testing.soak.troubles import STARTED, some_entries, stop_one, trouble
from sassafrastally.testing.soak.uploading import SentUpload, UploadingCaller

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.stand_ins.received_request import ReceivedRequest
    from sassafrastally.testing.soak.fleet import SoakFleet
    from sassafrastally.testing.soak.uploading import Upload

UPLOADS = "uploads-starved"

CALLERS = (16, 24)

BODY_BYTES = (150_000, 1_000_000, 2_500_000, 3_000_000, 3_500_000)

KINDS = (Kind.LOOK, Kind.BOOK)

DURATION_S = (3.0, 5.0)

CHANGE_GAP_S = (0.5, 1.5)

STOP_SHARE = 0.5
"""Share of these times in which the entry stops too."""

IN_TIME_S = 0.2
"""A request that was handed over so soon after the connect is well within the limit of 0.5 s."""

TRIM_S = 0.2
"""How often the bodies that servers have received are checked and dropped."""

LATE = 408
REFUSED = 503
DENIALS = frozenset({400, 401, 403, 404, 413, 431})


@trouble(UPLOADS)
async def starve_beside_uploads(fleet: SoakFleet) -> None:
    """Let an entry run in turns while callers hand over long requests and its settings change.

    In half of these times, the entry stops too.
    """
    (number,) = some_entries(fleet, 0.0)
    if number in fleet.stalled_entries:
        return
    fleet.stalled_entries.add(number)
    callers = {_start_caller(fleet, number, kind): kind for kind in _draw_kinds(fleet)}
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_drop_bodies, fleet)
            with fleet.record.trouble(UPLOADS, [number]):
                await _starve(fleet, number)
                for caller, kind in callers.items():
                    sent = await trio.to_thread.run_sync(caller.end)
                    fleet.uploads += [SentUpload(number, kind, _on_own_clock(one)) for one in sent]
            nursery.cancel_scope.cancel()
    finally:
        fleet.stalled_entries.discard(number)
        for caller in callers:
            caller.kill()


def _draw_kinds(fleet: SoakFleet) -> Sequence[Kind]:
    return fleet.random.choices(KINDS, k=fleet.random.randint(*CALLERS))


def _start_caller(fleet: SoakFleet, number: int, kind: Kind) -> UploadingCaller:
    address = fleet.entries[number].callers_address
    body_bytes = fleet.random.choice(BODY_BYTES)
    return UploadingCaller(address, f"/{kind.value}/upload", body_bytes, TIME_LEFT_S)


async def _starve(fleet: SoakFleet, number: int) -> None:
    duration_s = fleet.random.uniform(*DURATION_S)
    if fleet.random.random() < STOP_SHARE:
        fleet.nursery.start_soon(_stop_after, fleet, number, fleet.random.uniform(0.0, duration_s))
    with trio.move_on_after(duration_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_in_turns, fleet, number)
            while True:
                await trio.sleep(fleet.random.uniform(*CHANGE_GAP_S))
                await change(fleet, number)


async def _stop_after(fleet: SoakFleet, number: int, pause_s: float) -> None:
    await trio.sleep(pause_s)
    await stop_one(fleet, number)


def _on_own_clock(upload: Upload) -> Upload:
    ahead_s = trio.current_time() - time.monotonic()
    return upload._replace(
        connected_s=upload.connected_s + ahead_s,
        handed_over_s=None if upload.handed_over_s is None else upload.handed_over_s + ahead_s,
        ended_s=upload.ended_s + ahead_s,
    )


async def _drop_bodies(fleet: SoakFleet) -> None:
    """Check the long bodies that servers have received, and drop them, until cancelled."""
    while True:
        await trio.sleep(TRIM_S)
        for replica in fleet.all_replicas:
            for arrival in replica.received_requests:
                request = arrival.request
                if request.target.endswith("/upload") and request.body:
                    _check_body(fleet, arrival)
                    arrival.request = request._replace(body=b"")


def _check_body(fleet: SoakFleet, arrival: ReceivedRequest) -> None:
    body = arrival.request.body
    if len(body) not in BODY_BYTES or body.strip(b"x"):
        detail = f"upload {arrival.request_id}: {len(body)} bytes, not the caller's"
        fleet.record.note_broken("unchanged", detail)


def judge_uploads(fleet: SoakFleet, arrivals: Mapping[str, Sequence[ReceivedRequest]]) -> None:
    """Judge long requests whose callers had handed them over in time, by their own clock.

    Each gets an answer or a true refusal, never one that calls its caller late, or is cut off so
    soon that it counts as unread. The time that its caller waited for a processor isn't counted.
    """
    for sent in fleet.uploads:
        entry, kind, upload = sent
        runs = sum(arrival.has_run for arrival in arrivals[upload.request_id])
        if kind is Kind.BOOK and runs > 1:
            _break(fleet, "at most once", sent, f"{runs} runs")
        if runs and (upload.status == REFUSED or (upload.status == LATE and kind is Kind.BOOK)):
            _break(fleet, "not run is true", sent, "and it ran")
        if upload.handed_over_s is None or upload.handed_over_s - upload.connected_s > IN_TIME_S:
            continue
        if not fleet.record.is_calm(
            entry, upload.connected_s, upload.ended_s, but_for=(UPLOADS, STARTED)
        ):
            continue
        cut_s = upload.ended_s - upload.handed_over_s - upload.waited_s
        if upload.status == LATE:
            _break(fleet, "a request that was handed over in time isn't refused as late", sent)
        elif upload.status in DENIALS:
            _break(fleet, "denied", sent)
        elif not upload.status and cut_s > UNREAD_S:
            promise = "who handed over a long request in time is answered"
            _break(fleet, promise, sent, f"cut {cut_s:.3f} s after its last byte")


def _break(fleet: SoakFleet, promise: str, sent: SentUpload, detail: str = "") -> None:
    upload = sent.upload
    handed_over = (
        "never"
        if upload.handed_over_s is None
        else (f"{upload.handed_over_s - upload.connected_s:.3f} s")
    )
    begin_s, end_s = upload.connected_s, upload.ended_s
    own_lag_s = fleet.record.own_lag_s(begin_s, end_s)
    lags = describe_lags(fleet.scheduling, own_lag_s, sent.entry, begin_s, end_s)
    fleet.record.note_broken(
        promise,
        f"upload {upload.request_id} ({sent.kind.value}) at entry {sent.entry}, begun "
        f"{upload.connected_s - fleet.record.begin_s:.2f} s: status {upload.status} after "
        f"{upload.ended_s - upload.connected_s:.3f} s, handed over: {handed_over}; {detail}; "
        f"{lags}",
    )
