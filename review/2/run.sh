#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the SIGTERM out.
exec python3 "$(dirname "$0")/run.py"
