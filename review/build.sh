#!/usr/bin/env bash
# The stand-ins of the cases are plain Python without dependencies, in
# review/common; nothing has to be compiled. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c "
import ast, pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    ast.parse(path.read_text())
"
