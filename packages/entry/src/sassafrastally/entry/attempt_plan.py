"""Parameters of an attempt at a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.wire.messages import Reserve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import Address, TimeLimit
    from sassafrastally.entry.attempt_result import TakenElsewhere
    from sassafrastally.entry.commit_turn import CommitTurn
    from sassafrastally.entry.request import CallerRequest


class AttemptPlan(NamedTuple):
    """Parameters of one attempt."""

    request: CallerRequest
    request_id: str
    number: int
    vm: str
    address: Address
    generation: int
    shown_tokens: int
    commits_now: bool
    reserve_timeout_s: float
    max_answer_bytes: int
    limit: TimeLimit
    """Time limit of the request, which a second stop signal shortens."""
    max_wait_s: float = 0.0
    """Longest delay of the first token by other work on the sidecar; 0 means no limit."""
    turn: CommitTurn | None = None
    """Turn to commit among the open reservations of the request."""
    ask_others: Callable[[], Awaitable[TakenElsewhere | None]] | None = None
    """Asks the other candidates while the reservation is late; without it the attempt ends."""


def reserve_message(plan: AttemptPlan, time_left_s: float) -> Reserve:
    """Return the reservation with which an attempt begins."""
    request = plan.request
    return Reserve(
        request_id=plan.request_id,
        attempt=plan.number,
        model=request.model,
        service=request.service,
        customer=request.customer.name,
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
        prefix_hashes=request.prefix_hashes,
        time_limit_s=time_left_s,
        idempotent=request.is_idempotent,
        priority=request.customer.priority,
        body_size_bytes=len(request.body),
        generation=plan.generation,
        commit_now=plan.commits_now,
        shown_tokens=plan.shown_tokens,
        operation=request.operation,
        max_wait_s=plan.max_wait_s,
    )
