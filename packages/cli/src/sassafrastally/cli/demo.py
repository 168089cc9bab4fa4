"""``sassafrastally demo``."""

from __future__ import annotations

import argparse


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command."""
    subparsers.add_parser("demo", help="show the main job on the embedded stand-ins")
