"""An experiment's results as one page that opens without a network."""

from __future__ import annotations

import html
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import plotly.graph_objects as go

from sassafrastally.testing.experiment.compare import compare, table
from sassafrastally.testing.experiment.rows import IN_TIME, OUTCOMES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sassafrastally.testing.experiment.plan import ExperimentPlan
    from sassafrastally.testing.experiment.rows import RequestRow, RunRows

    Figure = Callable[[ExperimentPlan, Sequence[RunRows]], go.Figure]

FIGURES: list[Figure] = []
"""The page's figures, in their order."""


def figure(draw: Figure) -> Figure:
    """Put a figure onto the page."""
    FIGURES.append(draw)
    return draw


def make_page(plan: ExperimentPlan, runs: Sequence[RunRows]) -> str:
    """Return the page; the drawing library is part of it."""
    parts = [
        draw(plan, runs).to_html(full_html=False, include_plotlyjs=number == 0)
        for number, draw in enumerate(FIGURES)
    ]
    shown = html.escape(table(compare(runs, [route.name for route in plan.routes])))
    name = html.escape(plan.name)
    return (
        f"<!doctype html><meta charset='utf-8'><title>{name}</title><h1>{name}</h1>"
        f"<pre>{shown}</pre>{''.join(parts)}"
    )


@figure
def served_through_the_day(plan: ExperimentPlan, runs: Sequence[RunRows]) -> go.Figure:
    """Draw the share served in time by second, variant and route, all seeds together."""
    drawn = go.Figure(layout={"title": "Served in time, by second"})
    for variant in plan.variant_names:
        for route in plan.routes:
            asked: Counter[int] = Counter()
            served: Counter[int] = Counter()
            for row in _good(runs, variant):
                if row.route == route.name:
                    asked[int(row.at_s)] += 1
                    served[int(row.at_s)] += row.outcome == IN_TIME
            seconds = sorted(asked)
            shares = [served[second] / asked[second] for second in seconds]
            drawn.add_scatter(x=seconds, y=shares, name=f"{variant}: {route.name}")
    return drawn.update_yaxes(range=[0, 1.02])


@figure
def engines_in_use(plan: ExperimentPlan, runs: Sequence[RunRows]) -> go.Figure:
    """Draw what engines run and what waits there, for the first run."""
    by_engine: defaultdict[str, dict[float, int]] = defaultdict(dict)
    for load in runs[0].loads:
        by_engine[load.engine][load.at_s] = load.running + load.waiting
    moments = sorted({load.at_s for load in runs[0].loads})
    engines = list(by_engine)
    requests = [[by_engine[engine].get(at_s) for at_s in moments] for engine in engines]
    title = f"Requests at engines: {runs[0].variant}, seed {runs[0].seed}"
    return go.Figure(go.Heatmap(x=moments, y=engines, z=requests), layout={"title": title})


@figure
def endings(plan: ExperimentPlan, runs: Sequence[RunRows]) -> go.Figure:
    """Draw how requests ended by second, for the base and each variant."""
    drawn = go.Figure(layout={"title": "How requests ended, by second", "barmode": "stack"})
    for variant in plan.variant_names:
        for outcome in OUTCOMES:
            ended = Counter(int(r.at_s) for r in _good(runs, variant) if r.outcome == outcome)
            if ended:
                seconds = sorted(ended)
                counts = [ended[second] for second in seconds]
                name = f"{variant}: {outcome}"
                drawn.add_bar(x=seconds, y=counts, name=name, offsetgroup=variant)
    return drawn


@figure
def refusals(plan: ExperimentPlan, runs: Sequence[RunRows]) -> go.Figure:
    """Draw the refusals that callers got, by name."""
    drawn = go.Figure(layout={"title": "Refusals", "barmode": "group"})
    for variant in plan.variant_names:
        counts = Counter(name for row in _good(runs, variant) for name in row.refusals)
        drawn.add_bar(x=sorted(counts), y=[counts[n] for n in sorted(counts)], name=variant)
    return drawn


@figure
def first_events(plan: ExperimentPlan, runs: Sequence[RunRows]) -> go.Figure:
    """Draw the distribution of the time to the first event."""
    drawn = go.Figure(layout={"title": "Time to the first event, share of all that came"})
    for variant in plan.variant_names:
        for route in plan.routes:
            times_s = sorted(
                row.first_event_s
                for row in _good(runs, variant)
                if row.route == route.name and row.first_event_s is not None
            )
            shares = [(number + 1) / len(times_s) for number in range(len(times_s))]
            drawn.add_scatter(x=times_s, y=shares, name=f"{variant}: {route.name}")
    return drawn.update_xaxes(type="log", title="s")


@figure
def differences(plan: ExperimentPlan, runs: Sequence[RunRows]) -> go.Figure:
    """Draw each variant's difference to the base by route."""
    routes = [route.name for route in plan.routes]
    found = {(one.variant, one.route): one for one in compare(runs, routes)}
    variants = plan.variant_names[1:]
    values = [
        [found[variant, route].difference for route in (None, *routes)] for variant in variants
    ]
    matrix = go.Heatmap(
        x=["all", *routes], y=variants, z=values, zmid=0, colorscale="RdBu", texttemplate="%{z:.3f}"
    )
    return go.Figure(matrix, layout={"title": "Difference to the base in the share served in time"})


def _good(runs: Iterable[RunRows], variant: str) -> list[RequestRow]:
    return [
        row for run in runs if run.variant == variant for row in run.requests if not row.is_harmful
    ]
