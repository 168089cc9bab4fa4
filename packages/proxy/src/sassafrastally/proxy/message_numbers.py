"""Conversion of figures to the unsigned integers of datagrams.

The sum of a data centre's figures can exceed the range of each of them; the largest value that fits
stands for it then.
"""

from __future__ import annotations

MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF


def to_uint16(figure: float) -> int:
    """Return the nearest 16-bit integer below a figure; 0 for NaN."""
    return int(min(max(0, figure), MAX_UINT16))


def to_uint32(figure: float) -> int:
    """Return the nearest 32-bit integer below a figure; 0 for NaN."""
    return int(min(max(0, figure), MAX_UINT32))


def to_thousandths(figure: float) -> int:
    """Return a figure in thousandths as a 32-bit integer, which limits times to 49 days."""
    return to_uint32(figure * 1000 + 0.5)
