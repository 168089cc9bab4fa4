"""Reads an experiment's file and checks it as a whole."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING

from sassafrastally.core.findings import Finding, FindingsError, Place
from sassafrastally.core.settings import check_table, toml_lines
from sassafrastally.testing.experiment.plan import ExperimentPlan
from sassafrastally.testing.experiment.troubles import TROUBLES
from sassafrastally.testing.experiment.variants import variant_problems

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

_FILE_NAME = re.compile(r"[a-z0-9-]+")

KINDS = ("streaming", "idempotent", "non_idempotent")
"""Kinds of route."""


def load_plan(text: str, file: str) -> ExperimentPlan:
    """Check an experiment's file and return what it says.

    Parameters
    ----------
    text
        The file's content.
    file
        Its name, for findings.

    Raises
    ------
    FindingsError
        With everything that is wrong, each with its place.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as cause:
        raise FindingsError([Finding(Place(file, 0, ""), str(cause))]) from cause
    plan, problems = check_table(document, ExperimentPlan)
    if plan is not None:
        problems = list(_problems(plan))
    if problems or plan is None:
        lines = toml_lines(text)
        raise FindingsError(
            Finding(Place(file, _line(lines, key), key), message) for key, message in problems
        )
    return plan


def _line(lines: Mapping[str, int], key: str) -> int:
    """Return the line of a key, or of the innermost table around it."""
    while key and key not in lines:
        key = key.rpartition(".")[0]
    return lines.get(key, 0)


def _problems(plan: ExperimentPlan) -> Iterator[tuple[str, str]]:
    """Yield what is wrong between the parts, as key and message."""
    for name in ("seeds", "routes", "traffic", "engines"):
        if not getattr(plan, name):
            yield name, "must not be empty"
    for name in ("duration_s", "entries", "data_centres", "plain_servers"):
        if getattr(plan, name) <= 0:
            yield name, "must be more than 0"
    if len(set(plan.seeds)) < len(plan.seeds):
        yield "seeds", "must differ"
    routes = {route.name for route in plan.routes}
    for number, route in enumerate(plan.routes):
        if route.kind not in KINDS:
            yield f"routes[{number}].kind", f"must be one of {', '.join(KINDS)}"
    for number, traffic in enumerate(plan.traffic):
        if traffic.route not in routes:
            yield f"traffic[{number}].route", f"no such route: {traffic.route}"
        for key in ("repeated_share", "harmful_share"):
            if not 0 <= getattr(traffic, key) <= 1:
                yield f"traffic[{number}].{key}", "must lie between 0 and 1"
    for number, trouble in enumerate(plan.troubles):
        if trouble.kind not in TROUBLES.names():
            yield f"troubles[{number}].kind", f"must be one of {', '.join(TROUBLES.names())}"
    for name, variant in plan.variants.items():
        if not _FILE_NAME.fullmatch(name):
            yield f"variants.{name}", "must consist of small letters, digits and hyphens"
        for key, message in variant_problems(variant.constants, variant.without):
            yield f"variants.{name}.{key}", message
