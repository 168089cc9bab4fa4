"""Computes which engine serves which models, as pure functions without clocks or calls.

Notes
-----
An engine's line is its desired state in the placement record. The target follows from the bundle.
Lines move towards the target in waves, so that the record never requires changes to more than one
wave of engines at once.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from sassafrastally.control.bundle import Model

VERSION_MARK = "@"
"""Separator between name and version of a loaded model."""

DEFAULT_ROLE = "general"


class PlacedModel(NamedTuple):
    """A model version on an engine."""

    model: str
    version: str
    name: str
    """Name on the engine: ``model@version``, or ``model`` if it was loaded without a version."""

    @property
    def versioned_name(self) -> str:
        """The name under which a placement order loads the model."""
        return f"{self.model}{VERSION_MARK}{self.version}"

    def is_ready(self, names: Iterable[str]) -> bool:
        """Return whether an engine's names contain this model version."""
        return any(name in (self.name, self.versioned_name) for name in names)


class EngineLine(NamedTuple):
    """Desired state of one engine."""

    vm: str
    models: tuple[PlacedModel, ...] = ()
    adapters: tuple[str, ...] = ()
    retired_adapters: tuple[str, ...] = ()
    """Adapters of earlier lines, which must be unloaded as adapters instead of as models."""
    kept: tuple[str, ...] = ()
    """Names found on the engine that no bundle contains; placement doesn't unload them."""
    role: str = DEFAULT_ROLE


class EngineView(NamedTuple):
    """Observed state of one engine, as last reported by its sidecar."""

    vm: str
    names: tuple[str, ...] = ()
    """Models as ``name`` or ``name@version``, adapters by name."""
    role: str = DEFAULT_ROLE
    is_pinned: bool = False
    """Whether the sidecar's settings determine what the engine may serve."""
    is_ready: bool = True
    """Whether it replied recently and isn't leaving; only ready engines count as replicas."""


class Step(NamedTuple):
    """One order that brings an engine closer to its line."""

    vm: str
    action: str
    """One of `sassafrastally.control.placement_orders.PlacementAction`."""
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    needed: str = ""
    """For an unload: name of the replacement that must be ready on the engine."""


def base_name(name: str) -> str:
    """Return a model's name on an engine without its version."""
    return name.partition(VERSION_MARK)[0]


def choose_models(
    models: Sequence[Model], engines: Sequence[EngineView], lines: Mapping[str, EngineLine]
) -> dict[str, tuple[str, ...]]:
    """Return the names of the models that each engine should serve, by VM.

    First satisfies every model's `min_replicas` as far as the engines allow, with the fewest moves.
    Then assigns each remaining available engine to the model with the fewest replicas.

    Parameters
    ----------
    models
        The bundle's models.
    engines
        Engines to consider, without those that are leaving or gone.
    lines
        The placement record.
    """
    known = {model.name for model in models}
    chosen = {
        engine.vm: _assigned_models(current_line(models, engine, lines.get(engine.vm)), known)
        for engine in engines
    }
    counts = Counter(name for names in chosen.values() for name in names)
    available = sorted(
        engine.vm for engine in engines if _is_available(engine, lines, chosen[engine.vm])
    )
    pinned = {engine.vm for engine in engines if engine.is_pinned}
    while (underreplicated := _most_underreplicated(models, counts)) is not None:
        vm = available.pop(0) if available else _donor(models, chosen, counts, pinned)
        if vm is None:
            break
        counts.subtract(chosen[vm])
        chosen[vm] = (underreplicated,)
        counts[underreplicated] += 1
    for vm in available:
        if models:
            name = min(models, key=lambda model: counts[model.name]).name
            chosen[vm] = (name,)
            counts[name] += 1
    return chosen


def target_lines(
    models: Sequence[Model], engines: Sequence[EngineView], lines: Mapping[str, EngineLine]
) -> dict[str, EngineLine]:
    """Return the target line of each engine, by VM.

    An engine without a line that runs none of the bundle's models gets a line only when a model is
    assigned to it: what its operator loaded isn't changed.
    """
    chosen = choose_models(models, engines, lines)
    by_name = {model.name: model for model in models}
    target = {}
    for engine in engines:
        now = current_line(models, engine, lines.get(engine.vm))
        names = chosen[engine.vm]
        if names or engine.vm in lines:
            target[engine.vm] = _line_for([by_name[name] for name in names], now)
    return target


