#!/usr/bin/env bash
# Exits with 1 where the rule was broken, 0 where it held, 2 where the case could not run. TROUBLE=0 leaves out the
# disruption.
exec python3 "$(dirname "$0")/case.py"
