"""The option of the stand-ins that says where to listen."""

from __future__ import annotations

import argparse

from sassafrastally.core import Address
from sassafrastally.core.settings import check_table


def add_listen_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--listen`` to a parser."""
    parser.add_argument("--listen", type=_parse_address, required=True, help="IP:port")


def _parse_address(text: str) -> Address:
    address, problems = check_table(text, Address)
    if address is None:
        raise argparse.ArgumentTypeError("; ".join(message for _, message in problems))
    return address
