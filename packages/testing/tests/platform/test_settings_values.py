"""Settings with values out of range, and what uses them.

Values that a decoder accepts go through the decisions and encodings that use them, none of which
may fail.
"""

from __future__ import annotations

import json
import math

from hypothesis import given
from hypothesis import strategies as st

from sassafrastally.core import FindingsError
from sassafrastally.platform.settings import decode_settings
from sassafrastally.proxy.peer_messages import (
    encode_hello,
)
from sassafrastally.proxy.warm_up import ColdBound
from sassafrastally.stand_ins.documents import SETTINGS
from sassafrastally.testing.outside_values import (
    JSON_VALUES,
    NUMBERS,
    hello,
    many_examples,
)


class TestSettings:
    """The settings file."""

    @many_examples
    @given(st.data())
    def test_are_used_or_reported(self, data):
        """Guards against a process that ends at a reload of an odd settings file."""
        document = json.loads(json.dumps(SETTINGS))
        document["bounds"] |= {"coldOverrun": 1.0, "coldSlack": 0}
        document["limits"] |= {"memoryMb": 200, "maxFds": 4100}
        part = data.draw(
            st.sampled_from([document, document["bounds"], document["limits"], document["listen"]])
        )
        part[data.draw(st.sampled_from(sorted(part)))] = data.draw(NUMBERS | JSON_VALUES)
        try:
            decoded = decode_settings(json.dumps(document), "settings.json")
        except FindingsError:
            return
        assert math.isfinite(decoded.bounds.stop_time_s + decoded.registration_expiry_s)
        assert ColdBound(decoded.bounds.cold_overrun, decoded.bounds.cold_slack).requests(8.0) >= 1
        encode_hello(hello(link_mbps=decoded.link_mbps, data_centre=decoded.data_centre))
