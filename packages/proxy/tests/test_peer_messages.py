"""Datagrams between entries."""

from __future__ import annotations

import random

from sassafrastally.proxy.crash_records import MAX_CRASHES_SENT
from sassafrastally.proxy.departures import MAX_ANNOUNCED
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.quarantine import Quarantine
from sassafrastally.proxy.quarantine_exchange import (
    AnswerReport,
    CrashReport,
    QuarantineReport,
    VerdictReport,
)
from sassafrastally.proxy.rate_limits import Grant, LimitReport, ShareNews
from sassafrastally.proxy.store import StorePosition

POSITION = StorePosition(1, 12)


class TestDatagram:
    """Encoding and decoding of one datagram, and its size."""

    def test_encodes_and_decodes_all_fields(self):
        hello = Hello(
            host="10.0.0.1",
            boot_id=7,
            sequence=3,
            position=StorePosition(2, 12),
            confirmed_age_s=0.5,
            is_stopping=False,
            loads={5: Work(1, 2, 3, 4, 5000, 60.0, suspect_requests=6)},
            peers=("10.0.0.2",),
            suspects={9: 1.5},
            paces={9: 2.5},
            store_age_s=0.25,
            returned_age_s=7.5,
            data_centre="here",
            link_mbps=100,
            limits={9: LimitReport(2.5, 0.125), 10: LimitReport(None, 1.0)},
            shares=ShareNews({6: 3}, (Grant(9, 1 << 63, 1, 1.75, 4),)),
            configuration_version=44,
            draining=(1 << 63, 5),
            quarantine=QuarantineReport(
                (CrashReport(1 << 63, 2, 0.25),),
                (VerdictReport(3, 599.5, 4),),
                (AnswerReport(5, 1.5),),
            ),
        )
        assert decode_hello(encode_hello(hello)) == hello

    def test_size_is_bounded_with_many_loads(self):
        loads = {n << 40: Work(1, 2, 3, 4, 400_000, 60_000.0) for n in range(200)}
        hello = Hello(
            "10.0.0.1",
            7,
            3,
            POSITION,
            0.5,
            False,
            loads,
            (),
            {},
            {},
            0.0,
            0.0,
            "here",
            10,
        )
        assert len(encode_hello(hello)) < 1400

    def test_size_is_bounded_with_all_kinds_of_news(self):
        """Guards against datagrams that are too large to be received, with all fields filled."""
        draw = random.Random(1)
        keys = [draw.getrandbits(64) for _ in range(200)]
        hello = Hello(
            "10.0.0.1", 7, 3, POSITION, 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
        )._replace(
            loads=dict.fromkeys(keys, Work(1, 2, 3, 4, 400_000, 60_000.0)),
            peers=tuple(f"10.1.0.{number}" for number in range(30)),
            suspects={key: 8.0 * draw.random() for key in keys},
            paces={key: 1.3 + draw.random() for key in keys},
            limits={key: LimitReport(draw.random(), draw.random()) for key in keys},
            shares=ShareNews(
                dict.fromkeys(keys[:8], 9), tuple(Grant(key, key, 1, 1.5, 7) for key in keys[:12])
            ),
            draining=tuple(keys[:MAX_ANNOUNCED]),
        )
        data = encode_hello(hello)
        assert len(data) < 1400
        assert decode_hello(data).limits
        assert decode_hello(data).suspects

    def test_has_room_for_loads_beside_quarantine_news(self):
        """Many servers crash at once, each while running many requests. Guards against crash
        records that leave no room for loads: peers would all choose the same busy engines."""
        draw = random.Random(1)
        quarantine = Quarantine()
        for number in range(300):
            fingerprint = draw.getrandbits(64)
            for _ in range(3 if number < 20 else 1):
                quarantine.record_crash(fingerprint, draw.getrandbits(64), 1.0, is_own=True)
        report = quarantine.report(1.0, is_full=True)
        loads = {draw.getrandbits(64): Work(1, 2, 3, 4, 400_000, 60_000.0) for _ in range(200)}
        hello = Hello(
            "10.0.0.1",
            7,
            3,
            POSITION,
            0.5,
            False,
            loads,
            (),
            {},
            {},
            0.0,
            0.0,
            "here",
            10,
        )
        received = decode_hello(encode_hello(hello._replace(quarantine=report)))
        assert len(encode_hello(hello._replace(quarantine=report))) < 1400
        assert len(received.quarantine.crashes) == MAX_CRASHES_SENT
        assert len(received.loads) >= 30
