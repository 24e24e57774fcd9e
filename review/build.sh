#!/usr/bin/env bash
# The stand-ins are Python and need no build. Checks that Python has what they use and that they compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib, asyncio; sys.exit(sys.version_info < (3, 11))'
python3 - standins.py */case.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as it:
        compile(it.read(), name, "exec")
PY
echo "stand-ins are ready"
