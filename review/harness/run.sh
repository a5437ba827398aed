#!/bin/sh
# Runs the case in the folder that is its argument, in the project's environment.
set -u
folder="$(cd "$1" && pwd)"
cd "$folder/../.."
export PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
