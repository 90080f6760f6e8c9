"""Entry point of ``python -m apricotshore``."""

from .cli import main

if __name__ == "__main__":
    main()
