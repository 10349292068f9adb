#!/bin/sh
# Runs the case; see claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
