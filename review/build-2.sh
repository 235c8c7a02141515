#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: Python files without dependencies, so they are only
# checked. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
for file in review/harness/*.py review/[4-8]/play.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