def adopt_line(models: Sequence[Model], engine: EngineView) -> EngineLine:
    """Return a line that matches an engine's observed state.

    A model loaded without a version counts as the version in the current bundle.
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
    """Return an engine's line, or one that matches its observed state if it has none.

    Names in `kept` become managed once the bundle contains them.
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
    """Return the record's next lines: new engines are adopted, one wave gets its target line.

    Parameters
    ----------
    models
        The bundle's models.
    engines
        Engines to consider.
    lines
        The placement record.
    wave_share
        Share of the ready engines that may be changing at once; at least one may.

    Notes
    -----
    Engines that haven't reached their line yet count as changing. A version that fails to load
    therefore stops the rollout after one wave, and the other engines continue unchanged.
    """
    target = target_lines(models, engines, lines)
    views = {engine.vm: engine for engine in engines}
    result = {vm: current_line(models, views[vm], lines.get(vm)) for vm in target}
    ready = [engine.vm for engine in engines if engine.is_ready]
    changing = sum(
        1 for vm in ready if vm in result and next_step(result[vm], views[vm]) is not None
    )
    remaining = max(1, int(len(ready) * wave_share)) - changing
    for vm in sorted(ready):
        if vm in target and target[vm] != result[vm] and next_step(result[vm], views[vm]) is None:
            if remaining <= 0:
                break
            result[vm] = target[vm]
            remaining -= 1
    return result


def next_step(line: EngineLine, engine: EngineView) -> Step | None:
    """Return the next order for an engine; ``None`` if it matches its line.

    Loads come before unloads: an engine continues to serve the old version until the new one is
    ready.
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
        return Step(vm, "unload", base, version, needed=_replacement_name(line, base, names))
    if engine.role != line.role:
        return Step(vm, "set_role", role=line.role)
    return None


def surplus_names(line: EngineLine, names: Iterable[str]) -> list[str]:
    """Return the names on an engine that aren't in its line."""
    wanted = {*line.adapters, *line.kept}
    for placed in line.models:
        wanted |= {placed.name, placed.versioned_name}
    return [name for name in names if name not in wanted]


def may_unload(step: Step, models: Sequence[Model], engines: Iterable[EngineView]) -> bool:
    """Return whether enough ready replicas of a model remain after an unload.

    Parameters
    ----------
    step
        The unload.
    models
        The bundle's models.
    engines
        All engines, with their current state.
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
    """Return whether an engine runs any version of a model."""
    return any(base_name(name) == model for name in engine.names)


def _replacement_name(line: EngineLine, base: str, names: Sequence[str]) -> str:
    """Return the name on the engine of the version that replaces an unloaded one."""
    for placed in line.models:
        if placed.model == base:
            return next(name for name in names if placed.is_ready([name]))
    return ""


def _assigned_models(line: EngineLine, known: set[str]) -> tuple[str, ...]:
    return tuple(placed.model for placed in line.models if placed.model in known)


def _is_available(
    engine: EngineView, lines: Mapping[str, EngineLine], assigned: tuple[str, ...]
) -> bool:
    if assigned or engine.is_pinned:
        return False
    line = lines.get(engine.vm)
    return not (line.kept if line else engine.names)


def _most_underreplicated(models: Sequence[Model], counts: Mapping[str, int]) -> str | None:
    """Return the model with the smallest fraction of its minimum replicas, if any lacks some."""
    underreplicated = [model for model in models if counts.get(model.name, 0) < model.min_replicas]
    if not underreplicated:
        return None
    return min(
        underreplicated, key=lambda model: counts.get(model.name, 0) / model.min_replicas
    ).name


def _donor(
    models: Sequence[Model],
    chosen: Mapping[str, tuple[str, ...]],
    counts: Mapping[str, int],
    pinned: set[str],
) -> str | None:
    """Return an engine whose models all have surplus replicas; ``None`` if there is none.

    Prefers engines that serve the fewest models, as they lose the least, and then those whose
    models have the largest surplus.
    """
    surplus = {model.name: counts.get(model.name, 0) - model.min_replicas for model in models}
    donors = [
        vm
        for vm, names in chosen.items()
        if names and vm not in pinned and all(surplus[name] > 0 for name in names)
    ]
    key = lambda vm: (len(chosen[vm]), -min(surplus[name] for name in chosen[vm]), vm)  # noqa: E731
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
