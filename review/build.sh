#!/bin/sh
# Builds the stand-ins of the scripts. They need Python 3.11 and its standard library only, so this
# compiles them to find out whether they can be read.
set -eu
cd "$(dirname "$0")"
python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
