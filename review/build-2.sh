#!/usr/bin/env bash
# Compiles the stand-ins and the cases 6 to 10, without leaving byte code; needs
# the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
for file in lab/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), *sys.argv[1:])' \
        "$file" exec
done
