#!/usr/bin/env bash
# Compiles the stand-ins and the harness of the cases; needs the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py harness.py */case.py
