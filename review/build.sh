#!/bin/sh
# The stand-ins of all cases are Python programs that use only the standard library, so nothing has to be built.
# Checks that they can be read.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in "$folder"/lib/*.py "$folder"/[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "the stand-ins are ready"
