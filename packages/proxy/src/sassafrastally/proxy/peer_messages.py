"""Messages between entries, encoded with Cap'n Proto.

A datagram carries the sender's own work, or the sum over its data centre; servers that aren't
listed are idle. Changes of configuration and backend servers are fetched with a separate call when
a datagram names a newer revision.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from sassafrastally.core import is_ip_address
from sassafrastally.proxy.contention import (
    NO_CONTENTION_NEWS,
    ContentionNews,
    decode_contention,
    encode_contention,
    shortened,
)
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.failure_rates import FailureCounts, decode_failures, encode_failures
from sassafrastally.proxy.latest_datagrams import DatagramHeader, Sender
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.message_numbers import to_thousandths, to_uint16, to_uint32
from sassafrastally.proxy.part_trials import MAX_TRIALS_TOLD, TrialState
from sassafrastally.proxy.peer_schema import codec, schema
from sassafrastally.proxy.quarantine_exchange import (
    EMPTY_REPORT,
    AnswerReport,
    CrashReport,
    QuarantineReport,
    VerdictReport,
)
from sassafrastally.proxy.rate_limits import NO_SHARE_NEWS, Grant, LimitReport, ShareNews
from sassafrastally.proxy.store import StorePosition
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.proxy.value_ranges import COUNTER
from sassafrastally.proxy.warm_up import decode_colds, encode_colds

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

_Note = TypeVar("_Note")

MAX_DATAGRAM_BYTES = 1400
"""Datagrams are smaller than this, below a link's usual MTU. About 90 usual loads fit; if there are
more, the smallest are left out."""

MAX_FLAGGED_SERVERS = 45
"""Maximum number of suspects, and of slow engines, in one datagram; the rest is for loads."""

MAX_LIMITS_SENT = 20
"""Maximum number of server limits in one datagram; an entry learns the others from the servers'
answers."""

MAX_LISTED_PEERS = 64
"""Maximum number of peers listed in one datagram; a new entry discovers all others through any of
them."""

MAX_HELLO_WORDS = 2 * 1024
"""Traversal limit of a datagram in words of eight bytes: some times what a full one takes. A few
bytes can declare thousands of empty elements, each of which takes microseconds to decode."""


class Hello(NamedTuple):
    """State that an entry sends to its peers, or the sum that a relay sends."""

    host: str
    boot_id: int
    sequence: int
    position: StorePosition
    confirmed_age_s: float
    is_stopping: bool
    loads: dict[int, Work]
    peers: tuple[str, ...]
    suspects: dict[int, float]
    """Remaining seconds for which a backend server is avoided, by hash of its id."""
    paces: dict[int, float]
    """Pace of each slow engine, by hash of its id."""
    store_age_s: float
    """Time since the store last answered the sender itself."""
    returned_age_s: float
    """Time since the store last returned from an outage, as far as the sender knows."""
    data_centre: str
    link_mbps: int
    """Speed of the sender's link, megabits a second."""
    entries: int = 0
    """0 if the message describes the sender alone. Otherwise loads, suspects and paces are
    aggregated over this many entries of its data centre, and `peers` lists them."""
    watchers: tuple[WatchCandidate, ...] = ()
    """In a sum: the entries of the data centre that may watch the store for all."""
    quarantine: QuarantineReport = EMPTY_REPORT
    """Updates on requests during which servers crash."""
    limits: Mapping[int, LimitReport] = MappingProxyType({})
    """Request rate limits that servers announce, by hash of the id, the latest first."""
    configuration_version: int = 0
    """Version of the configuration in force; 0 if none is known."""
    draining: tuple[int, ...] = ()
    """Draining servers that a restored store names as ready, by hash of the id."""
    is_to_forward: bool = False
    """In a sum: whether the relay that receives it forwards it to the entries of its own data
    centre."""
    shares: ShareNews = NO_SHARE_NEWS
    """Demand for shares of limits, and grants."""
    is_overloaded: bool = False
    """Whether the sender leaves duties to others that can take them."""
    contention: ContentionNews = NO_CONTENTION_NEWS
    """Customers' work and refused requests while requests wait for room."""
    colds: Mapping[int, float] = MappingProxyType({})
    """Remaining cold times that responses have stated, by hash of the id, longest first."""
    failures: Mapping[int, FailureCounts] = MappingProxyType({})
    """Recent failures and responses of failing servers, by hash of the id, the most failures first;
    in a sum those of all its entries."""


