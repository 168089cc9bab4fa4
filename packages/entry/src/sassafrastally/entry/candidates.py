"""Candidates for a request: the sidecars that can serve it according to their load reports."""

from __future__ import annotations

from collections import defaultdict
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.entry.lost_targets import LostTargets
from sassafrastally.serving.lanes import lane_of
from sassafrastally.serving.routing import Candidate

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.control.bundle import Weights
    from sassafrastally.control.interfaces import Membership, PeerLoad
    from sassafrastally.core import Address
    from sassafrastally.entry.request import CallerRequest

VERSION_MARK = "@"
"""Separates the name and the version of a loaded model."""


class Reachable(NamedTuple):
    """A candidate and the address that it accepts links on."""

    candidate: Candidate
    address: Address


class _InFlight:
    """In-flight attempts of this entry on one sidecar."""

    __slots__ = ("attempts", "tokens")

    def __init__(self) -> None:
        self.attempts = 0
        self.tokens = 0


class Candidates:
    """Builds the candidates for requests and counts the entry's in-flight attempts on them.

    Load reports lag. Without the count of its own in-flight attempts, an entry would send a burst
    to an idle sidecar before the next report.

    Parameters
    ----------
    membership
        Source of the load reports.
    data_centre
        The entry's own data centre.
    """

    def __init__(self, membership: Membership, data_centre: str) -> None:
        self._membership = membership
        self._data_centre = data_centre
        self._in_flight: defaultdict[str, _InFlight] = defaultdict(_InFlight)
        self._lost_targets = LostTargets()

    def for_request(
        self, request: CallerRequest, weights: Weights, now_s: float
    ) -> dict[str, Reachable]:
        """Return the sidecars that report serving the target and aren't leaving, by VM."""
        serving = [load for load in self._membership.loads() if _serves(load, request)]
        known = {
            load.state.vm: Reachable(
                self._candidate(load, request, weights, now_s), load.state.peer_address
            )
            for load in serving
            if not self._is_leaving(load)
        }
        if serving and not known:
            self._lost_targets.forget(request.target)
        else:
            self._lost_targets.record(request.target, now_s, is_served=bool(known))
        return known

    def may_return(self, request: CallerRequest, now_s: float) -> bool:
        """Return whether a request without sidecars waits, since all were lost just now."""
        return self._lost_targets.waits(request.target, now_s)

    def address_of(self, vm: str) -> Address | None:
        """Return the address of a sidecar for links; ``None`` if it isn't in the VM list."""
        states = self._membership.vms("sidecar")
        return next((state.peer_address for state in states if state.vm == vm), None)

    @contextmanager
    def in_flight(self, vm: str, tokens: int) -> Iterator[None]:
        """Count an attempt as in flight on a sidecar for the duration of the context."""
        counted = self._in_flight[vm]
        counted.attempts += 1
        counted.tokens += tokens
        try:
            yield
        finally:
            counted.attempts -= 1
            counted.tokens -= tokens
            if not counted.attempts:
                self._in_flight.pop(vm, None)

    def _is_leaving(self, load: PeerLoad) -> bool:
        return load.report.leaving or self._membership.is_leaving(load.state.vm)

    def _candidate(
        self, load: PeerLoad, request: CallerRequest, weights: Weights, now_s: float
    ) -> Candidate:
        state, report = load.state, load.report
        own = self._in_flight.get(state.vm)
        return Candidate(
            vm=state.vm,
            data_centre=state.data_centre,
            is_near=state.data_centre == self._data_centre,
            queued_tokens=report.queued_tokens,
            running=report.running,
            free_blocks=report.free_blocks,
            total_blocks=report.total_blocks,
            block_tokens=report.block_tokens,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            first_token_s=_first_token_s(report.first_token_s, request.prompt_tokens, weights),
            report_age_s=max(0.0, now_s - load.received_s),
            in_flight=own.attempts if own else 0,
            in_flight_tokens=own.tokens if own else 0,
        )


def _serves(load: PeerLoad, request: CallerRequest) -> bool:
    if request.service:
        return request.service in load.report.services
    return any(loaded.partition(VERSION_MARK)[0] == request.model for loaded in load.report.models)


def _first_token_s(by_lane: tuple[float, ...], prompt_tokens: int, weights: Weights) -> float:
    """Return the predicted time to first token for a prompt's lane; 0 if not reported."""
    lane = lane_of(prompt_tokens, weights)
    return by_lane[lane] if lane < len(by_lane) else 0.0
