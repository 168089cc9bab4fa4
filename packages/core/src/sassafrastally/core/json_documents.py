"""Decoding of JSON documents from outside the process.

`json.loads` raises `RecursionError` for deep nesting, and `ValueError` for a number of several
thousand digits, which spoils the whole document for one value in it.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_INTEGER_CHARACTERS = 20
"""Longest integer that is decoded as such: sign and digits of a 64-bit integer. A longer one
becomes a float, which is infinite from 310 digits on."""

MAX_KEPT_DEPTH = 32
"""Depth from which nested values are replaced by null in a document that is nested too deeply."""

MAX_PRUNED_BYTES = 1024 * 1024
"""Largest document in which nested values are replaced; a larger one would block the process for
more than a tenth of a second."""

_STRINGS_AND_BRACKETS = re.compile(r'"(?:[^"\\]|\\.)*+"?|[\[{]++|[\]}]++', re.DOTALL)


def load_json(data: bytes | str) -> Any:
    """Decode a JSON document; bytes that aren't UTF-8 become unpaired surrogates.

    Raises
    ------
    ValueError
        If the data isn't JSON or is nested too deeply.
    """
    try:
        return json.loads(_text_of(data), parse_int=_parse_integer)
    except RecursionError:
        raise ValueError("the JSON document is nested too deeply") from None


def load_pruned_json(data: bytes | str) -> Any:
    """Decode a JSON document; values in it that are nested too deeply become null.

    One deeply nested entry of a list doesn't make the other entries unreadable.

    Raises
    ------
    ValueError
        If the data isn't JSON, or is nested too deeply and too long to be pruned.
    """
    text = _text_of(data)
    try:
        return json.loads(text, parse_int=_parse_integer)
    except RecursionError:
        if len(text) > MAX_PRUNED_BYTES:
            raise ValueError("the JSON document is nested too deeply") from None
    return load_json(_prune(text))


def _text_of(data: bytes | str) -> str:
    return data if isinstance(data, str) else data.decode("utf-8-sig", errors="surrogateescape")


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= MAX_INTEGER_CHARACTERS else float(text)


def _prune(text: str) -> str:
    """Replace all values below the kept depth by null; nesting and strings need no more syntax."""
    kept: list[str] = []
    depth = kept_until = 0
    for match in _STRINGS_AND_BRACKETS.finditer(text):
        brackets = match[0]
        if brackets[0] == '"':
            continue
        is_opening = brackets[0] in "[{"
        next_depth = depth + (len(brackets) if is_opening else -len(brackets))
        if is_opening and depth <= MAX_KEPT_DEPTH < next_depth:
            kept += text[kept_until : match.start() + MAX_KEPT_DEPTH - depth], "null"
        elif not is_opening and next_depth <= MAX_KEPT_DEPTH < depth:
            kept_until = match.start() + depth - MAX_KEPT_DEPTH
        depth = next_depth
    if depth <= MAX_KEPT_DEPTH:
        kept.append(text[kept_until:])
    return "".join(kept)
