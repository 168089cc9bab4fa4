"""The entry: the callers' HTTP interface and the request path."""

from __future__ import annotations

from sassafrastally.entry.assemble import build_entry, build_path
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.relay import Answer
from sassafrastally.entry.request import CallerRequest

__all__ = ["Answer", "CallerRequest", "RequestPath", "build_entry", "build_path"]
