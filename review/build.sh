#!/usr/bin/env bash
# Compiles the stand-ins that the cases start; they use the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q fakes [1-9]
