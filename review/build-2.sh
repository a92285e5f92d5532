#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the daemons. The stand-ins are Python programs and need no build;
# this checks that they can be read by the interpreter.
set -e
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import ast
import pathlib
for folder in ("proof/soak", "review/lib-2", *(f"review/{number}" for number in range(6, 11))):
    for source in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(source.read_text(), str(source))
CHECK
