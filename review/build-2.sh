#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs of the standard library, so nothing has to be built. Checks that
# Python is new enough (3.11, as in Debian 12) and that they can be compiled, without writing anything beside them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or newer is needed"; exit 1; }
for file in lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
