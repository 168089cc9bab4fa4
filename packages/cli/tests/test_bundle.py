"""The operators' command for bundles, without a KV service."""

from __future__ import annotations

import argparse
import json
import stat
from pathlib import Path
from typing import Any

import pytest

from sassafrastally.cli import bundle
from sassafrastally.core import FindingsError

DOCUMENT = """\
name = "yeso"

[[models]]
name = "crew"
version = "1"
max_context_tokens = 1000000
"""


async def run(*words: str) -> int:
    parser = argparse.ArgumentParser()
    bundle.add_parser(parser.add_subparsers(required=True))
    arguments = parser.parse_args(["bundle", *words])
    return int(await arguments.run(arguments))


class TestBundleCommand:
    async def test_check_and_diff(self, tmp_path: Path, capsys: Any) -> None:
        before, after = tmp_path / "before.toml", tmp_path / "after.toml"
        before.write_text(DOCUMENT)
        after.write_text(DOCUMENT.replace('"1"', '"2"'))
        assert await run("check", str(before), "--json") == 0
        assert json.loads(capsys.readouterr().out)["models"] == 1
        assert await run("diff", str(before), str(after)) == 0
        assert capsys.readouterr().out == "models.crew.version: '1' -> '2'\n"

    async def test_findings(self, tmp_path: Path) -> None:
        wrong = tmp_path / "wrong.toml"
        wrong.write_text(DOCUMENT + "colour = 1\n")
        with pytest.raises(FindingsError, match=r"wrong\.toml:7: models\[0\]\.colour"):
            await run("check", str(wrong))
        with pytest.raises(FindingsError, match="--kv"):
            await run("history", "--kv", "localhost")

    async def test_key_stays_in_its_file(self, tmp_path: Path, capsys: Any) -> None:
        file = tmp_path / "ana.key"
        assert await run("make-key", "ana", "--out", str(file)) == 0
        secret = file.read_text().splitlines()[1].split('"')[1]
        assert stat.S_IMODE(file.stat().st_mode) == 0o600
        assert secret not in capsys.readouterr().out
        with pytest.raises(FindingsError, match="can't be made"):
            await run("make-key", "ana", "--out", str(file))
