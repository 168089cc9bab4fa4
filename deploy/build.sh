#!/usr/bin/env bash
# Places libraries and the workspace's packages that an entry needs under target/deps, byte-compiled:
# the tree is read-only when the programs run, so each start would compile them anew.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt deploy/requirements.txt ] || [ ! target/deps/.installed -nt constraints.txt ]; then
    python3 -m pip install -q -U --target target/deps -c constraints.txt -r deploy/requirements.txt
    python3 -m compileall -q target/deps
    touch target/deps/.installed
fi
rm -rf target/deps/sassafrastally
mkdir -p target/deps/sassafrastally
for package in packages/core packages/proxy platform; do
    cp -R "$package"/src/sassafrastally/* target/deps/sassafrastally/
done
python3 -m compileall -q target/deps/sassafrastally
