"""Format of the verdict records in the store."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

from sassafrastally.proxy.fingerprint import fingerprint_text, parse_fingerprint
from sassafrastally.proxy.part_causes import MAX_COMPANIONS
from sassafrastally.proxy.part_trials import MAX_TRIALS_TOLD, UNTRIED, TrialState
from sassafrastally.proxy.quarantine import QUARANTINE_S
from sassafrastally.proxy.quarantine_exchange import VerdictReport

if TYPE_CHECKING:
    from sassafrastally.proxy.verdicts import Verdict


def encode_record(verdict: Verdict, seen_by: str, left_s: float) -> bytes:
    """Return the record of a verdict.

    Parameters
    ----------
    verdict
        The verdict.
    seen_by
        VM that writes the record.
    left_s
        Time until the verdict expires.
    """
    record: dict[str, Any] = {"crashes": verdict.crashes, "seen_by": seen_by}
    record["left_s"] = math.ceil(left_s)
    if verdict.trials != UNTRIED:
        record["trials"] = list(verdict.trials)
    if verdict.companions:
        record["companions"] = [fingerprint_text(part) for part in verdict.companions]
    return json.dumps(record).encode()


def decode_record(subject: int, value: bytes) -> VerdictReport:
    """Return the verdict that a record holds; raises `ValueError`.

    The record doesn't say how long ago it was written: clocks may differ.
    """
    try:
        body: Any = json.loads(value)
    except RecursionError as cause:
        raise ValueError("nested too deeply") from cause
    if not isinstance(body, dict):
        raise ValueError("not an object")
    crashes = body.get("crashes")
    if isinstance(crashes, bool) or not isinstance(crashes, int) or not 0 <= crashes < 1 << 16:
        raise ValueError("crashes is missing or not an integer from 0 to 65535")
    companions = body.get("companions", [])
    if not isinstance(companions, list) or len(companions) > MAX_COMPANIONS:
        raise ValueError(f"companions is not a list of at most {MAX_COMPANIONS} keys")
    keys = tuple(parse_fingerprint(str(text)) for text in companions)
    left_s = body.get("left_s", QUARANTINE_S)
    if isinstance(left_s, bool) or not isinstance(left_s, int | float) or not left_s >= 0:
        raise ValueError("left_s is not a number of seconds")
    trials = _decode_trials(body.get("trials", list(UNTRIED)))
    return VerdictReport(subject, min(left_s, QUARANTINE_S), crashes, keys, trials)


def _decode_trials(trials: Any) -> TrialState:
    """Return what a record says of trials; raises `ValueError`."""
    if (
        not isinstance(trials, list)
        or [type(value) for value in trials] != [int, int, bool]
        or not all(0 <= count <= MAX_TRIALS_TOLD for count in trials[:2])
    ):
        raise ValueError(f"trials are not two counts to {MAX_TRIALS_TOLD} and a flag")
    return TrialState(*trials)


def has_all_trials(subject: int, value: bytes, trials: TrialState) -> bool:
    """Return whether a record includes some trials; also if it can't be decoded."""
    try:
        recorded = decode_record(subject, value).trials
    except ValueError:
        return True  # Of a later version, or not an entry's.
    return recorded.combined(trials) == recorded
