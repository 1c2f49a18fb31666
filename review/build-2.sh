#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python and need the
# standard library only, so there is nothing but their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
for source in lib-2/*.py [0-9]*/case.py; do
  python3 - "$source" <<'PYTHON'
import pathlib
import sys
compile(pathlib.Path(sys.argv[1]).read_bytes(), sys.argv[1], 'exec')
PYTHON
done
