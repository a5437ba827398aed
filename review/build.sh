#!/bin/sh
# Checks that the stand-ins of the cases can be started after the build of the deploy
# file. They are Python modules, the project's own and those in review/harness, so
# there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONDONTWRITEBYTECODE=1
python3 -c "import standins.store, review.harness, review.harness._trainer"
