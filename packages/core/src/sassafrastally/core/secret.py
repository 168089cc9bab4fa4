"""Strings that must not appear in logs."""

from __future__ import annotations


class Secret(str):
    """A string whose value is hidden in logs and error messages."""

    def __repr__(self) -> str:
        return "Secret(...)"
