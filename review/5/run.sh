#!/usr/bin/env bash
# Exit: 1 rule broken, 0 held, 2 could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && exec python3 case.py
