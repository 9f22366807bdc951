#!/bin/sh
# The stand-ins of the cases are Python and need no compiling: this checks that all of them can be imported.
# Run after deploy/build.sh, which makes .venv.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import sys; sys.path.insert(0, "."); import loftroute.lab.standins, review.lib'
