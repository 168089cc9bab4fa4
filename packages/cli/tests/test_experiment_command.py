"""`sassafrastally experiment` as its users call it."""

from __future__ import annotations

import pytest

from sassafrastally.cli.command import main
from sassafrastally.cli.exit_codes import ExitCode

SMALL = """
name = "small"
duration_s = 1.0
seeds = [1]
entries = 1
engines = [{ number = 1 }]

[[routes]]
name = "note"

[[traffic]]
route = "note"
per_s = 5.0
"""


class TestExperiment:
    """The command."""

    @pytest.mark.parametrize("text", [None, "name = 1"], ids=["no file", "wrong file"])
    def test_findings_are_told_and_nothing_is_played(self, tmp_path, capsys, text):
        file = tmp_path / "x.toml"
        if text is not None:
            file.write_text(text)
        assert main(["experiment", str(file), "--out", str(tmp_path / "out")]) == ExitCode.FINDINGS
        assert "x.toml" in capsys.readouterr().err
        assert not (tmp_path / "out").exists()

    def test_table_rows_and_page_are_made(self, tmp_path, capsys):
        file = tmp_path / "x.toml"
        file.write_text(SMALL)
        out = tmp_path / "out"
        assert main(["experiment", str(file), "--out", str(out), "--processes", "1"]) == ExitCode.OK
        assert "base" in capsys.readouterr().out
        assert sorted(path.name for path in out.iterdir()) == ["base-1.jsonl", "page.html"]
