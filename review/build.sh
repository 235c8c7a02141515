#!/bin/sh
# Builds the stand-ins: they need nothing but Python's standard library, so this only compiles them
# in memory. The routers are built by the command of the deploy file.
cd "$(dirname "$0")" || exit 1
python3 - standins/*.py [123]/case.py <<'END'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
END
