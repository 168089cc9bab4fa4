"""Exit codes of the two programs."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a program's exit tells the shell."""

    OK = 0
    FAILED = 1
    """The command was understood and did not succeed; the message says why."""
    FINDINGS = 2
    """The settings, the bundle or the command line has findings; all are printed."""
    CONFLICT = 3
    """Another operator was first; nothing was changed."""
    UNAVAILABLE = 4
    """The KV service or the entry doesn't answer; nothing was changed."""
    UNKNOWN = 5
    """The answer was lost: whether the change was made is not known."""
