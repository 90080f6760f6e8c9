"""Runs the command line with ``python -m apricotshore``."""

from .cli import main

if __name__ == "__main__":
    main()