def encode_hello(hello: Hello) -> bytes:
    """Encode a datagram; if too large, drop contention, then loads, then shares, then the rest."""
    loads = sorted(hello.loads.items(), key=lambda item: (-item[1].prefill_ms, -item[1].requests))
    while True:
        data = _encode(hello, loads)
        if len(data) < MAX_DATAGRAM_BYTES:
            return data
        if hello.contention != NO_CONTENTION_NEWS:
            hello = hello._replace(contention=shortened(hello.contention))
        elif loads:
            del loads[min(len(loads) - 1, len(loads) * MAX_DATAGRAM_BYTES // len(data)) :]
        elif any(hello.shares):
            hello = hello._replace(shares=NO_SHARE_NEWS)
        elif hello.suspects or hello.paces or hello.limits or hello.failures:
            hello = hello._replace(
                suspects=_first_half(hello.suspects),
                paces=_first_half(hello.paces),
                limits=_first_half(hello.limits),
                failures=_first_half(hello.failures),
            )
        elif hello.colds:
            hello = hello._replace(colds=_first_half(hello.colds))
        else:
            return data


def _first_half(notes: Mapping[int, _Note]) -> dict[int, _Note]:
    kept = min(len(notes), MAX_FLAGGED_SERVERS) // 2
    return dict(list(notes.items())[:kept])


def _encode(hello: Hello, loads: Sequence[tuple[int, Work]]) -> bytes:
    message = schema().Hello.new_message(
        host=hello.host,
        bootId=hello.boot_id,
        sequence=hello.sequence,
        revision=hello.position.revision,
        epoch=hello.position.epoch,
        configurationVersion=hello.configuration_version,
        draining=list(hello.draining),
        isToForward=hello.is_to_forward,
        isOverloaded=hello.is_overloaded,
        confirmedAgeMs=to_thousandths(hello.confirmed_age_s),
        isStopping=hello.is_stopping,
        loads=[_encode_load(key, work) for key, work in loads],
        peers=list(hello.peers[:MAX_LISTED_PEERS]),
        suspects=[
            {"server": key, "forMs": to_thousandths(for_s)}
            for key, for_s in list(hello.suspects.items())[:MAX_FLAGGED_SERVERS]
        ],
        paces=[
            {"server": key, "percent": to_uint32(pace * 100)}
            for key, pace in list(hello.paces.items())[:MAX_FLAGGED_SERVERS]
        ],
        storeAgeMs=to_thousandths(hello.store_age_s),
        returnedAgeMs=to_thousandths(hello.returned_age_s),
        dataCentre=hello.data_centre,
        linkMbps=hello.link_mbps,
        entries=to_uint16(hello.entries),
        watchers=[
            {
                "host": watcher.host,
                "storeAgeMs": to_thousandths(watcher.store_age_s),
                "linkMbps": watcher.link_mbps,
                "isOverloaded": watcher.is_overloaded,
            }
            for watcher in hello.watchers
        ],
        crashes=[
            {
                "request": crash.subject,
                "server": crash.server,
                "ageMs": to_thousandths(crash.age_s),
                "isPresumed": crash.is_presumed,
            }
            for crash in hello.quarantine.crashes
        ],
        verdicts=[
            {
                "request": verdict.subject,
                "leftMs": to_thousandths(verdict.left_s),
                "crashes": to_uint16(verdict.crashes),
                "companions": list(verdict.companions),
                "trialsBegun": min(verdict.trials.begun, MAX_TRIALS_TOLD),
                "trialsWithoutCrash": min(verdict.trials.without_crash, MAX_TRIALS_TOLD),
                "hasTrialCrashed": verdict.trials.has_crashed,
            }
            for verdict in hello.quarantine.verdicts
        ],
        answers=[
            {"request": answer.subject, "ageMs": to_thousandths(answer.age_s)}
            for answer in hello.quarantine.answers
        ],
        limits=[
            _encode_limit(key, report)
            for key, report in list(hello.limits.items())[:MAX_LIMITS_SENT]
        ],
        **_encode_shares(hello.shares),
        **encode_contention(hello.contention),
        **encode_colds(hello.colds),
        **encode_failures(hello.failures),
    )
    data: bytes = message.to_bytes_packed()
    return data


def decode_header(data: bytes) -> DatagramHeader | None:
    """Decode what determines whether a later datagram replaces one; ``None`` if it is invalid."""
    try:
        message = _open_hello(data)
        sender = Sender(message.host, message.bootId, bool(message.entries))
        events = (message.crashes, message.verdicts, message.answers, message.grants, message.peers)
        return DatagramHeader(sender, message.sequence, has_events=any(map(len, events)))
    except (codec().KjException, ValueError):
        return None


def _open_hello(data: bytes) -> Any:
    return schema().Hello.from_bytes_packed(data, traversal_limit_in_words=MAX_HELLO_WORDS)


def decode_hello(data: bytes) -> Hello:
    """Decode a datagram; raises `DocumentInvalid`."""
    try:
        message = _open_hello(data)
        return Hello(
            host=_host(message.host),
            boot_id=message.bootId,
            sequence=message.sequence,
            position=decode_position(message),
            confirmed_age_s=message.confirmedAgeMs / 1000,
            is_stopping=message.isStopping,
            loads={load.server: _decode_load(load) for load in message.loads},
            peers=tuple(_host(peer) for peer in message.peers),
            suspects={suspect.server: suspect.forMs / 1000 for suspect in message.suspects},
            paces={pace.server: pace.percent / 100 for pace in message.paces},
            store_age_s=message.storeAgeMs / 1000,
            returned_age_s=message.returnedAgeMs / 1000,
            data_centre=message.dataCentre,
            link_mbps=message.linkMbps,
            entries=message.entries,
            watchers=tuple(
                WatchCandidate(
                    _host(watcher.host),
                    watcher.storeAgeMs / 1000,
                    watcher.linkMbps,
                    is_overloaded=watcher.isOverloaded,
                )
                for watcher in message.watchers
            ),
            quarantine=_decode_quarantine(message),
            limits={limit.server: _decode_limit(limit) for limit in message.limits},
            configuration_version=decode_counter(message.configurationVersion),
            draining=tuple(message.draining),
            is_to_forward=message.isToForward,
            shares=_decode_shares(message),
            is_overloaded=message.isOverloaded,
            contention=decode_contention(message),
            colds=decode_colds(message),
            failures=decode_failures(message),
        )
    except (codec().KjException, ValueError) as cause:
        raise DocumentInvalid(f"invalid datagram from a peer: {cause!r}") from cause


def _host(text: str) -> str:
    if not is_ip_address(text):
        raise ValueError(f"not an IP address: {text[:60]!r}")
    return text


def decode_counter(value: int) -> int:
    """Return a counter of the store; raises `ValueError`."""
    if not COUNTER.holds(value):
        raise ValueError(f"more than 63 bits: {value}")
    return value


def decode_position(message: Any) -> StorePosition:
    """Return the position of a message; raises `ValueError`."""
    return StorePosition(decode_counter(message.epoch), decode_counter(message.revision))


def encode_forwarded(data: bytes) -> bytes:
    """Return a received sum as it is forwarded: unchanged, but not to be forwarded again."""
    message = schema().Hello.from_bytes_packed(data).as_builder()
    message.isToForward = False
    forwarded: bytes = message.to_bytes_packed()
    return forwarded


def _decode_quarantine(message: Any) -> QuarantineReport:
    return QuarantineReport(
        crashes=tuple(
            CrashReport(crash.request, crash.server, crash.ageMs / 1000, crash.isPresumed)
            for crash in message.crashes
        ),
        verdicts=tuple(
            VerdictReport(
                verdict.request,
                verdict.leftMs / 1000,
                verdict.crashes,
                tuple(verdict.companions),
                TrialState(
                    verdict.trialsBegun, verdict.trialsWithoutCrash, verdict.hasTrialCrashed
                ),
            )
            for verdict in message.verdicts
        ),
        answers=tuple(
            AnswerReport(answer.request, answer.ageMs / 1000) for answer in message.answers
        ),
    )


def _encode_limit(key: int, report: LimitReport) -> dict[str, int | bool]:
    return {
        "server": key,
        "milliPerSecond": to_thousandths(report.most_per_s or 0.0),
        "isEnded": report.most_per_s is None,
        "ageMs": to_thousandths(report.age_s),
    }


def _decode_limit(limit: Any) -> LimitReport:
    most_per_s = None if limit.isEnded else limit.milliPerSecond / 1000
    return LimitReport(most_per_s, limit.ageMs / 1000)


def _encode_shares(shares: ShareNews) -> dict[str, list[dict[str, int]]]:
    if not any(shares):
        return {}  # Even an empty list takes some bytes.
    return {
        "demands": [
            {"service": key, "requests": requests & 0xFFFFFFFF}
            for key, requests in shares.demands.items()
        ],
        "grants": [
            {
                "server": grant.server,
                "grantee": grant.grantee,
                "requests": grant.requests,
                "validMs": to_thousandths(grant.valid_s),
                "number": grant.number & 0xFFFFFFFF,
            }
            for grant in shares.grants
        ],
    }


def _decode_shares(message: Any) -> ShareNews:
    if not message.demands and not message.grants:
        return NO_SHARE_NEWS
    return ShareNews(
        {demand.service: demand.requests for demand in message.demands},
        tuple(
            Grant(one.server, one.grantee, one.requests, one.validMs / 1000, one.number)
            for one in message.grants
        ),
    )


def _encode_load(key: int, work: Work) -> dict[str, int]:
    return {
        "server": key,
        "shortRequests": to_uint16(work.short_requests),
        "longRequests": to_uint16(work.long_requests),
        "readingRequests": to_uint16(work.prefill_requests),
        "plainRequests": to_uint16(work.plain_requests),
        "kiloTokens": to_uint32(-(-work.tokens // 1000)),
        "readingMs": to_uint32(work.prefill_ms),
        "kiloTokensWriting": to_uint32(-(-work.decoding_tokens // 1000)),
        "suspectRequests": to_uint16(work.suspect_requests),
    }


def _decode_load(load: Any) -> Work:
    return Work(
        short_requests=load.shortRequests,
        long_requests=load.longRequests,
        prefill_requests=load.readingRequests,
        plain_requests=load.plainRequests,
        tokens=load.kiloTokens * 1000,
        prefill_ms=float(load.readingMs),
        decoding_tokens=load.kiloTokensWriting * 1000,
        suspect_requests=load.suspectRequests,
    )
