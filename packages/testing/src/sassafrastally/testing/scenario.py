"""Scripted scenarios: a small language over a whole deployment on trio's mock clock.

A file tells a failure as its story in comments, then what happens line by line, then what is
expected. ``docs/design/scenarios.md`` lists the statements.
"""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from typing import TYPE_CHECKING, NamedTuple

import trio
from lark import Lark, Token, Transformer, Tree, UnexpectedInput
from trio.testing import MockClock

from sassafrastally.core import CodedError, error
from sassafrastally.core.logs import configure_logs
from sassafrastally.serving.outcome import Outcome
from sassafrastally.testing import (
    scenario_checks,
    scenario_faults,
    scenario_requests,
)
from sassafrastally.testing.scenario_checks import Expected, Times
from sassafrastally.testing.scenario_sent import Option
from sassafrastally.testing.scenario_stage import STEPS, Place, ScenarioFailed, Stage

if TYPE_CHECKING:
    from sassafrastally.testing.scenario_stage import Step

__all__ = ["Scenario", "ScenarioError", "parse_scenario", "run_scenario"]

_STEP_MODULES = (scenario_checks, scenario_faults, scenario_requests)
"""Imported so that their steps are registered."""

MAX_STORY_S = 900.0
"""Time on the mock clock after which a scenario counts as hung."""


@error(9001)
class ScenarioError(CodedError):
    """A scenario can't be read or an expectation of it failed; the message names file and line."""


class Line(NamedTuple):
    """One statement of a scenario."""

    number: int
    """Line of the file on which it begins."""
    step: Step
    arguments: tuple[object, ...]


class Scenario(NamedTuple):
    """A scenario that was read."""

    file: str
    lines: tuple[Line, ...]


class Values(Transformer[Token, object]):
    """Turns what stands in a statement into the values that its step takes."""

    def INT(self, token: Token) -> int:  # noqa: N802 - lark calls it by the terminal's name
        return int(token)

    def STRING(self, token: Token) -> str:  # noqa: N802
        return str(token)[1:-1]

    def __default_token__(self, token: Token) -> str:
        return str(token)

    def seconds(self, children: list[str]) -> float:
        return float(children[0])

    def services(self, children: list[int]) -> int:
        return children[0]

    def sizes(self, children: list[int]) -> int:
        return children[0]

    def lag(self, children: list[float]) -> float:
        return children[0]

    def vm(self, children: list[str]) -> Place:
        return Place(vm=children[0])

    def server_of(self, children: list[str]) -> Place:
        return Place(request=children[0])

    def options(self, children: list[Option]) -> list[Option]:
        return children

    def prompt_tokens(self, children: list[int]) -> Option:
        return Option("prompt_tokens", children[0])

    def answer_tokens(self, children: list[int]) -> Option:
        return Option("answer_tokens", children[0])

    def streamed(self, _: list[str]) -> Option:
        return Option("is_streamed", True)

    def non_idempotent(self, _: list[str]) -> Option:
        return Option("is_idempotent", False)

    def key(self, children: list[str]) -> Option:
        return Option("key", children[0])

    def time_limit(self, children: list[float]) -> Option:
        return Option("time_limit_s", children[0])

    def completed(self, _: list[str]) -> Expected:
        return Expected(Outcome.COMPLETED)

    def not_run(self, _: list[str]) -> Expected:
        return Expected(Outcome.NOT_RUN)

    def failed(self, _: list[str]) -> Expected:
        return Expected(Outcome.FAILED)

    def unknown(self, _: list[str]) -> Expected:
        return Expected(Outcome.UNKNOWN)

    def refused(self, children: list[str]) -> Expected:
        return Expected(code=children[0])

    def never(self, _: list[str]) -> Times:
        return Times(0, 0)

    def once(self, _: list[str]) -> Times:
        return Times(1, 1)

    def at_most_once(self, _: list[str]) -> Times:
        return Times(0, 1)


def parse_scenario(text: str, file: str) -> Scenario:
    """Read a scenario.

    Raises
    ------
    ScenarioError
        With file and line of the first statement that can't be read.
    """
    parser = _parser()
    try:
        tree = parser.parse(text if text.endswith("\n") else text + "\n")
    except UnexpectedInput as cause:
        shown = cause.get_context(text, span=60).rstrip()
        raise ScenarioError(f"{file}:{cause.line}: can't be read:\n{shown}") from None
    statements = [child for child in tree.children if isinstance(child, Tree)]
    return Scenario(file, tuple(_line(statement) for statement in statements))


def run_scenario(scenario: Scenario, seed: int = 0) -> None:
    """Run a scenario on a mock clock of its own.

    Parameters
    ----------
    scenario
        What happens.
    seed
        Seed of all processes; another one draws other delays and routes.

    Raises
    ------
    ScenarioError
        With file and line of the first expectation that failed.
    """
    configure_logs("error")
    trio.run(_play, scenario, seed, clock=MockClock(autojump_threshold=0))


async def _play(scenario: Scenario, seed: int) -> None:
    failure: ScenarioError | None = None
    at = 0
    try:
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery, seed)
            for line in scenario.lines:
                at = line.number
                try:
                    with trio.fail_after(MAX_STORY_S):
                        await line.step(stage, *line.arguments)
                except (ScenarioFailed, trio.TooSlowError) as cause:
                    failure = ScenarioError(f"{scenario.file}:{at}: {cause or 'hangs'}")
                    break
            nursery.cancel_scope.cancel()
    except ExceptionGroup as crash:
        raise ScenarioError(f"{scenario.file}:{at}: a process crashed: {crash!r}") from crash
    if failure is not None:  # Raised here since the nursery would wrap it into a group.
        raise failure


def _line(statement: Tree[Token]) -> Line:
    values = Values().transform(statement)
    assert isinstance(values, Tree)
    return Line(statement.meta.line, STEPS.get(str(statement.data)), tuple(values.children))


@cache
def _parser() -> Lark:
    grammar = files(__package__).joinpath("scenario.lark").read_text()
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=True)
