#!/bin/sh
# TROUBLE=0 plays the same without the disruption; any other value, or none, plays it with the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 -B case.py
