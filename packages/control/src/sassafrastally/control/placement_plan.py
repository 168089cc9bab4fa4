"""Which engine is to serve which models: pure functions, without time or calls.

Notes
-----
An engine's line says what it is to run now. The goal follows from the bundle alone; lines move
towards it a wave at a time, so that the written record never asks for more than one wave's change.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from sassafrastally.control.bundle import Model

VERSION_MARK = "@"
"""Stands between name and version of a loaded model."""

DEFAULT_ROLE = "general"


class PlacedModel(NamedTuple):
    """A model on an engine."""

    model: str
    version: str
    name: str
    """Engine's name of it: ``model@version``, or ``model`` if it was loaded without a version."""

    @property
    def versioned_name(self) -> str:
        """The name under which an order of placement loads it."""
        return f"{self.model}{VERSION_MARK}{self.version}"

    def is_ready(self, names: Iterable[str]) -> bool:
        """Return whether it is among an engine's names."""
        return any(name in (self.name, self.versioned_name) for name in names)


class EngineLine(NamedTuple):
    """What one engine is to run."""

    vm: str
    models: tuple[PlacedModel, ...] = ()
    adapters: tuple[str, ...] = ()
    retired_adapters: tuple[str, ...] = ()
    """Adapters that stood in earlier lines: they are unloaded as adapters, not as models."""
    kept: tuple[str, ...] = ()
    """Names that the engine had before placement and that no bundle knew; they are left alone."""
    role: str = DEFAULT_ROLE


class EngineView(NamedTuple):
    """What one engine runs, as its sidecar last said."""

    vm: str
    names: tuple[str, ...] = ()
    """Models as ``name`` or ``name@version``, adapters by their names."""
    role: str = DEFAULT_ROLE
    is_pinned: bool = False
    """Whether the sidecar's settings fix what may be served there."""
    is_ready: bool = True
    """Whether it answered lately and isn't leaving; only such an engine counts as a replica."""


class Step(NamedTuple):
    """One order that brings an engine nearer to its line."""

    vm: str
    action: str
    """One of `sassafrastally.control.placement_orders.PlacementAction`."""
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    needed: str = ""
    """For an unload: name that must be ready on the engine."""


def base_name(name: str) -> str:
    """Return an engine's name of a model without its version."""
    return name.partition(VERSION_MARK)[0]


def choose_models(
    models: Sequence[Model], engines: Sequence[EngineView], lines: Mapping[str, EngineLine]
) -> dict[str, tuple[str, ...]]:
    """Return the names of the models that each engine is to serve, by VM.

    Fills as much of every model's `min_replicas` as the engines allow, with the fewest moves; then
    no engine that may take a model stays without one, and those go where there are fewest.

    Parameters
    ----------
    models
        The bundle's models.
    engines
        Engines that count; those that leave or are gone aren't among them.
    lines
        The record.
    """
    known = {model.name for model in models}
    chosen = {
        engine.vm: _held(current_line(models, engine, lines.get(engine.vm)), known)
        for engine in engines
    }
    counts = Counter(name for names in chosen.values() for name in names)
    free = sorted(engine.vm for engine in engines if _is_free(engine, lines, chosen[engine.vm]))
    fixed = {engine.vm for engine in engines if engine.is_pinned}
    while (needy := _neediest(models, counts)) is not None:
        vm = free.pop(0) if free else _donor(models, chosen, counts, fixed)
        if vm is None:
            break
        counts.subtract(chosen[vm])
        chosen[vm] = (needy,)
        counts[needy] += 1
    for vm in free:
        if models:
            name = min(models, key=lambda model: counts[model.name]).name
            chosen[vm] = (name,)
            counts[name] += 1
    return chosen


def goal_lines(
    models: Sequence[Model], engines: Sequence[EngineView], lines: Mapping[str, EngineLine]
) -> dict[str, EngineLine]:
    """Return the line that each engine is to come to, by VM.

    An engine without a line that runs none of the bundle's models has none afterwards either,
    unless a model is given to it: what its operator loaded is left alone.
    """
    chosen = choose_models(models, engines, lines)
    by_name = {model.name: model for model in models}
    goal = {}
    for engine in engines:
        now = current_line(models, engine, lines.get(engine.vm))
        names = chosen[engine.vm]
        if names or engine.vm in lines:
            goal[engine.vm] = _line_for([by_name[name] for name in names], now)
    return goal


def adopt_line(models: Sequence[Model], engine: EngineView) -> EngineLine:
    """Return the line that describes an engine as it was found.

    A model that was loaded without a version counts as the version that the bundle names now.
    """
    by_name = {model.name: model for model in models}
    placed: dict[str, PlacedModel] = {}
    for name in engine.names:
        model = by_name.get(base_name(name))
        if model is None:
            continue
        version = name.partition(VERSION_MARK)[2] or model.version
        if model.name not in placed or version == model.version:
            placed[model.name] = PlacedModel(model.name, version, name)
    adapters = {adapter for name in placed for adapter in by_name[name].adapters}
    foreign = [name for name in engine.names if base_name(name) not in by_name]
    return EngineLine(
        vm=engine.vm,
        models=tuple(placed.values()),
        adapters=tuple(name for name in foreign if name in adapters),
        kept=tuple(name for name in foreign if name not in adapters),
        role=engine.role,
    )


def current_line(
    models: Sequence[Model], engine: EngineView, line: EngineLine | None
) -> EngineLine:
    """Return an engine's line, or the line that describes it as it was found.

    What was left alone because no bundle knew it is taken in once the bundle names it.
    """
    if line is None:
        return adopt_line(models, engine)
    if not line.kept:
        return line
    found = adopt_line(models, engine._replace(names=line.kept))
    return line._replace(
        models=line.models + found.models, adapters=line.adapters + found.adapters, kept=found.kept
    )


