#!/usr/bin/env bash
# The stand-ins that the scripts start, the project's own too, are Python and
# need no build; this compiles the review's and loads them all with what the
# build of the deploy file has installed. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=src:target/deps:review/harness_2
python3 -m compileall -q review/harness_2
python3 -c 'import client, process_upstream, stage, upstream'
