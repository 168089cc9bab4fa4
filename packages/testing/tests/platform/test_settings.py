"""Decoding of the settings file and the early listener."""

from __future__ import annotations

import importlib
import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from sassafrastally.core import FindingsError
from sassafrastally.platform.process import EXIT_SETTINGS, run_process
from sassafrastally.platform.settings import decode_settings
from sassafrastally.proxy.early_listener import listen_early
from sassafrastally.stand_ins.documents import SETTINGS


class TestSettings:
    """Decoding and validation of settings."""

    def test_valid_file(self):
        settings = decode_settings(json.dumps(SETTINGS), "settings.json")
        assert settings.callers_address.port == 8227
        assert settings.bounds.retry_window_s == 10.0

    def test_invalid_data_centres_are_no_finding(self):
        """Guards against an entry that doesn't start because of a field that it can do without."""
        valid = decode_settings(
            json.dumps({**SETTINGS, "zones": [{"name": "here"}]}), "settings.json"
        )
        assert valid.data_centres.regions == {"here": None}
        invalid = decode_settings(json.dumps({**SETTINGS, "zones": 5}), "settings.json")
        assert len(invalid.data_centres.problems) == 1

    @pytest.mark.parametrize("value", [None, "many", -1, True])
    @pytest.mark.parametrize(
        ("key", "field"), [("memoryMb", "memory_mb"), ("maxFds", "max_descriptors")]
    )
    def test_invalid_limit_is_a_finding(self, key, field, value):
        """A missing limit is none; an invalid one must not pass for it."""
        assert getattr(decode_settings(json.dumps(SETTINGS), "settings.json"), field) == 0
        invalid = {**SETTINGS, "limits": {"linkMbps": 1000.0, key: value}}
        with pytest.raises(FindingsError) as caught:
            decode_settings(json.dumps(invalid), "settings.json")
        assert [finding.place.key for finding in caught.value.findings] == [f"limits.{key}"]

    def test_limit_of_descriptors(self):
        settings = {**SETTINGS, "limits": {"linkMbps": 1000.0, "maxFds": 4100}}
        assert decode_settings(json.dumps(settings), "settings.json").max_descriptors == 4100

    def test_all_findings_are_reported_with_their_places(self):
        invalid = {**SETTINGS, "ip": None, "listen": {"front": "nowhere"}}
        del invalid["bounds"]
        with pytest.raises(FindingsError) as caught:
            decode_settings(json.dumps(invalid), "settings.json")
        places = {finding.place.key for finding in caught.value.findings}
        assert {"ip", "listen.front", "listen.readiness", "bounds.graceS"} <= places
        assert all(finding.place.file == "settings.json" for finding in caught.value.findings)

    def test_bound_of_cold_servers_is_optional(self):
        """Guards against rejecting the settings of deployments without cold servers."""
        bounds = decode_settings(json.dumps(SETTINGS), "settings.json").bounds
        assert (bounds.cold_overrun, bounds.cold_slack) == (1.0, 0.0)
        fields = {**SETTINGS, "bounds": {**SETTINGS["bounds"], "coldOverrun": 1.5, "coldSlack": 5}}
        bounds = decode_settings(json.dumps(fields), "settings.json").bounds
        assert (bounds.cold_overrun, bounds.cold_slack) == (1.5, 5.0)

    @pytest.mark.parametrize("value", ["1.5", None, True, [1], -1, float("inf")])
    @pytest.mark.parametrize("name", ["coldOverrun", "coldSlack"])
    def test_invalid_bound_of_cold_servers_is_a_finding(self, name, value):
        """Guards against a mistyped bound that lets entries crash cold servers."""
        fields = {**SETTINGS, "bounds": {**SETTINGS["bounds"], name: value}}
        with pytest.raises(FindingsError) as caught:
            decode_settings(json.dumps(fields), "settings.json")
        assert [finding.place.key for finding in caught.value.findings] == [f"bounds.{name}"]

    @pytest.mark.parametrize("text", ["", "[1]", "{", "null"])
    def test_invalid_file_raises_findings(self, text):
        with pytest.raises(FindingsError):
            decode_settings(text, "settings.json")

    def test_invalid_settings_exit_with_the_documented_code(self, tmp_path, capsys):
        file = tmp_path / "settings.json"
        assert run_process(str(file), None) == EXIT_SETTINGS
        file.write_text("{}")
        assert run_process(str(file), None) == EXIT_SETTINGS
        assert "listen.front: missing" in capsys.readouterr().err


class TestEarlyListener:
    """The callers' port, which opens before the program is loaded."""

    def test_early_connection_is_accepted_later(self):
        """Guards against refused connections while a restarted process loads.

        The operating system would refuse them, and callers would use up their only retry.
        """
        listener = listen_early("127.0.0.1", 0)
        caller = socket.create_connection(listener.getsockname(), timeout=1)
        caller.sendall(b"GET")
        taken_over = socket.socket(fileno=listener.detach())
        accepted, _ = taken_over.accept()
        assert accepted.recv(3) == b"GET"
        for sock in (caller, accepted, taken_over):
            sock.close()

    def test_port_opens_without_the_import_of_socket(self):
        """Guards against an import that doubles the time in which callers find no open port."""
        script = (
            "import sys, sassafrastally.platform.__main__, sassafrastally.proxy.early_listener\n"
            "print('socket' in sys.modules)"
        )
        # Without `site`, which may import anything for packages installed in place.
        paths = [*importlib.import_module("sassafrastally").__path__]
        environment = {"PYTHONPATH": os.pathsep.join(str(Path(path).parent) for path in paths)}
        run = [sys.executable, "-S", "-P", "-c", script]
        found = subprocess.run(run, env=environment, capture_output=True, text=True, check=True)
        assert found.stdout.strip() == "False"

    def test_port_in_use_returns_none(self):
        taken = listen_early("127.0.0.1", 0)
        other = socket.socket()
        other.bind(("127.0.0.1", 0))
        other.listen()
        assert listen_early("127.0.0.1", other.getsockname()[1]) is None
        taken.close()
        other.close()
