#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build; this checks that
# they and the project's own can be loaded with what the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src:review"
python3 -c 'from harness import client, installation, main, quota, record, store, upstream'
