#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the change.
export PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
exec timeout --preserve-status 110 python3 "$(dirname "$0")/case.py"
