"""Reading settings files for the two programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import Finding, FindingsError, Place
from sassafrastally.core.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    from sassafrastally.core.settings import Settings


def load_for_role(path: Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    FindingsError
        With every finding; a file that can't be read is one.
    """
    return load_settings(read_text(path), path.name)


def read_text(path: Path) -> str:
    """Return a file's text; a file that can't be read or isn't UTF-8 is a finding."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise FindingsError(
            [Finding(Place(path.name, 0, ""), f"can't be read: {cause}")]
        ) from cause
