#!/bin/sh
exec sh "$(dirname "$0")/../harness/run.sh" "$(dirname "$0")"
