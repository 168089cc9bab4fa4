"""Whether parts are judged as if each was compared with each other one."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrastally.proxy.fingerprint import Subjects
from sassafrastally.proxy.part_causes import (
    CRASHES_DESPITE_RIVALS,
    CRASHES_FOR_VERDICT,
    MAX_COMPANIONS,
    MAX_EXPLANATIONS,
    MIN_RIVAL_CRASHES,
    CarriedParts,
    EvidenceGroups,
    PartEvidence,
)

PARTS = range(8)
SERVERS = st.frozensets(st.integers(0, 6), max_size=7)


class Scene(NamedTuple):
    """What speaks against some parts."""

    evidence: dict[int, PartEvidence]
    companions: dict[int, tuple[int, ...]]
    """Companions of the verdicts, by part."""
    requests: list[frozenset[int]]
    """Servers that each request crashed."""

    def is_covered(self, servers: frozenset[int]) -> bool:
        """Return whether one and the same request ran on all of some servers."""
        return any(servers <= one for one in self.requests)


@st.composite
def evidence(draw: st.DrawFn) -> PartEvidence:
    """Draw what speaks against a part."""
    servers = draw(SERVERS)
    crashes = draw(st.integers(min(1, len(servers)), len(servers)))
    carried_with = draw(st.none() | st.frozensets(st.sampled_from(PARTS)))
    return PartEvidence(
        servers, crashes, draw(st.booleans()), carried_with, servers | draw(SERVERS)
    )


@st.composite
def scenes(draw: st.DrawFn) -> Scene:
    """Draw a scene in which some parts are alike."""
    kinds = draw(st.lists(evidence(), min_size=1, max_size=6))
    parts = draw(st.sets(st.sampled_from(PARTS), min_size=1))
    found = {}
    for part in sorted(parts):
        kind = draw(st.sampled_from(kinds))
        carried_with = kind.carried_with
        found[part] = kind._replace(
            carried_with=None if carried_with is None else carried_with | {part}
        )
    keys = st.sampled_from(sorted(parts))
    required = st.lists(st.sampled_from(PARTS), max_size=MAX_COMPANIONS, unique=True).map(tuple)
    return Scene(
        found,
        draw(st.dictionaries(keys, required, max_size=4)),
        draw(st.lists(SERVERS, max_size=2)),
    )


def is_cause(scene: Scene, part: int) -> bool:
    """Return whether a part is the cause, compared with each other part."""
    own = scene.evidence[part]
    if own.crashes < CRASHES_FOR_VERDICT or scene.is_covered(own.servers):
        return False
    others = {key: one for key, one in scene.evidence.items() if key != part}
    explanations = [
        one.servers & own.servers
        for key, one in others.items()
        if key in scene.companions
        and part not in scene.companions[key]
        and one.servers != own.servers
        and not one.servers.isdisjoint(own.servers)
    ]
    is_explained = 0 < len(explanations) <= MAX_EXPLANATIONS
    if is_explained and len(own.servers.difference(*explanations)) < CRASHES_FOR_VERDICT:
        return False
    has_narrower = any(
        key not in scene.companions
        and one.crashes >= MIN_RIVAL_CRASHES
        and one.servers < own.servers
        and one.was_answered <= own.was_answered
        and not scene.is_covered(one.servers)
        for key, one in others.items()
    )
    return not has_narrower or own.crashes >= CRASHES_DESPITE_RIVALS


def count_rivals(scene: Scene, part: int) -> int:
    """Return how many other parts explain the crashes of a part as well."""
    own, companions = scene.evidence[part], companions_of(scene, part)
    return sum(
        key != part
        and key not in companions
        and key not in scene.companions
        and (own.was_answered or one.crashes >= MIN_RIVAL_CRASHES)
        and len((one.all_servers if own.was_answered else one.servers) & own.servers)
        >= MIN_RIVAL_CRASHES
        and part not in (one.carried_with or ())
        for key, one in scene.evidence.items()
    )


def companions_of(scene: Scene, part: int) -> tuple[int, ...]:
    """Return the parts that came along with a part in all of its crashes."""
    own = scene.evidence[part]
    carried_with = own.carried_with
    found = (
        key
        for key, one in scene.evidence.items()
        if key != part
        and own.was_answered >= one.was_answered
        and (one.servers == own.servers or (carried_with is not None and one.servers > own.servers))
        and (carried_with is None or key in carried_with)
    )
    return tuple(sorted(found)[:MAX_COMPANIONS])


def assert_alike(scene: Scene, groups: EvidenceGroups) -> None:
    """Assert that groups give the same answers as comparisons of each part with each other."""
    for part in scene.evidence:
        assert groups.companions_of(part) == companions_of(scene, part)
        if part in scene.companions:
            continue
        assert groups.is_cause(part) == is_cause(scene, part)
        for most in (0, 1, 3):
            assert groups.has_more_rivals(part, most) == (count_rivals(scene, part) > most)


class TestEvidenceGroups:
    """Guards against other verdicts on parts that are compared in groups."""

    @settings(max_examples=600, deadline=None)
    @given(scenes())
    def test_findings_are_those_of_each_part_alone(self, scene):
        groups = EvidenceGroups(scene.evidence, scene.companions, scene.is_covered)
        assert_alike(scene, groups)

    @settings(max_examples=300, deadline=None)
    @given(scenes(), st.lists(st.tuples(st.sampled_from(PARTS), st.booleans()), max_size=6))
    def test_changes_of_verdicts_are_taken_over(self, scene, changes):
        groups = EvidenceGroups(scene.evidence, scene.companions, scene.is_covered)
        for part, has_verdict in changes:
            groups.set_verdict(part, () if has_verdict else None)
            scene.companions.pop(part, None)
            if has_verdict and part in scene.evidence:
                scene.companions[part] = ()
            assert_alike(scene, groups)


class TestCarriedParts:
    """Guards against other sets of parts that came along, as equal ones are shared."""

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.integers(100, 103), st.sets(st.sampled_from(PARTS))), max_size=8))
    def test_sets_are_those_of_each_part_alone(self, requests):
        carried, alone = CarriedParts(), {}
        for fingerprint, parts in requests:
            carried.record(Subjects(fingerprint, tuple(parts)))
            for subject in (fingerprint, *parts) if parts else ():
                alone[subject] = alone.get(subject, frozenset(parts)) & parts
        assert {subject: carried.get(subject) for subject in alone} == alone
