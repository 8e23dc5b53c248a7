#!/usr/bin/env bash
# Compiles the stand-ins, the harness and the cases, without leaving byte code;
# needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), *sys.argv[1:])' \
        "$file" exec
done
