"""The pure functions of placement, compared with brute force on small cases."""

from __future__ import annotations

from collections import Counter
from itertools import product
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.control.bundle import Model
from sassafrastally.control.placement_plan import (
    EngineLine,
    EngineView,
    PlacedModel,
    Step,
    adopt_line,
    choose_models,
    may_unload,
    next_lines,
    next_step,
    target_lines,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

NAMES = ("a", "b", "c")


def model(name: str, version: str = "1", least: int = 1, adapters: tuple[str, ...] = ()) -> Model:
    return Model(name, version, 1000, least, adapters)


def line(vm: str, *names: str, version: str = "1") -> EngineLine:
    placed = tuple(PlacedModel(name, version, f"{name}@{version}") for name in names)
    return EngineLine(vm, placed)


def run_steps(placed: EngineLine, view: EngineView) -> list[Step]:
    """Apply all steps to an engine and return them."""
    steps: list[Step] = []
    while (step := next_step(placed, view)) is not None:
        steps.append(step)
        assert len(steps) < 20
        name = step.adapter or (f"{step.model}@{step.version}" if step.version else step.model)
        if step.action.startswith("load"):
            view = view._replace(names=(*view.names, name))
        elif step.action.startswith("unload"):
            view = view._replace(names=tuple(one for one in view.names if one != name))
        else:
            view = view._replace(role=step.role)
    return steps


def score(
    models: Sequence[Model], before: Mapping[str, str], after: Mapping[str, str]
) -> tuple[int, ...]:
    """Return the quality of a placement: filled replicas, few moves, few idle engines."""
    counts = Counter(after.values())
    filled = sum(min(counts[one.name], one.min_replicas) for one in models)
    moves = sum(1 for vm in before if before[vm] and before[vm] != after[vm])
    idle = sum(1 for name in after.values() if not name)
    return filled, -moves, -idle


class TestChooseModels:
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(st.integers(1, 3), min_size=1, max_size=3),
        st.lists(st.sampled_from(["", *NAMES]), min_size=1, max_size=5),
    )
    def test_is_as_good_as_the_best_placement(self, least: list[int], held: list[str]) -> None:
        models = [model(name, least=count) for name, count in zip(NAMES, least, strict=False)]
        known = {one.name for one in models}
        before = {f"vm-{i}": name if name in known else "" for i, name in enumerate(held)}
        lines = {vm: line(vm, *([name] if name else [])) for vm, name in before.items()}
        engines = [EngineView(vm, (f"{name}@1",) if name else ()) for vm, name in before.items()]

        chosen = choose_models(models, engines, lines)

        after = {vm: names[0] if names else "" for vm, names in chosen.items()}
        best = max(
            score(models, before, dict(zip(before, names, strict=True)))
            for names in product([one.name for one in models], repeat=len(before))
        )
        assert score(models, before, after) == best
        # The choice is stable if nothing has changed.
        again = {vm: line(vm, *names) for vm, names in chosen.items()}
        assert choose_models(models, engines, again) == chosen

    def test_engine_with_several_models_keeps_required_ones(self) -> None:
        models = [model("a"), model("b"), model("c")]
        engines = [EngineView("vm-1", ("a@1", "b@1")), EngineView("vm-2", ("b@1",))]
        assert choose_models(models, engines, {}) == {"vm-1": ("a", "b"), "vm-2": ("c",)}

    def test_pinned_and_unknown_models_are_not_changed(self) -> None:
        engines = [
            EngineView("vm-1", ("a@1",), is_pinned=True),
            EngineView("vm-2", ("a@1",), is_pinned=True),
            EngineView("vm-3", ("foreign",)),
        ]
        models = [model("a"), model("b")]
        assert choose_models(models, engines, {})["vm-2"] == ("a",)
        assert "vm-3" not in target_lines(models, engines, {})


class TestLines:
    def test_model_without_version_counts_as_current_version(self) -> None:
        found = EngineView("vm-1", ("a", "tune", "other"))
        adopted = adopt_line([model("a", "1", adapters=("tune",))], found)
        assert next_step(adopted, found) is None
        assert adopted.kept == ("other",)

        target = target_lines([model("a", "2")], [found], {"vm-1": adopted})["vm-1"]
        actions = [(step.action, step.version, step.adapter) for step in run_steps(target, found)]
        assert actions == [("load", "2", ""), ("unload", "", ""), ("unload_adapter", "", "tune")]

    def test_old_version_is_unloaded_after_new_one_is_ready(self) -> None:
        steps = run_steps(line("vm-1", "a", version="2"), EngineView("vm-1", ("a@1",)))
        assert [step.action for step in steps] == ["load", "unload"]
        assert steps[1].needed == "a@2"

    def test_wave_is_limited_and_waits_for_engines_to_reach_their_line(self) -> None:
        engines = [EngineView(f"vm-{i}", ("a@1",)) for i in range(8)]
        models = [model("a", "2", least=2)]
        lines: dict[str, EngineLine] = {}
        lines = next_lines(models, engines, lines, 0.25)
        first = {vm for vm, one in lines.items() if one.models[0].version == "2"}
        assert len(first) == 2
        assert next_lines(models, engines, lines, 0.25) == lines
        moved = [one._replace(names=("a@2",)) if one.vm in first else one for one in engines]
        assert next_lines(models, moved, lines, 0.25) != lines

    @pytest.mark.parametrize(("others", "allowed"), [(1, False), (2, True)])
    def test_last_ready_replicas_are_not_unloaded(self, others: int, allowed: bool) -> None:
        engines = [EngineView("vm-0", ("a@1",)), EngineView("vm-9", ("a@1",), is_ready=False)]
        engines += [EngineView(f"vm-{i + 1}", ("a@2",)) for i in range(others)]
        step = Step("vm-0", "unload", "a", "1")
        assert may_unload(step, [model("a", "2", least=2)], engines) is allowed
