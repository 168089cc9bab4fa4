"""Experiments: their files, arrivals, runs, comparisons and results."""

from __future__ import annotations

from pathlib import Path

import pytest

from sassafrastally.core.findings import FindingsError
from sassafrastally.proxy import lanes
from sassafrastally.testing.experiment import Matrix, compare, load_plan, play, play_matrix
from sassafrastally.testing.experiment.arrivals import arrivals
from sassafrastally.testing.experiment.compare import BETTER, SAME, UNKNOWN, WORSE
from sassafrastally.testing.experiment.page import make_page
from sassafrastally.testing.experiment.rows import (
    IN_TIME,
    LATE,
    RequestRow,
    RunRows,
    decode_rows,
    encode_rows,
)
from sassafrastally.testing.experiment.variants import applied

SHIPPED = sorted((Path(__file__).parents[3] / "experiments").glob("*.toml"))

SMALL = """
name = "small"
duration_s = 2.0
seeds = [1]
entries = 2
engines = [{ number = 2 }]
plain_servers = 1

[[routes]]
name = "note"

[[traffic]]
route = "note"
per_s = 10.0
"""

TROUBLED = f"""{SMALL}
[[troubles]]
kind = "entries-killed"
at_s = 0.5
for_s = 0.5

[[troubles]]
kind = "engines-crash"
at_s = 0.2
for_s = 0.1
"""


def rows(variant: str, seed: int, served: int, asked: int = 10) -> RunRows:
    """Return a run of which some requests were served in time."""
    requests = tuple(
        RequestRow(
            n, 0.1 * n, "note", "ana", False, 10, IN_TIME if n < served else LATE, 1, 0.1, 0.0, ()
        )
        for n in range(asked)
    )
    return RunRows(variant, seed, requests, (), 0, 0)


class TestPlan:
    """What an experiment's file may say."""

    @pytest.mark.parametrize("file", SHIPPED, ids=lambda file: file.stem)
    def test_shipped_files_are_right(self, file):
        assert load_plan(file.read_text(), file.name).variants

    def test_all_findings_are_told_with_their_places(self):
        text = SMALL.replace('route = "note"', 'route = "nowhere"') + (
            '[[troubles]]\nkind = "rain"\nat_s = 1.0\nfor_s = 1.0\n'
            '[variants.odd]\nwithout = ["luck"]\nconstants = { "lanes.NOTHING" = 1 }\n'
        )
        with pytest.raises(FindingsError) as found:
            load_plan(text, "x.toml")
        places = [(finding.place.line, finding.place.key) for finding in found.value.findings]
        assert places == [
            (13, "traffic[0].route"),
            (16, "troubles[0].kind"),
            (20, "variants.odd.without"),
            (21, "variants.odd.constants.lanes.NOTHING"),
        ]

    def test_variants_are_named_like_files_and_seeds_differ(self):
        text = SMALL.replace("[1]", "[1, 1]") + '[variants."../x"]\n'
        with pytest.raises(FindingsError) as found:
            load_plan(text, "x")
        assert [finding.place.key for finding in found.value.findings] == ["seeds", "variants.../x"]

    def test_unknown_keys_and_wrong_types_are_findings(self):
        with pytest.raises(FindingsError, match=r"colour: unknown key"):
            load_plan(SMALL + 'colour = "red"\n', "x.toml")
        with pytest.raises(FindingsError, match="duration_s: must be a finite number"):
            load_plan(SMALL.replace("2.0", '"long"', 1), "x.toml")


class TestArrivals:
    """Requests that are drawn."""

    def test_bursts_are_as_dense_as_they_should(self):
        text = SMALL.replace("duration_s = 2.0", "duration_s = 60.0")
        plan = load_plan(text + "bursts = [{ at_s = 20.0, for_s = 20.0, times = 5.0 }]\n", "x")
        drawn = arrivals(plan, 3)
        inside = sum(20 <= arrival.at_s < 40 for arrival in drawn)
        assert 850 < inside < 1150
        assert 320 < len(drawn) - inside < 480
        assert drawn == arrivals(plan, 3)
        assert drawn != arrivals(plan, 4)


class TestRuns:
    """Plays on the real request path."""

    def test_same_seed_gives_the_same_rows(self):
        plan = load_plan(TROUBLED, "x")
        first, again = play(plan, "base", 1), play(plan, "base", 1)
        assert encode_rows(first, "d") == encode_rows(again, "d")
        assert play(plan, "base", 2) != first

    def test_callers_are_served_through_troubles(self):
        found = play(load_plan(TROUBLED, "x"), "base", 1)
        assert found.crashes == 1
        assert found.served_share() > 0.5
        assert max(row.attempts for row in found.requests) > 1

    def test_variant_changes_constants_for_its_time_only(self):
        before = lanes.SHORT_FILL
        with applied({"lanes.SHORT_FILL": 0.1}, ["apart"]):
            assert lanes.SHORT_FILL == 0.1
        assert before == lanes.SHORT_FILL


class TestResults:
    """Rows, comparisons and the page."""

    def test_rows_are_read_back_if_whole_and_of_the_same_plan(self):
        text = encode_rows(rows("base", 1, 5), "d")
        assert decode_rows(text, "d") == rows("base", 1, 5)
        assert decode_rows(text, "other") is None
        assert decode_rows(text[:-40], "d") is None
        assert decode_rows(text.rsplit("\n", 2)[0], "d") is None

    @pytest.mark.parametrize(
        ("served", "verdict"),
        [([8, 9, 8, 9], BETTER), ([2, 1, 2, 2], WORSE), ([4, 6, 5, 5], SAME), ([9], UNKNOWN)],
    )
    def test_verdict_follows_from_pairs(self, served, verdict):
        seeds = range(len(served))
        runs = [rows("base", seed, 5) for seed in seeds]
        runs += [rows("other", seed, served[seed]) for seed in seeds]
        of_other = next(one for one in compare(runs, ["note"]) if one.variant == "other")
        assert of_other.verdict == verdict

    def test_page_needs_no_network(self, tmp_path):
        plan = load_plan(SMALL + "[variants.other]\n", "x")
        page = make_page(plan, [rows("base", 1, 5), rows("other", 1, 9)])
        assert "src=" not in page.replace(" ", "").split("<pre>")[0]
        assert "+0.400" in page

    def test_interrupted_matrix_goes_on(self, tmp_path):
        """Guards against playing hours of runs again."""
        matrix = Matrix(load_plan(SMALL, "x"), SMALL, tmp_path, 1)
        told: list[str] = []
        (first,) = play_matrix(matrix, told.append)
        assert play_matrix(matrix, told.append, may_resume=True) == [first]
        assert len(told) == 1
