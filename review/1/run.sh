#!/usr/bin/env bash
# Exit code: 1 rule broken, 0 held, 2 could not run. TROUBLE=0 leaves out the disruption.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
