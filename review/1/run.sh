#!/usr/bin/env bash
# Exit: 1 rule broken, 0 held, 2 could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 case.py
