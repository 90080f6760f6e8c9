"""Session tokens: log positions by database, as text that a caller keeps."""

from ..groups import LogPosition
from ..identifiers import DatabaseId, Position, Term

MAX_TOKEN_DATABASES = 64
# Digits of a term and a position together.
MAX_POSITION_DIGITS = 36


def format_token(log_positions: dict[DatabaseId, LogPosition]) -> str:
    """Return the session token: ``database:term:position``, comma-separated."""
    return ",".join(
        f"{d}:{m.term}:{m.position}" for d, m in sorted(log_positions.items())
    )


def parse_token(text: str) -> dict[DatabaseId, LogPosition]:
    """Parse a session token.

    Raises
    ------
    ValueError
        If the text is not a valid token.
    """
    log_positions: dict[DatabaseId, LogPosition] = {}
    parts = [part for part in text.split(",") if part]
    if len(parts) > MAX_TOKEN_DATABASES:
        raise ValueError(f"more than {MAX_TOKEN_DATABASES} databases in a token")
    for part in parts:
        database, _, rest = part.partition(":")
        term, _, position = rest.partition(":")
        if (
            not (term.isdigit() and position.isdigit())
            or len(term + position) > MAX_POSITION_DIGITS
        ):
            raise ValueError(f"expected database:term:position, got {part!r}")
        log_position = LogPosition(
            term=Term(int(term)), position=Position(int(position))
        )
        log_positions[DatabaseId(database)] = log_position
    return log_positions
