"""Patterns with which h11 matches header lines and chunk sizes, in linear time.

Two patterns of h11 0.16 have adjacent repeats of blanks. A line that doesn't match, such as blanks
before a NUL, takes time that grows with the square of its length, more than a second for 16 KB,
during which the process does nothing else. The patterns here match the same lines with the same
groups.
"""

from __future__ import annotations

import re

from h11 import _abnf, _readers

HEADER_FIELD = re.compile(
    rb"(?P<field_name>[-!#$%&'*+.^_`|~0-9a-zA-Z]+):"
    # Possessive: a value doesn't begin with a blank, so that fewer blanks never match either.
    rb"[ \t]*+"
    rb"(?P<field_value>([^\x00\s]+(?:[ \t]+[^\x00\s]+)*)?)[ \t]*"
)

CHUNK_HEADER = re.compile(
    # Blanks after an extension belong to it.
    rb"(?P<chunk_size>([0-9A-Fa-f]){1,20})(?:(?P<chunk_ext>;.*)|[ \t]*)\r\n"
)

REPLACED_HEADER_FIELD = (
    r"(?P<field_name>[-!#$%&'*+.^_`|~0-9a-zA-Z]+):[ \t]*"
    r"(?P<field_value>([^\x00\s]+(?:[ \t]+[^\x00\s]+)*)?)[ \t]*"
)
REPLACED_CHUNK_HEADER = r"(?P<chunk_size>([0-9A-Fa-f]){1,20})(?P<chunk_ext>;.*)?[ \t]*\r\n"
"""The patterns of h11 that the ones above stand for."""


def use_linear_patterns() -> None:
    """Make h11 use these patterns in this process.

    Raises
    ------
    RuntimeError
        If this release of h11 has other patterns, which the ones here may not stand for.
    """
    found = (_abnf.header_field, _abnf.chunk_header)
    if found != (REPLACED_HEADER_FIELD, REPLACED_CHUNK_HEADER):
        raise RuntimeError("this release of h11 matches header lines with other patterns")
    _readers.header_field_re = HEADER_FIELD
    _readers.chunk_header_re = CHUNK_HEADER
