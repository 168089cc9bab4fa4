"""How the package's modules depend on each other."""

from __future__ import annotations

import ast
import graphlib
from pathlib import Path

import pytest

import sassafrastally.core
import sassafrastally.platform
import sassafrastally.proxy


def dependencies(package) -> dict[str, set[str]]:
    """Return the modules of a package that each one names, also for its annotations."""
    (folder,) = package.__path__
    names = {file.stem for file in Path(folder).glob("*.py")}
    prefix = f"{package.__name__}."
    found = {}
    for name in names:
        tree = ast.parse(Path(folder, f"{name}.py").read_text())
        imports = [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
        named = {(node.module or "").removeprefix(prefix) for node in imports}
        found[name] = named & names - {name}
    return found


class TestDependencies:
    """Circles between modules, which nobody can read from one end."""

    @pytest.mark.parametrize(
        "package",
        [sassafrastally.core, sassafrastally.proxy, sassafrastally.platform],
        ids=lambda package: package.__name__,
    )
    def test_modules_form_no_circle(self, package):
        graphlib.TopologicalSorter(dependencies(package)).prepare()
