#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They need Python 3.11 and its standard library
# only, so this compiles each file to find out whether it can be read.
set -eu
cd "$(dirname "$0")"
python3 -c '
import pathlib
for folder in ("6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
'
