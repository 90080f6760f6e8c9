"""Record of what a case sent, what was answered and what ran."""

import time
from pathlib import Path


class Record:
    """Lines of a case's record, with the seconds since its start.

    Parameters
    ----------
    path
        File that `save` writes.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append((self.now(), text))

    def show(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def save(self) -> None:
        """Write the record."""
        rows = [f"{at:8.3f} {text}\n" for at, text in self.lines]
        self.path.write_text("".join(rows))
