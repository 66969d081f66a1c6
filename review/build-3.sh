#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python programs that use the standard library only: there is nothing to
# compile, so this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/rig.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
