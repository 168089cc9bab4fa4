"""Text that must not show in logs."""

from __future__ import annotations


class Secret(str):
    """A value that no log and no error shows."""

    def __repr__(self) -> str:
        return "Secret(...)"
