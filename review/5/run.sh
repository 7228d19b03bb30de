#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src:review"
export TROUBLE="${TROUBLE:-1}"
exec python3 review/5/case.py
