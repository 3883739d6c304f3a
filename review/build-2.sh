#!/bin/sh
# Prepares the stand-ins of cases 4 and up: Python 3 scripts with the standard library only, nothing
# is compiled. The program itself is built with the command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in standin-2/standin.py [4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
