"""The bench: policies side by side on a seeded load, measured on trio's mock clock."""

from __future__ import annotations

from sassafrastally.testing.bench.command import run

__all__ = ["run"]
