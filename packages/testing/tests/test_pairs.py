"""Pairs of failures over small random histories, against a naive reference."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sassafrastally.testing.scenario_pairs import (
    FAILURES,
    Failure,
    Planned,
    Story,
    run_story,
)
from sassafrastally.testing.scenario_sent import SERVICE, Asked

EXAMPLES = int(os.environ.get("SASSAFRASTALLY_PAIRS", "60"))
"""Stories that are drawn; a longer run by hand sets more."""

TIMES_S = st.sampled_from((0.0, 0.002, 0.003, 0.0045, 0.02, 0.05, 0.1, 0.3, 0.6, 1.0))
"""Around the steps of the conversation, which take a latency of 2 ms each, and well into a run."""


def _asked(number: int) -> st.SearchStrategy[Asked]:
    prompt = st.builds(
        Asked,
        marker=st.just(f"r{number}"),
        service=st.just(""),
        prompt_tokens=st.sampled_from((100, 2_000, 8_000)),
        answer_tokens=st.sampled_from((1, 40, 150)),
        is_streamed=st.booleans(),
        is_idempotent=st.booleans(),
        key=st.sampled_from(("", f"key-{number}")),
        time_limit_s=st.sampled_from((6.0, 20.0)),
    )
    call = st.builds(
        Asked,
        marker=st.just(f"r{number}"),
        service=st.just(SERVICE),
        prompt_tokens=st.just(0),
        answer_tokens=st.just(0),
        is_streamed=st.just(False),
        is_idempotent=st.just(False),
        key=st.sampled_from(("", f"key-{number}")),
        time_limit_s=st.sampled_from((6.0, 20.0)),
    )
    return prompt | call


def _planned(number: int) -> st.SearchStrategy[Planned]:
    def with_repeat(asked: Asked) -> st.SearchStrategy[Planned]:
        # Without a key a repeat is another request, which may run as well.
        again_s = st.sampled_from((0.0, 0.001, 0.1, 1.0)) if asked.key else st.just(0.0)
        return st.builds(Planned, st.just(asked), TIMES_S, st.integers(0, 1), again_s)

    return _asked(number).flatmap(with_repeat)


FAILURE = st.builds(
    Failure,
    kind=st.sampled_from(FAILURES.names()),
    at_s=TIMES_S,
    duration_s=st.sampled_from((0.1, 1.0, 4.0)),
    first=st.integers(0, 1),
    second=st.integers(0, 2),
)

REQUESTS = st.integers(1, 4).flatmap(
    lambda count: st.tuples(*(_planned(number) for number in range(count)))
)

BLOCKS = st.sampled_from((0, 560))
"""The smaller memory holds one of the longest prompts at a time."""

STORY = st.builds(Story, REQUESTS, st.tuples(FAILURE, FAILURE), BLOCKS)


class TestPairs:
    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(STORY)
    def test_pairs_of_failures_against_reference(self, story: Story) -> None:
        found = run_story(story)
        assert not found.broken, found
