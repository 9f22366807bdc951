#!/bin/sh
# Builds what the scripts of the second review (review/6 and on) start beside the relay. The stand-ins, the
# project's own (loftroute/lab) and those of review/, are Python of the standard library alone, run by the
# interpreter that the deploy file's build has made: all there is to do is to see that they load.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -B -c '
import sys
sys.path[:0] = [".", "review"]
import loftroute.lab.standins, standins_2
'
