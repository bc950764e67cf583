#!/bin/sh
# The stand-ins of the scripts are review/lib/standins.py, which needs no build; the scripts need only python3.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib

for path in pathlib.Path(".").glob("*/*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
