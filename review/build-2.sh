#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, and the database of
# the first one. They need the standard library alone, so that compiling them is all
# there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins_2 fakes
