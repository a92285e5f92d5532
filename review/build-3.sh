#!/bin/sh
# The scripts of review/11 to review/15 start the daemons of the deploy file and Python stand-ins, of review/lib-3 and
# proof/soak. The stand-ins need no build; this checks that they load.
cd "$(dirname "$0")/.." && exec python3 -B -c 'import sys; sys.path.insert(0, "review/lib-3"); import harness'
