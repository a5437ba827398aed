"""Runs the command line by ``python -m buckthornstile``."""

import sys

from buckthornstile.commands import main

if __name__ == "__main__":
    sys.exit(main())
