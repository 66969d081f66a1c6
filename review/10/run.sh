#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
command -v python3 >/dev/null || { echo "could not run: python3 is missing"; exit 2; }
cd "$(dirname "$0")" && exec python3 -B case.py
