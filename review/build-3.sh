#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/13. They are
# programs of the standard library, so there is only their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/*.py <<'PROGRAM'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, 'exec')
PROGRAM
