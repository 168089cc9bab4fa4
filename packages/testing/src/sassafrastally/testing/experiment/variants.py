"""Settings of policies that a variant changes: constants, and mechanisms that are off."""

from __future__ import annotations

import importlib
import pkgutil
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import sassafrastally.proxy
from sassafrastally.core.registry import Registry
from sassafrastally.proxy import request_handler, streaming_request
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping, Sequence
    from types import ModuleType

    Switch = Callable[[ExitStack], None]

MECHANISMS: Registry[Switch] = Registry("mechanism")
"""What can be off, by name: each takes the mechanism out until the stack ends."""


@MECHANISMS.register("apart")
def _no_dealing(stack: ExitStack) -> None:
    stack.enter_context(
        patch.object(request_handler, "assigned_servers", lambda views, *_: list(views))
    )


@MECHANISMS.register("quarantine")
def _no_quarantine(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Quarantine, "verdict", lambda *_: None))


@MECHANISMS.register("backpressure")
def _no_backpressure(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Backpressure, "waits_s", lambda *_: {}))


@MECHANISMS.register("near-first")
def _no_near_first(stack: ExitStack) -> None:
    stack.enter_context(
        patch.object(streaming_request, "fits_in_local_data_centre", lambda *_: False)
    )


def variant_problems(
    constants: Mapping[str, Any], without: Sequence[str]
) -> Iterator[tuple[str, str]]:
    """Yield what is wrong with a variant, as key and message."""
    for name, value in constants.items():
        present = _constant(name)
        if present is None:
            yield f"constants.{name}", "no such constant of the request path"
        elif not isinstance(value, int | float) or isinstance(value, bool):
            yield f"constants.{name}", "must be a number"
    for name in without:
        if name not in MECHANISMS.names():
            yield "without", f"no such mechanism: {name}; known: {', '.join(MECHANISMS.names())}"


@contextmanager
def applied(constants: Mapping[str, Any], without: Sequence[str]) -> Iterator[None]:
    """Change the request path of this process as a variant says."""
    with ExitStack() as stack:
        for name, value in constants.items():
            present = _constant(name)
            short = name.rpartition(".")[2]
            # Modules that import a constant have a name of their own for it.
            for module in _modules():
                if short in vars(module) and vars(module)[short] is present:
                    stack.enter_context(patch.object(module, short, value))
        for name in without:
            MECHANISMS.get(name)(stack)
        yield


def _constant(name: str) -> Any:
    """Return a constant's value, ``None`` if there is none of that name."""
    module_name, _, short = name.rpartition(".")
    if not short.isupper():
        return None
    try:
        module = importlib.import_module(f"{sassafrastally.proxy.__name__}.{module_name}")
    except ImportError:
        return None
    found = getattr(module, short, None)
    return found if isinstance(found, int | float) else None


def _modules() -> list[ModuleType]:
    package = sassafrastally.proxy
    return [
        importlib.import_module(f"{package.__name__}.{module.name}")
        for module in pkgutil.iter_modules(package.__path__)
    ]
