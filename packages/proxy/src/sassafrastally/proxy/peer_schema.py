"""Cap'n Proto schema of the messages between entries."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

SCHEMA_FILE = Path(__file__).with_name("peers.capnp")


@cache
def codec() -> Any:
    """Return the Cap'n Proto library."""
    # Imported with the first datagram: the import takes a fifteenth of the processor time of a
    # start, for which waiting callers' requests don't need it.
    import capnp

    capnp.remove_import_hook()
    return capnp


@cache
def schema() -> Any:
    """Return the loaded schema."""
    return codec().load(str(SCHEMA_FILE))
