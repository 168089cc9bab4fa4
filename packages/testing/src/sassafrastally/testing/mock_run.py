"""Runs on trio's mock clock that give the same result each time."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TypeVar
from unittest.mock import patch

import trio
import trio.testing
from trio._core import _run

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

T = TypeVar("T")


@contextmanager
def seeded_scheduling(seed: int) -> Iterator[None]:
    """Let a seed decide the order of tasks that are ready at the same moment.

    trio draws that order; it has no public way to seed it.
    """
    with patch.object(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", new=True):
        _run._r.seed(seed)
        yield


def run_on_mock_clock(main: Callable[..., Awaitable[T]], seed: int, *arguments: Any) -> T:
    """Run a function in a loop of its own, under a seed."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduling(seed):
        return trio.run(main, *arguments, clock=clock)
