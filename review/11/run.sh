#!/bin/sh
# TROUBLE=0 leaves the disruption out; stand3/standins.py reads it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 case.py
