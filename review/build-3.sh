#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use the
# libraries which the build of the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 -c '
import standins.store
import standins.worker.__main__
' || exit 2
