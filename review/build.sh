#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python with the standard library only, so that this
# checks the interpreter's version and that all files compile; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
