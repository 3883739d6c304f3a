#!/bin/sh
# Prepares the stand-ins of the cases. They are scripts in Python 3 with its standard library only,
# so nothing is compiled: this checks that they can run. The program itself is built with the
# command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in standin/standin.py [0-9]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
