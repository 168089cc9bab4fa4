"""Loads the standard library's ``platform`` before tests of the folder of that name are collected.

Pytest names a test's module after its path from here, ``platform.tests...``, and puts an empty module
for the first part in place unless one is loaded. Libraries that import the real one later then fail.
"""

from __future__ import annotations

import platform

__all__ = ["platform"]
