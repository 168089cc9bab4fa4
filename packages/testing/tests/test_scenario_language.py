"""The scenario language itself: what it says about files that can't be read or don't hold."""

from __future__ import annotations

import re
from importlib.resources import files

import pytest

from sassafrastally.testing.scenario import ScenarioError, Values, parse_scenario, run_scenario
from sassafrastally.testing.scenario_stage import STEPS

GIVEN = "# A story.\n\ngiven 1 entry and 1 engine\n"


def _run(text: str) -> None:
    run_scenario(parse_scenario(GIVEN + text, "tale.scenario"))


class TestReading:
    @pytest.mark.parametrize(
        "line",
        ["kill the", "expect note completely", "send note to entry-1", "wait 3 minutes", "boom"],
    )
    def test_error_names_file_and_line(self, line: str) -> None:
        with pytest.raises(ScenarioError, match=r"tale\.scenario:4: can't be read"):
            parse_scenario(f"{GIVEN}{line}\nwait 1 s\n", "tale.scenario")

    def test_statements_go_on_after_a_comma_and_keep_their_line(self) -> None:
        text = GIVEN + 'send a through entry-1: key "k",\n    streamed\n\n# More.\nwait 1 s'
        assert [line.number for line in parse_scenario(text, "x").lines] == [3, 4, 8]

    def test_every_statement_has_a_step_and_every_step_a_statement(self) -> None:
        grammar = files("sassafrastally.testing").joinpath("scenario.lark").read_text()
        aliases = {"given", *re.findall(r"-> (\w+)", grammar)}
        assert {alias for alias in aliases if not hasattr(Values, alias)} == set(STEPS.names())


class TestExpectations:
    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            (
                "send a through entry-1: answer 9 tokens\nwhen a is over\nexpect a failed",
                "complete",
            ),
            (
                "send a through entry-1: answer 9 tokens\nwhen a is over\nexpect a ran never",
                "ran 1",
            ),
            ("expect generation 2 everywhere within 1 s\n", "generation 1 is in force"),
            ("expect b whole", "no request 'b' was sent"),
            ("kill the server of b", "no request 'b' was sent"),
        ],
    )
    def test_failure_names_file_and_line(self, text: str, reason: str) -> None:
        last = len((GIVEN + text.rstrip()).splitlines())
        with pytest.raises(ScenarioError, match=rf"tale\.scenario:{last}: .*{reason}"):
            _run(text)

    def test_memory_that_stays_taken_is_found(self) -> None:
        text = (
            "send a through entry-1: prompt 9000 tokens, answer 500 tokens, streamed\n"
            "when a is streaming\nexpect memory free within 0.1 s"
        )
        with pytest.raises(ScenarioError, match=r"tale\.scenario:6: .*blocks free"):
            _run(text)
