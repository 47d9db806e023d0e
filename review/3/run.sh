#!/usr/bin/env bash
# Exit code: 1 rule broken, 0 held, 2 could not run. TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/case.py"
