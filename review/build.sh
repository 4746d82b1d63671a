#!/usr/bin/env bash
# Builds what the scripts start besides the gateway. The stand-ins are Python files, which need no build: this checks
# only that Python is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/fleet.py */case.py trials/*.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
