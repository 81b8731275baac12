#!/usr/bin/env bash
# Play the case; exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD" exec python3 review/3/case.py
