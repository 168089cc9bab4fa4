"""What the logs say about one request."""

from __future__ import annotations

import json

from sassafrastally.cli.command import main
from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.proxy.fingerprint import fingerprint_text, part_key


def line(second: float, vm: str, event: str, **fields: object) -> str:
    """Return a line as a collector may hand it on, with a prefix."""
    moment = f"2026-04-12T21:25:{second:09.6f}Z"
    return "pod-1 " + json.dumps({"vm": vm, "event": event, **fields, "timestamp": moment})


LOG = "\n".join(
    [
        line(1, "e1", "ConfigurationInForce", version=3),
        line(18, "e1", "ServerKnown", server_id="s1", is_draining=True),
        line(18.5, "e1", "ServerKnown", server_id="s9", is_draining=True),
        line(19, "e2", "StoreLost", cause="busy"),
        line(20, "e1", "RequestPlaced", request_id="r1", server_id="s1"),
        "Traceback (most recent call last):",
        line(20.2, "e1", "RequestPlaced", request_id="r2", server_id="s1"),
        line(20.5, "e1", "AttemptFailed", request_id="r1", server_id="s1", cause="reset"),
        line(20.6, "e1", "RequestFailed", request_id="r1", status=502),
        line(30, "e1", "StoreLost", cause="later"),
    ]
)


class TestWhy:
    """The command."""

    def test_shows_the_request_among_what_its_vm_believed(self, tmp_path, capsys):
        file = tmp_path / "log"
        file.write_text(LOG)
        assert main(["why", "r1", str(file)]) == ExitCode.OK
        shown = capsys.readouterr().out.splitlines()
        events = [text.lstrip("> ").split()[2] for text in shown]
        assert events == ["ServerKnown", "RequestPlaced", "AttemptFailed", "RequestFailed"]
        assert [text[0] for text in shown] == [" ", ">", ">", ">"]

    def test_unknown_request_is_said_so(self, tmp_path, capsys):
        file = tmp_path / "log"
        file.write_text(LOG)
        assert main(["why", "nobody", str(file)]) == ExitCode.FAILED
        assert "no line about nobody" in capsys.readouterr().err

    def test_refusal_of_a_quarantined_request_is_shown_with_the_crashes_that_led_to_it(
        self, tmp_path, capsys
    ):
        """A caller asks why its prompt was refused. The reason lies minutes back, on other VMs, and
        under the ids of its earlier attempts."""
        same, other = {"fingerprint": "aa"}, {"fingerprint": "bb"}
        log = [
            line(1, "e1", "ServerCrashed", server_id="s1", request_id="r1", **same),
            line(2, "e2", "ServerCrashed", server_id="s2", request_id="r2", **same),
            line(2, "e2", "ServerCrashed", server_id="s2", request_id="r9", **other),
            line(3, "e3", "ServerCrashed", server_id="s3", request_id="r3", **same),
            line(3.1, "e3", "RequestQuarantined", crashes=3, **same),
            line(50, "e1", "RequestRefused", request_id="r4", refusal="quarantined", **same),
        ]
        file = tmp_path / "log"
        file.write_text("\n".join(log))
        assert main(["why", "r4", str(file)]) == ExitCode.OK
        shown = [text.lstrip("> ").split() for text in capsys.readouterr().out.splitlines()]
        assert [words[2] for words in shown] == [
            *["ServerCrashed"] * 3,
            "RequestQuarantined",
            "RequestRefused",
        ]
        assert not any("fingerprint=bb" in words for words in shown)

    def test_refusal_for_a_prompt_part_is_shown_with_the_crashes_under_it(self, tmp_path, capsys):
        """The requests that crashed the servers have only the part in common with the one that was
        refused."""
        key = fingerprint_text(part_key("b1"))
        detail = "3 backend servers crashed while they ran requests with prompt part b1: not run"
        log = [
            line(1, "e1", "ServerCrashed", fingerprint="aa", prompt_parts=["a1", "b1"]),
            line(1, "e2", "ServerCrashed", fingerprint="bb", prompt_parts=["a1"]),
            line(2, "e2", "ServerCrashed", fingerprint="cc", prompt_parts=["b1"]),
            line(2.1, "e2", "PromptPartQuarantined", part=key, crashes=3),
            line(9, "e1", "RequestRefused", request_id="r4", fingerprint="dd", detail=detail),
        ]
        file = tmp_path / "log"
        file.write_text("\n".join(log))
        assert main(["why", "r4", str(file)]) == ExitCode.OK
        shown = [text.lstrip("> ").split() for text in capsys.readouterr().out.splitlines()]
        assert [words[2] for words in shown] == [
            "ServerCrashed",
            "ServerCrashed",
            "PromptPartQuarantined",
            "RequestRefused",
        ]
        assert not any("fingerprint=bb" in words for words in shown)

    def test_refusal_is_shown_with_what_servers_had_asked(self, tmp_path, capsys):
        """Guards against a refusal for servers' limits whose lines don't show the limits."""
        asked = ("ServerLimited", "ServerCoolingDown", "ServerLeaving", "ServerLimitEnded")
        log = [line(10 + place, "e1", event, server_id="s1") for place, event in enumerate(asked)]
        log.append(line(14, "e1", "RequestRefused", request_id="r1", refusal="servers-limited"))
        file = tmp_path / "log"
        file.write_text("\n".join(log))
        assert main(["why", "r1", str(file)]) == ExitCode.OK
        shown = capsys.readouterr().out.splitlines()
        events = [text.lstrip("> ").split()[2] for text in shown]
        assert events == [*asked, "RequestRefused"]
