"""Registry of scenes, each with one kind of request, and what a scene plays on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core.registry import Registry
from sassafrastally.testing.lag.judge import Terms
from sassafrastally.testing.lag.requests import Kind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    import trio

    from sassafrastally.testing.lag.backend import Manner, Run
    from sassafrastally.testing.lag.callers import Caller, Exchange
    from sassafrastally.testing.lag.loop_thread import LoopThread

IDLE_LIMIT_S = 1.0
"""How long callers' connections may be idle."""

ALL_KINDS = tuple(Kind)

PLAIN_KINDS = (Kind.LOOK, Kind.BOOK)


class Stage(Protocol):
    """Servers, callers, and processes of which one can be blocked.

    Attributes
    ----------
    exchanges
        Requests of the scene that have ended.
    signalled_s
        When the entry got its stop signal; infinite before.
    lag_at_s
        Time after that at which a process is blocked; ``None`` for none.
    lag_s
        For how long.
    """

    exchanges: list[Exchange]
    signalled_s: float
    lag_at_s: float | None
    lag_s: float

    def __init__(self, nursery: trio.Nursery) -> None: ...

    @property
    def entry(self) -> LoopThread:
        """The entry."""
        ...

    @property
    def lagged(self) -> LoopThread:
        """What is blocked."""
        ...

    async def start(self) -> None:
        """Start all servers."""
        ...

    async def start_entry(self, stop_s: float) -> None:
        """Start an entry and wait until it serves all kinds of requests."""
        ...

    async def stop_entry(self) -> None:
        """End the entry without a stop."""
        ...

    def caller(self) -> Caller:
        """Return a caller without a connection."""
        ...

    def follow(self, manner: Manner) -> None:
        """Let plain servers answer in a manner from now on."""
        ...

    def silence_engines(self, duration_s: float) -> None:
        """Let engines send nothing for a while from now on."""
        ...

    def reload(self) -> None:
        """Change settings and configuration, with the same contents."""
        ...

    def stop(self) -> None:
        """Signal the entry to stop, and block a process some time later if the scene has a lag."""
        ...

    def killed_s(self, stop_s: float) -> float:
        """Return when the entry is killed; infinite if it isn't."""
        ...

    def runs(self) -> Sequence[Run]:
        """Return all requests that servers have got so far."""
        ...

    def at(self, perf_s: float) -> float:
        """Return a time of `time.perf_counter` on the clock of callers and servers."""
        ...


class Scene(NamedTuple):
    """A scene, with one kind of request.

    Attributes
    ----------
    stage
        Name of the stage that it is played on.
    stop_s
        Time from the stop signal to the kill; 0 if the scene has no stop.
    lags_from_s
        Time after the stop signal from which a process is blocked.
    """

    stage: str
    kind: Kind
    play: Callable[[Stage, Kind], Awaitable[None]]
    terms: Terms
    stop_s: float
    lags_from_s: float


STAGES: Registry[type[Stage]] = Registry("stage")

PLATFORM = "platform"

PRODUCT_STAGES = ("product-entry", "product-sidecar")
"""The product with its entry or its sidecars blocked."""

PRODUCT_STOP_S = 1.6
"""Time in which the product's entry has stopped, which drains for a second there."""

SCENES: Registry[Scene] = Registry("scene")


def scene(
    name: str,
    kinds: tuple[Kind, ...] = ALL_KINDS,
    *,
    is_served: bool = False,
    breaks: bool = False,
    stop_s: float = 0.0,
    lags_from_s: float = 0.0,
    in_product: bool = False,
) -> Callable[[Callable[[Stage, Kind], Awaitable[None]]], Callable[[Stage, Kind], Awaitable[None]]]:
    """Register a scene once for each kind of request, under ``name/kind``.

    Parameters
    ----------
    in_product
        Whether it is played with the product too, under ``stage:name/kind``.
    """

    def register(
        play: Callable[[Stage, Kind], Awaitable[None]],
    ) -> Callable[[Stage, Kind], Awaitable[None]]:
        terms = Terms(is_served, breaks)
        for stage in (PLATFORM, *(PRODUCT_STAGES if in_product else ())):
            begin = "" if stage == PLATFORM else f"{stage}:"
            stage_stop_s = stop_s if stage == PLATFORM else min(stop_s, PRODUCT_STOP_S)
            for kind in kinds:
                one = Scene(stage, kind, play, terms, stage_stop_s, lags_from_s)
                SCENES.register(f"{begin}{name}/{kind.value}")(one)
        return play

    return register
