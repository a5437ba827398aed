#!/bin/sh
# Builds the stand-ins of the cases: they are Python modules without compiled parts.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q standins review/harness || true
python3 -c "import standins.store, review.harness"
