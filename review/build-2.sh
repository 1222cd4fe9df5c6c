#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python sources without dependencies, so that
# there is nothing to build; this checks that they can be read by the interpreter.
set -eu
cd "$(dirname "$0")/.."
python3 - review/common-2/*.py review/[6-9]/*.py review/10/*.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as source:
        ast.parse(source.read(), path)
END
