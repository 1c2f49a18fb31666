#!/bin/sh
# Checks that the stand-ins of the cases load. They need only Python itself.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py [0-9]/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 1
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=lib python3 -c "import case, runners" || exit 1
test -d ../target/deps || { echo "run the build of the deploy file first"; exit 1; }