def next_lines(
    models: Sequence[Model],
    engines: Sequence[EngineView],
    lines: Mapping[str, EngineLine],
    wave_share: float,
) -> dict[str, EngineLine]:
    """Return the record's next lines: engines found anew are adopted, a wave of others moves on.

    Parameters
    ----------
    models
        The bundle's models.
    engines
        Engines that count.
    lines
        The record.
    wave_share
        Share of the ready engines that may be under change at once; at least one may.

    Notes
    -----
    Engines that were given a line and haven't come to it count as under change. A version that
    doesn't load therefore stops the change after one wave, and the others go on as they are.
    """
    goal = goal_lines(models, engines, lines)
    views = {engine.vm: engine for engine in engines}
    result = {vm: current_line(models, views[vm], lines.get(vm)) for vm in goal}
    ready = [engine.vm for engine in engines if engine.is_ready]
    changing = sum(
        1 for vm in ready if vm in result and next_step(result[vm], views[vm]) is not None
    )
    room = max(1, int(len(ready) * wave_share)) - changing
    for vm in sorted(ready):
        if vm in goal and goal[vm] != result[vm] and next_step(result[vm], views[vm]) is None:
            if room <= 0:
                break
            result[vm] = goal[vm]
            room -= 1
    return result


def next_step(line: EngineLine, engine: EngineView) -> Step | None:
    """Return the next order for an engine; ``None`` when it runs what its line says.

    Loads come before unloads: an engine that is to serve a new version goes on with the old one
    until the new one is ready.
    """
    vm, names = line.vm, engine.names
    for placed in line.models:
        if not placed.is_ready(names):
            return Step(vm, "load", placed.model, placed.version)
    for adapter in line.adapters:
        if adapter not in names:
            model = line.models[0] if line.models else PlacedModel("", "", "")
            return Step(vm, "load_adapter", model.model, model.version, adapter)
    for name in surplus_names(line, names):
        if name in line.retired_adapters:
            return Step(vm, "unload_adapter", adapter=name)
        base, _, version = name.partition(VERSION_MARK)
        return Step(vm, "unload", base, version, needed=_needed(line, base, names))
    if engine.role != line.role:
        return Step(vm, "set_role", role=line.role)
    return None


def surplus_names(line: EngineLine, names: Iterable[str]) -> list[str]:
    """Return what an engine runs and its line doesn't name."""
    wanted = {*line.adapters, *line.kept}
    for placed in line.models:
        wanted |= {placed.name, placed.versioned_name}
    return [name for name in names if name not in wanted]


def may_unload(step: Step, models: Sequence[Model], engines: Iterable[EngineView]) -> bool:
    """Return whether an unload leaves a model enough ready replicas.

    Parameters
    ----------
    step
        The unload.
    models
        The bundle's models.
    engines
        All engines, as they were seen just now.
    """
    model = next((model for model in models if model.name == step.model), None)
    if model is None or step.needed:
        return True
    others = sum(
        1
        for engine in engines
        if engine.is_ready and engine.vm != step.vm and serves(engine, model.name)
    )
    return others >= model.min_replicas


def serves(engine: EngineView, model: str) -> bool:
    """Return whether an engine runs a model in any version."""
    return any(base_name(name) == model for name in engine.names)


def _needed(line: EngineLine, base: str, names: Sequence[str]) -> str:
    """Return the engine's name of the version that replaces one that is unloaded."""
    for placed in line.models:
        if placed.model == base:
            return next(name for name in names if placed.is_ready([name]))
    return ""


def _held(line: EngineLine, known: set[str]) -> tuple[str, ...]:
    return tuple(placed.model for placed in line.models if placed.model in known)


def _is_free(engine: EngineView, lines: Mapping[str, EngineLine], held: tuple[str, ...]) -> bool:
    if held or engine.is_pinned:
        return False
    line = lines.get(engine.vm)
    return not (line.kept if line else engine.names)


def _neediest(models: Sequence[Model], counts: Mapping[str, int]) -> str | None:
    """Return the model that has the smallest part of its replicas."""
    needy = [model for model in models if counts.get(model.name, 0) < model.min_replicas]
    if not needy:
        return None
    return min(needy, key=lambda model: counts.get(model.name, 0) / model.min_replicas).name


def _donor(
    models: Sequence[Model],
    chosen: Mapping[str, tuple[str, ...]],
    counts: Mapping[str, int],
    fixed: set[str],
) -> str | None:
    """Return an engine whose every model has replicas to spare, from the model with most of them.

    Engines that serve fewest models come first: they give up least.
    """
    spare = {model.name: counts.get(model.name, 0) - model.min_replicas for model in models}
    donors = [
        vm
        for vm, names in chosen.items()
        if names and vm not in fixed and all(spare[name] > 0 for name in names)
    ]
    key = lambda vm: (len(chosen[vm]), -min(spare[name] for name in chosen[vm]), vm)  # noqa: E731
    return min(donors, key=key, default=None)


def _line_for(models: Sequence[Model], now: EngineLine) -> EngineLine:
    names = {(placed.model, placed.version): placed.name for placed in now.models}
    placed = tuple(
        PlacedModel(
            model.name,
            model.version,
            names.get((model.name, model.version), f"{model.name}{VERSION_MARK}{model.version}"),
        )
        for model in models
    )
    adapters = tuple(dict.fromkeys(name for model in models for name in model.adapters))
    retired = dict.fromkeys((*now.retired_adapters, *now.adapters))
    return now._replace(
        models=placed,
        adapters=adapters,
        retired_adapters=tuple(name for name in retired if name not in adapters),
    )
