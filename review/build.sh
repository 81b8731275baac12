#!/usr/bin/env bash
# Build the stand-ins that the scripts start: plain Python, so only check that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import ast, pathlib
for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text(), str(path))'
