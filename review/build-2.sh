#!/usr/bin/env bash
# Builds the stand-ins of the second review: they need Python's standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review-2 python3 -m py_compile stand_ins_2.py ./[4-8]/case.py
