#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which lie in the folder of each case. They are Python
# files that use the standard library alone, so that compiling them is all; the programs themselves
# come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile 1[1-5]/*.py
