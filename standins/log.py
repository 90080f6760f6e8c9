"""The replicated log of a stand-in backend server."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One committed transaction: its term and its write statements."""

    term: int
    statements: tuple[str, ...]


@dataclass(kw_only=True)
class Log:
    """Log of one server; positions start at 1."""

    entries: list[Entry] = field(default_factory=list)

    @property
    def end(self) -> int:
        """Position of the last entry, 0 for the empty log."""
        return len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 for the empty log."""
        return self.entries[-1].term if self.entries else 0

    def append(self, entry: Entry) -> int:
        """Append an entry and return its position."""
        self.entries.append(entry)
        return self.end

    def truncate(self, end: int) -> None:
        """Remove every entry after ``end``."""
        del self.entries[end:]

    def starts(self) -> list[list[int]]:
        """Return ``[term, first position]`` for each term in the log."""
        found: list[list[int]] = []
        for position, entry in enumerate(self.entries, start=1):
            if not found or found[-1][0] != entry.term:
                found.append([entry.term, position])
        return found

    def find_common_end(self, end: int, starts: list[list[int]]) -> int:
        """Return the last position that another log shares with this one."""
        position = min(self.end, end)
        while position > 0:
            theirs = max(
                (term for term, first in starts if first <= position), default=0
            )
            if self.entries[position - 1].term == theirs:
                return position
            position -= 1
        return 0
