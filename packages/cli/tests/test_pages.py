"""Pages and docstrings that a newcomer follows."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
PAGES = sorted(
    [ROOT / "README.md", *(ROOT / "docs").rglob("*.md"), *(ROOT / "examples").rglob("*.md")]
)
MODULES = sorted(ROOT.glob("packages/*/src/**/*.py"))

_FENCE = re.compile(r"^(```|~~~).*?^\1", re.MULTILINE | re.DOTALL)
_CODE = re.compile(r"`[^`\n]*`")
_LINK = re.compile(r"\]\(([^()\s]+)\)")
_HEADING = re.compile(r"^#+ +(.+?) *$", re.MULTILINE)
_SCHEME = re.compile(r"[a-z][a-z0-9+.-]*:")


def broken_links(page: Path, root: Path) -> list[str]:
    """Return the relative links of a page that lead nowhere, or out of the repository."""
    text = _CODE.sub("", _FENCE.sub("", page.read_text()))
    broken = []
    for link in _LINK.findall(text):
        path, _, anchor = link.partition("#")
        if _SCHEME.match(link):
            continue
        target = (page.parent / path).resolve() if path else page
        if (
            not target.exists()
            or not target.is_relative_to(root)
            or (anchor and anchor not in _anchors(target))
        ):
            broken.append(link)
    return broken


def _anchors(page: Path) -> set[str]:
    headings = _HEADING.findall(_FENCE.sub("", page.read_text()))
    kept = (re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings)
    return {heading.replace(" ", "-") for heading in kept}


def name_of(path: Path) -> str:
    return str(path.relative_to(ROOT))


class TestLinks:
    """Relative links of the pages."""

    @pytest.mark.parametrize("page", PAGES, ids=name_of)
    def test_links_resolve(self, page):
        assert broken_links(page, ROOT) == []

    def test_broken_links_are_found(self, tmp_path):
        (tmp_path / "other.md").write_text("# A heading: `x`\n")
        page = tmp_path / "page.md"
        page.write_text(
            "[a](missing.md) [b](other.md) [c](other.md#nowhere) [d](other.md#a-heading-x)\n"
            "[e](https://example.org/x) `[f](code.md)` [g](../outside.md) [h](#gone)\n"
            "```\n[i](fenced.md)\n```\n"
        )
        (tmp_path.parent / "outside.md").write_text("")
        wanted = ["missing.md", "other.md#nowhere", "../outside.md", "#gone"]
        assert broken_links(page, tmp_path) == wanted


class TestDocstrings:
    """Docstrings of the modules."""

    def test_every_module_has_one(self):
        assert MODULES
        bare = [path for path in MODULES if not ast.get_docstring(ast.parse(path.read_text()))]
        assert [name_of(path) for path in bare] == []
