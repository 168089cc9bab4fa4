"""How long a request may wait for room and still be served whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import MAX_HELPERS, pass_ms, prefill_ms

if TYPE_CHECKING:
    from sassafrastally.proxy.model import EngineProfile, PromptSize

WAIT_MARGIN_S = 0.25
"""Reserve between the latest start and the latest useful one: the longest time between two checks
for room. A longer reserve shortens the waits, and more callers are refused twice."""

WAIT_SHARE = 0.5
"""Largest share of the caller's silence that is spent on waiting. The rest is for the attempt:
engines that are short of room take several times their usual time to the first event, and a short
prompt that starts at the last moment is lost, while one that is refused comes back."""

USUAL_FILL = 0.5
"""Assumed fill of an engine's slots and memory while it writes a response."""


def response_s(profile: EngineProfile, prompt: PromptSize) -> float:
    """Return the time to write a response, after its first event."""
    one_pass_ms = pass_ms(
        profile, round(USUAL_FILL * profile.slots), round(USUAL_FILL * profile.memory_tokens)
    )
    return prompt.output_tokens / profile.steps_per_pass * one_pass_ms / 1000


def latest_start_s(
    arrived_s: float, patience_s: float, deadline_s: float, alone_s: float, writing_s: float
) -> float:
    """Return the time until which a request may wait.

    Parameters
    ----------
    arrived_s
        When the request arrived, or when its caller got the last event.
    patience_s
        Time without an event after which the caller disconnects.
    deadline_s
        When the response must be complete.
    alone_s
        Predicted time to the first event on idle servers.
    writing_s
        Time to write the response after its first event.
    """
    first_event_s = min(arrived_s + WAIT_SHARE * patience_s, deadline_s - writing_s)
    return first_event_s - alone_s - WAIT_MARGIN_S


def least_alone_s(profile: EngineProfile, prompt: PromptSize) -> float:
    """Return the shortest time to a first event, with as many helpers as an engine accepts."""
    part_ms = prefill_ms(profile, prompt.prompt_tokens) / (MAX_HELPERS + 1)
    return (part_ms + pass_ms(profile, 1, prompt.prompt_tokens)) / 1000
