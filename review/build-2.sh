#!/bin/sh
# The stand-ins of the scripts, those of the first review among them, are plain Python without libraries:
# check that python3 can load them.
cd "$(dirname "$0")" || exit 2
for file in parts-2/*.py [4-6]/*.py 2/case.py group.py platform.py store.py web.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
