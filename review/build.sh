#!/usr/bin/env bash
# The stand-ins of the cases are written in Python and need no build; this checks
# that they are sound.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/loopback.py */case.py
find . -name __pycache__ -type d -prune -exec rm -r {} +
