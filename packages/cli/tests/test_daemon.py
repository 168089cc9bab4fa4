"""Checking settings from the command line."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from sassafrastally.cli import daemon
from sassafrastally.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

EXAMPLES = Path(__file__).parents[3] / "examples"

BROKEN = """
role = "sidecar"
[process]
vm = "reader-1"
data_centre = "sondrio"
regoin = "lombardia-nord"
[peer]
listen_address = "reader-1.example:7101"
link_secret = 5
[kv]
address = "127.0.0.1:9001"
call_time_limit_s = -1
[vm_list]
[http]
"""


class TestCheck:
    """``sassafrastallyd --check``."""

    def test_all_findings_are_printed_with_their_places(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        snapshot: SnapshotAssertion,
    ):
        file = tmp_path / "reader-1.toml"
        file.write_text(BROKEN)
        assert daemon.main(["--settings", str(file), "--check"]) == ExitCode.FINDINGS
        assert capsys.readouterr().err == snapshot

    def test_missing_file_is_a_finding(self, tmp_path: Path, capsys: pytest.CaptureFixture[str]):
        missing = str(tmp_path / "none.toml")
        assert daemon.main(["--settings", missing, "--check"]) == ExitCode.FINDINGS
        assert "none.toml: can't be read" in capsys.readouterr().err

    @pytest.mark.parametrize("name", ["entry-1", "entry-2", "reader-1", "reader-2", "crossings-1"])
    def test_examples_have_no_findings(self, name: str):
        arguments = ["--settings", str(EXAMPLES / f"{name}.toml"), "--check"]
        assert daemon.main(arguments) == ExitCode.OK
