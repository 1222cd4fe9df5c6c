"""Runs the command line as ``python -m crocusvalve``."""

import sys

from crocusvalve.cli import main

if __name__ == "__main__":
    sys.exit(main())
