"""Writes the reference pages that come from the code's registries.

``python -m sassafrastally.cli.reference [--check] [FOLDER]``
"""

from __future__ import annotations

import argparse
import ast
import inspect
import itertools
import sys
import textwrap
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sassafrastally.cli import command, daemon
from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.core import CATALOGUE, ERRORS, METRICS, Registry
from sassafrastally.core.settings import ROLES, SECTIONS
from sassafrastally.platform import process as _platform_process  # noqa: F401 (registers events)
from sassafrastally.proxy.refusals import CATALOGUE as PASS_THROUGH_REFUSALS
from sassafrastally.serving.refusals import REFUSALS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

PROGRAMS = (command, daemon)
"""Imported for what they register: together they load every package of the product."""

TEST_NUMBERS = range(9000, 10_000)
"""Numbers of events and errors that belong to tests and stand-ins and are not listed."""

PAGES: Registry[Callable[[], str]] = Registry("reference page")
"""Makers of pages by file name."""


@PAGES.register("errors.md")
def _errors_page() -> str:
    rows = [
        (f"E{code}", kind.__name__, _sentence(kind))
        for code, kind in sorted(ERRORS.items())
        if code not in TEST_NUMBERS
    ]
    return _page("Errors", "Exceptions by code.", ("Code", "Name", "Meaning"), rows)


@PAGES.register("refusals.md")
def _refusals_page() -> str:
    rows = [
        (f"`{kind.code}`", str(kind.status), kind.outcome.value, kind.title, kind.limit_unit)
        for kind in sorted(REFUSALS.values())
    ]
    head = ("Code", "Status", "Outcome", "Reason", "Unit of the figures")
    return _page("Refusals", "The closed catalogue of reasons.", head, rows)


@PAGES.register("pass-through-refusals.md")
def _pass_through_refusals_page() -> str:
    rows = [(f"`{kind.code}`", str(kind.status), kind.meaning) for kind in PASS_THROUGH_REFUSALS]
    lead = "Answers of our own on the pass-through path, as RFC 9457 problem details."
    return _page("Refusals of the pass-through path", lead, ("Code", "Status", "Meaning"), rows)


@PAGES.register("events.md")
def _events_page() -> str:
    rows = [
        (str(kind.number), kind.name, kind.level, kind.meaning, ", ".join(kind.fields))
        for number, kind in sorted(CATALOGUE.items())
        if number not in TEST_NUMBERS
    ]
    head = ("Number", "Name", "Level", "Meaning", "Fields")
    return _page("Events", "Numbered events of the log and the time line.", head, rows)


@PAGES.register("metrics.md")
def _metrics_page() -> str:
    rows = [
        (f"`{kind.name}`", kind.instrument, kind.unit, kind.meaning)
        for kind in sorted(METRICS.values())
    ]
    head = ("Name", "Instrument", "Unit", "Meaning")
    return _page("Metrics", "OpenTelemetry instruments.", head, rows)


@PAGES.register("exit-codes.md")
def _exit_codes_page() -> str:
    meanings = _field_docs(ExitCode)
    rows = [(str(code.value), code.name, meanings.get(code.name, "")) for code in ExitCode]
    return _page("Exit codes", "Of both programs.", ("Code", "Name", "Meaning"), rows)


@PAGES.register("settings.md")
def _settings_page() -> str:
    parts = [
        "# Settings\n",
        "A settings file is TOML: `role` (`entry` or `sidecar`) and the tables below. Fields carry "
        "their unit as a suffix. `sassafrastallyd --settings FILE --check` prints all findings.\n",
    ]
    for name, kind in sorted(SECTIONS.items()):
        roles = ", ".join(role for role, names in sorted(ROLES.items()) if name in names)
        parts.append(f"## `[{name}]` ({roles})\n\n{_sentence(kind)}\n")
        parts.append(_table(("Key", "Type", "Default", "Meaning"), _setting_rows(kind)))
    return "\n".join(parts)


def _setting_rows(kind: type[Any]) -> Iterable[tuple[str, ...]]:
    meanings = _field_docs(kind)
    for field, annotation in kind.__annotations__.items():
        default = kind._field_defaults.get(field, "required")
        shown = default if default == "required" else f"`{default!r}`"
        type_name = getattr(annotation, "__forward_arg__", None) or str(annotation)
        yield f"`{field}`", f"`{type_name}`", shown, meanings.get(field, "")


def _field_docs(kind: type[Any]) -> dict[str, str]:
    tree = ast.parse(textwrap.dedent(inspect.getsource(kind)))
    body = tree.body[0].body if isinstance(tree.body[0], ast.ClassDef) else []
    docs: dict[str, str] = {}
    for statement, following in itertools.pairwise(body):
        name = _assigned_name(statement)
        if name and isinstance(following, ast.Expr) and isinstance(following.value, ast.Constant):
            docs[name] = " ".join(str(following.value.value).split())
    return docs


def _assigned_name(statement: ast.stmt) -> str:
    if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
        return statement.target.id
    if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
        return statement.targets[0].id
    return ""


def _sentence(kind: type[Any]) -> str:
    return " ".join((inspect.getdoc(kind) or "").split("\n\n")[0].split())


def _page(title: str, lead: str, head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    return f"# {title}\n\n{lead}\n\n{_table(head, rows)}"


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(head)} |", f"| {' | '.join('---' for _ in head)} |"]
    lines += [f"| {' | '.join(cell.replace('|', chr(92) + '|') for cell in row)} |" for row in rows]
    return "\n".join(lines) + "\n"


def main(argv: Sequence[str] | None = None) -> int:
    """Write the pages, or compare them with those in the folder."""
    parser = argparse.ArgumentParser(description="Writes the generated reference pages.")
    parser.add_argument("--check", action="store_true", help="only compare")
    parser.add_argument("folder", nargs="?", type=Path, default=Path("docs/reference"))
    arguments = parser.parse_args(argv)
    stale = [name for name, make in PAGES if not _is_current(arguments.folder / name, make())]
    if arguments.check:
        for name in stale:
            print(f"{name} doesn't agree with the code", file=sys.stderr)
        return ExitCode.FINDINGS if stale else ExitCode.OK
    for name in stale:
        (arguments.folder / name).write_text(PAGES.get(name)(), encoding="utf-8")
    return ExitCode.OK


def _is_current(path: Path, text: str) -> bool:
    return path.exists() and path.read_text(encoding="utf-8") == text


if __name__ == "__main__":
    sys.exit(main())
