"""``sassafrastally why``: what the logs say about one request, and what was believed then."""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.proxy.fingerprint import fingerprint_text, part_key

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable, Iterator

BEFORE_S = 5.0
"""Changes of belief in this time before the request are shown: entries, configuration and
suspicion change within seconds, and older ones stand in the request's own lines."""

BELIEFS = frozenset(
    {
        "ConfigurationIgnored",
        "ConfigurationInForce",
        "DataCentreEvacuated",
        "DocumentRejected",
        "EvacuationEnded",
        "EvacuationKept",
        "EvacuationUnknown",
        "HistoryReread",
        "LogLinesMissing",
        "PeerHeard",
        "PeerSilent",
        "ProcessDraining",
        "ProcessStarted",
        "ServerCoolingDown",
        "ServerGone",
        "ServerHeld",
        "ServerKeptDraining",
        "ServerKnown",
        "ServerLapsed",
        "ServerLeaving",
        "ServerLimitEnded",
        "ServerLimited",
        "ServerSuspected",
        "StoreLost",
        "StoreRegained",
        "StoreRestored",
        "WatchTakenOver",
    }
)
"""Events that change what a process believes, whatever request is asked for."""

ABOUT_CONTENT = frozenset(
    {
        "PromptPartQuarantined",
        "PromptPartTried",
        "QuarantineLifted",
        "RequestQuarantined",
        "ServerCrashed",
        "ServerCrashPresumed",
    }
)
"""Events about what a request holds, whoever asked and wherever: of requests with the same
fingerprint as the one that is asked for, or with the prompt part for which that was refused, all of
them are shown, however long before."""

_REFUSED_FOR_PARTS = re.compile(r"with prompt part (\w+(?: and \w+)*)")
"""Detail of the refusal of a request because of parts of its prompt."""

HIDDEN = ("event", "level", "timestamp", "number", "vm", "request_id")


class Line(NamedTuple):
    """One line of a log."""

    order: int
    fields: dict[str, Any]

    @property
    def moment(self) -> str:
        """Time of day, in a form that sorts."""
        return str(self.fields.get("timestamp", ""))


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    parser = subparsers.add_parser("why", help="say from logs what happened to a request")
    parser.add_argument("request_id", metavar="REQUEST-ID")
    parser.add_argument("files", metavar="FILE", nargs="*", help="logs; standard input without any")
    parser.set_defaults(run=run)


async def run(arguments: argparse.Namespace) -> int:
    """Print the request's lines among the changes of belief that may have decided them."""
    lines = sorted(read_lines(_texts(arguments.files)), key=lambda line: (line.moment, line.order))
    own = [line for line in lines if line.fields.get("request_id") == arguments.request_id]
    if not own:
        print(f"no line about {arguments.request_id}", file=sys.stderr)
        return ExitCode.FAILED
    for line in relevant(lines, own):
        print(describe(line, is_own=line in own))
    return ExitCode.OK


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Return the JSON objects of log lines; a prefix before the object is passed over."""
    for order, text in enumerate(texts):
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(text[begin:])
        except ValueError:
            continue  # Not a line of ours, such as a trace of the interpreter.
        if isinstance(fields, dict):
            yield Line(order, fields)


def relevant(lines: list[Line], own: list[Line]) -> list[Line]:
    """Return the request's lines and what led to them.

    That is changes of belief on its VMs shortly before, about the servers that it was sent to or,
    if it was sent to none, about all; and crashes under the same request of other ids, or with the
    prompt part for which it was refused, on all VMs.
    """
    vms = {line.fields.get("vm") for line in own}
    contents = {str(line.fields.get("fingerprint", "")) for line in own} - {""}
    parts = _refused_parts(own)
    contents |= {fingerprint_text(part_key(part)) for part in parts}
    servers = {str(line.fields.get("server_id", "")) for line in own} - {""}
    first, last = lines.index(own[0]), lines.index(own[-1])
    since = _seconds(own[0]) - BEFORE_S
    found = []
    for line in lines[: last + 1]:
        is_belief = line.fields.get("event") in BELIEFS and line.fields.get("vm") in vms
        is_about_others = bool(servers) and line.fields.get("server_id", "") not in {"", *servers}
        is_recent = _seconds(line) >= since or line.order > lines[first].order
        is_about_content = line.fields.get("event") in ABOUT_CONTENT and (
            line.fields.get("fingerprint", line.fields.get("part")) in contents
            or not parts.isdisjoint(line.fields.get("prompt_parts", ()))
        )
        is_shown_belief = is_belief and is_recent and not is_about_others
        if line in own or is_about_content or is_shown_belief:
            found.append(line)
    return found


def _refused_parts(own: list[Line]) -> set[str]:
    """Return the ids of the prompt parts for which a request was refused."""
    found = (_REFUSED_FOR_PARTS.search(str(line.fields.get("detail", ""))) for line in own)
    return {part for match in found if match for part in match[1].split(" and ")}


def describe(line: Line, *, is_own: bool) -> str:
    """Return one printed line; the request's own ones are marked."""
    fields = line.fields
    shown = " ".join(f"{key}={value}" for key, value in fields.items() if key not in HIDDEN)
    mark = ">" if is_own else " "
    return f"{mark} {line.moment} {fields.get('vm', '')} {fields.get('event', '')} {shown}"


def _texts(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        yield from Path(file).read_text().splitlines()


def _seconds(line: Line) -> float:
    """Return the second of the day of a line."""
    time_of_day = line.moment.partition("T")[2].rstrip("Z")
    parts = [float(part) for part in time_of_day.split(":")] if time_of_day else [0.0]
    return float(sum(part * 60 ** (len(parts) - 1 - place) for place, part in enumerate(parts)))
