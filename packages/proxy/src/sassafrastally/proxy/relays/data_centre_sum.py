"""Sum of the state of a data centre's entries, which its relays send to the other data centres."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from sassafrastally.proxy.contention import sum_contention
from sassafrastally.proxy.failure_rates import (
    SenderCounts,
    sum_of_centre,
    with_most_failures,
)
from sassafrastally.proxy.load import sum_work
from sassafrastally.proxy.store_watchers import WatchCandidate, watchers
from sassafrastally.proxy.warm_up import age_colds, longest_first

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from sassafrastally.proxy.failure_rates import FailureCounts
    from sassafrastally.proxy.load import Work
    from sassafrastally.proxy.peer_messages import Hello


def sum_hellos(
    own: Hello, own_entry: WatchCandidate, hellos: Sequence[tuple[Hello, float]]
) -> Hello:
    """Return the sum of a data centre.

    Parameters
    ----------
    own
        State of the entry that sends the sum.
    own_entry
        This entry as a candidate for watching the store.
    hellos
        State of the other live entries of the data centre, with their ages in seconds.
    """
    at_the_store = [
        WatchCandidate(
            hello.host,
            hello.store_age_s + age_s,
            hello.link_mbps,
            is_overloaded=hello.is_overloaded,
        )
        for hello, age_s in hellos
        if not hello.is_stopping
    ]
    suspects = [
        {key: for_s - age_s for key, for_s in hello.suspects.items()} for hello, age_s in hellos
    ]
    colds = [age_colds(hello.colds, age_s) for hello, age_s in hellos]
    return own._replace(
        entries=1 + len(hellos),
        loads=_sum_loads(hello.loads for hello in (own, *(hello for hello, _ in hellos))),
        suspects=max_by_key([own.suspects, *suspects]),
        paces=max_by_key([own.paces, *(hello.paces for hello, _ in hellos)]),
        failures=_sum_failures((own, *(hello for hello, _ in hellos))),
        watchers=tuple(watchers([own_entry, *at_the_store])),
        contention=sum_contention(
            [(own.contention, 0.0), *((hello.contention, age_s) for hello, age_s in hellos)]
        ),
        colds=longest_first(max_by_key([own.colds, *colds])),
    )


def max_by_key(mappings: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """Return the highest value of each key."""
    highest: dict[int, float] = {}
    for mapping in mappings:
        for key, value in mapping.items():
            highest[key] = max(highest.get(key, 0.0), value)
    return highest


def _sum_failures(hellos: Iterable[Hello]) -> dict[int, FailureCounts]:
    senders = [SenderCounts(hello.failures) for hello in hellos if hello.failures]
    return with_most_failures(sum_of_centre(senders))


def _sum_loads(loads: Iterable[Mapping[int, Work]]) -> dict[int, Work]:
    by_server: defaultdict[int, list[Work]] = defaultdict(list)
    for mapping in loads:
        for key, work in mapping.items():
            by_server[key].append(work)
    return {key: sum_work(works) for key, works in by_server.items()}
