"""The settings file and what is wrong with it."""

from __future__ import annotations

import json
import socket

import pytest

from sassafrastally.core import FindingsError
from sassafrastally.platform.process import EXIT_SETTINGS, run_process
from sassafrastally.platform.settings import decode_settings
from sassafrastally.proxy.early_listener import listen_early

GOOD = {
    "node": "edge-1",
    "ip": "10.1.0.40",
    "zone": "here",
    "listen": {"front": "10.1.0.40:8227", "readiness": "10.1.0.40:8220"},
    "internalPorts": [7340, 7355],
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetExtraTries": 102,
    },
    "platform": {"address": "10.200.1.7:8223"},
    "limits": {"linkMbps": 1000.0},
    "something new": True,
}


class TestSettings:
    """Decoding and checking."""

    def test_good_file(self):
        settings = decode_settings(json.dumps(GOOD), "settings.json")
        assert settings.callers_address.port == 8227
        assert settings.bounds.retry_window_s == 10.0

    def test_all_findings_come_together_with_their_place(self):
        bad = {**GOOD, "ip": None, "listen": {"front": "nowhere"}}
        del bad["bounds"]
        with pytest.raises(FindingsError) as caught:
            decode_settings(json.dumps(bad), "settings.json")
        places = {finding.place.key for finding in caught.value.findings}
        assert {"ip", "listen.front", "listen.readiness", "bounds.graceS"} <= places
        assert all(finding.place.file == "settings.json" for finding in caught.value.findings)

    @pytest.mark.parametrize("text", ["", "[1]", "{", "null"])
    def test_file_of_any_content_gives_findings(self, text):
        with pytest.raises(FindingsError):
            decode_settings(text, "settings.json")

    def test_process_ends_with_the_documented_code(self, tmp_path, capsys):
        file = tmp_path / "settings.json"
        assert run_process(str(file), None) == EXIT_SETTINGS
        file.write_text("{}")
        assert run_process(str(file), None) == EXIT_SETTINGS
        assert "listen.front: missing" in capsys.readouterr().err


class TestEarlyListener:
    """The callers' port before the program is loaded."""

    def test_connection_waits_and_is_accepted_later(self):
        """A process restarts. Callers connect while it still loads; turned away by the kernel they
        would use up their one retry and fail."""
        listener = listen_early("127.0.0.1", 0)
        caller = socket.create_connection(listener.getsockname(), timeout=1)
        caller.sendall(b"GET")
        accepted, _ = listener.accept()
        assert accepted.recv(3) == b"GET"
        for sock in (caller, accepted, listener):
            sock.close()

    def test_port_that_is_taken_gives_none(self):
        taken = listen_early("127.0.0.1", 0)
        other = socket.socket()
        other.bind(("127.0.0.1", 0))
        other.listen()
        assert listen_early("127.0.0.1", other.getsockname()[1]) is None
        taken.close()
        other.close()
