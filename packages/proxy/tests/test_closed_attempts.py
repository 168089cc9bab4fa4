"""What is recorded about the server of an attempt that is closed for another one."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from sassafrastally.proxy.open_attempt import OpenAttempt
from sassafrastally.proxy.request_handler import RequestHandler
from sassafrastally.proxy.silence_watch import ServerWait

LIMIT_S = 1.3


def record_silence(attempt, detail):
    """Note that a server was silent, as the records of a request do."""
    attempt.silence_detail = detail


class TestRecordClosed:
    """Attempts that are closed while their server is silent."""

    @pytest.mark.parametrize(("silent_s", "is_tried"), [(0.2, False), (1.7, True)])
    async def test_silent_server_counts_as_tried(self, silent_s, is_tried):
        """Guards against a request whose last attempt goes to a server that has sent nothing for
        longer than its limit; it isn't recorded as silent while another attempt goes on."""
        server = SimpleNamespace(incarnation_id="one")
        attempt = OpenAttempt(server, 2, 0.0, ServerWait(0.0, LIMIT_S, LIMIT_S))
        attempt.is_sent = True
        attempt.close(None)
        handler = RequestHandler.__new__(RequestHandler)
        handler.progress = SimpleNamespace(tried={"one"})
        handler._clock = SimpleNamespace(now_s=lambda: silent_s)
        handler._records = SimpleNamespace(superseded=lambda _: None, silence=record_silence)
        handler._record_closed(attempt)
        assert ("one" in handler.progress.tried) is is_tried
