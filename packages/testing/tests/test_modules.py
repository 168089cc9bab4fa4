"""How the modules of the workspace depend on each other."""

from __future__ import annotations

import ast
import graphlib
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import sassafrastally

if TYPE_CHECKING:
    from collections.abc import Collection

PACKAGES = sorted(
    folder for root in sassafrastally.__path__ for folder in Path(root).iterdir() if folder.is_dir()
)


def dependencies(package: Path) -> dict[str, set[str]]:
    """Return the modules of a package that each one names, also for its annotations."""
    files = {
        ".".join(
            ("sassafrastally", package.name, *file.relative_to(package).with_suffix("").parts)
        ).removesuffix(".__init__"): file
        for file in package.rglob("*.py")
    }
    return {
        name: (_named(ast.parse(file.read_text()), files.keys()) & files.keys()) - {name}
        for name, file in files.items()
    }


def _named(tree: ast.Module, modules: Collection[str]) -> set[str]:
    """Return what a module imports from, or the modules that it imports themselves."""
    imports = [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
    named = [
        (node.module or "", f"{node.module}.{one.name}") for node in imports for one in node.names
    ]
    return {itself if itself in modules else module for module, itself in named}


class TestDependencies:
    """Circles between modules, which nobody can read from one end."""

    @pytest.mark.parametrize("package", PACKAGES, ids=lambda package: package.name)
    def test_modules_form_no_circle(self, package):
        graphlib.TopologicalSorter(dependencies(package)).prepare()

    def test_all_packages_are_looked_through(self):
        assert {"core", "entry", "platform", "proxy", "sidecar", "testing"} <= {
            package.name for package in PACKAGES
        }
