#!/bin/sh
# Builds what the scripts of cases 6 to 10 start. Run it after the build of the deploy file,
# which puts the libraries into target/deps; it needs no network and no other package.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps/tornado ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
python3 -m compileall -q standins review/harness2 review/6 review/7 review/8 review/9 review/10 || exit 2
PYTHONPATH="target/deps:." python3 - <<'END'
import standins.store
import standins.worker
import review.harness2.deployment
import review.harness2.store
import review.harness2.worker
END
