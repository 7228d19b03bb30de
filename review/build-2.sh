#!/usr/bin/env bash
# Builds what the scripts of this review start beside the nodes: the stand-ins
# are Python, so they are compiled, and imported once with the packages that
# the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=src:target/deps:review/harness_2
python3 -m compileall -q src review/harness_2
python3 -c 'import stage'
