#!/usr/bin/env bash
# Places the project's stand-ins, which the cases run, under target/review. Needs no network; the
# deploy file's build must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R platform/stand_ins/src/sassafrastally target/review/
python3 -m compileall -q target/review
