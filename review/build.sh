#!/usr/bin/env bash
# The stand-ins that the cases start are Python modules of proof/soak and review/lib; nothing has to be compiled.
# Checks that this machine's Python can load them.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for source in proof/soak/*.py review/lib/*.py review/*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
PYTHONPATH=review/lib python3 -c 'import scenario'
echo "the stand-ins can be loaded"
