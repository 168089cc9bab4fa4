"""The generated pages agree with the code."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from sassafrastally.cli import reference
from sassafrastally.cli.exit_codes import ExitCode

FOLDER = Path(__file__).parents[3] / "docs" / "reference"


class TestPages:
    """Pages under docs/reference."""

    def test_pages_agree_with_the_code(self):
        # In a process of its own: other tests register events and errors that are none of ours.
        command = [sys.executable, "-m", "sassafrastally.cli.reference", "--check", str(FOLDER)]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        assert result.returncode == ExitCode.OK, result.stderr

    def test_stale_page_is_named(self, tmp_path, capsys):
        assert reference.main([str(tmp_path)]) == ExitCode.OK
        (tmp_path / "events.md").write_text("old")
        assert reference.main(["--check", str(tmp_path)]) == ExitCode.FINDINGS
        assert "events.md doesn't agree" in capsys.readouterr().err

    def test_every_setting_has_its_meaning_or_speaks_for_itself(self):
        page = reference.PAGES.get("settings.md")()
        assert "## `[peer]`" in page and "| `listen_address` |" in page

    def test_pages_list_the_events_and_refusals_of_the_pass_through_path(self):
        """An engineer looks up the number of a log line. Every event of the path that serves the
        users' platform was missing, since its numbers lie above those of the tests."""
        assert "| 10014 | RequestRefused |" in (FOLDER / "events.md").read_text()
        assert "| `may-have-run` | 502 |" in (FOLDER / "pass-through-refusals.md").read_text()
