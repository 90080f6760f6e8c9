"""Floors: log positions that bound how stale a replica may be.

A primary that accepts a transaction at time t shows that every commit
acknowledged before t lies at or below the position it names. A replica whose
log holds that position is therefore no staler than the time since t.
"""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..groups import LogPosition

# Evidence older than the largest staleness that routes accept is useless.
HISTORY_MS = 10_000
# The clock is read before a statement is sent and rounded to a millisecond.
CLOCK_MARGIN_MS = 5
# Evidence is renewed this often within the staleness that reads accept, so that
# one lost answer leaves enough.
RENEWALS = 2.5
LONGEST_PERIOD_MS = 600
SHORTEST_PERIOD_MS = 100
MAX_SAMPLES = 64
MIN_SPACING_MS = 40


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class PositionSample:
    """A position of a proven primary.

    Parameters
    ----------
    asked_at
        When the question was sent, in milliseconds since boot.
    term, position
        The log position that the answer named.
    """

    asked_at: int
    term: int
    position: int


@dataclass(kw_only=True, slots=True)
class PositionHistory:
    """Evidence of one group, oldest first."""

    samples: list[PositionSample] = field(default_factory=list)


def choose_period_ms(accepted: Iterable[int]) -> int:
    """Return how often evidence is renewed.

    Parameters
    ----------
    accepted
        Staleness, in milliseconds, that each kind of read accepts.
    """
    shortest = min(accepted, default=LONGEST_PERIOD_MS * RENEWALS)
    period = int(shortest / RENEWALS)
    return max(SHORTEST_PERIOD_MS, min(period, LONGEST_PERIOD_MS))


def observe(history: PositionHistory, log_position: LogPosition, asked_at: int) -> None:
    """Take in the position of a primary that proved its lead.

    Parameters
    ----------
    floors
        Evidence of the group; changed in place.
    mark
        Position that the primary named.
    asked_at
        When the question was sent, in milliseconds since boot.
    """
    known = history.samples
    if known and 0 <= asked_at - known[-1].asked_at < MIN_SPACING_MS:
        return
    insort(
        known,
        PositionSample(
            asked_at=asked_at, term=log_position.term, position=log_position.position
        ),
    )
    oldest = known[-1].asked_at - HISTORY_MS
    while len(known) > MAX_SAMPLES or known[0].asked_at < oldest:
        known.pop(0)


def find_lower_bound(
    history: PositionHistory, staleness_ms: int, now: int
) -> PositionSample | None:
    """Return the oldest evidence that is young enough, None without one.

    Parameters
    ----------
    floors
        Evidence of the group.
    staleness_ms
        Accepted staleness.
    now
        When the read arrived, in milliseconds since boot.
    """
    earliest = now - staleness_ms + CLOCK_MARGIN_MS
    return next((e for e in history.samples if e.asked_at >= earliest), None)


def find_age(history: PositionHistory, now: int) -> int | None:
    """Return the age of the newest evidence, None without any."""
    return now - history.samples[-1].asked_at if history.samples else None


def find_since(history: PositionHistory, since: int) -> PositionSample | None:
    """Return the oldest evidence asked for at or after ``since``."""
    return next((e for e in history.samples if e.asked_at >= since), None)
