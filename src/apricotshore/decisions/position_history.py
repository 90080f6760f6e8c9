"""Samples of a primary's log position, which bound the staleness of replicas.

A primary that accepts a transaction at time t shows that every commit
acknowledged before t lies at or below the position it names. A replica whose
log holds that position is therefore no staler than the time since t.
"""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..groups import LogPosition

# No route accepts a staleness larger than this; older samples are useless.
HISTORY_MS = 10_000
# The clock is read before a statement is sent and rounded to a millisecond.
CLOCK_MARGIN_MS = 5
# Samples taken within the accepted staleness: with more than two, one lost answer
# still leaves a usable sample.
RENEWALS = 2.5
LONGEST_PERIOD_MS = 600
SHORTEST_PERIOD_MS = 100
MAX_SAMPLES = 64
MIN_SPACING_MS = 40


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class PositionSample:
    """A log position reported by a server that proved to be the primary.

    Parameters
    ----------
    asked_at
        When the position was requested, in milliseconds since boot.
    term, position
        The reported log position.
    """

    asked_at: int
    term: int
    position: int


@dataclass(kw_only=True, slots=True)
class PositionHistory:
    """Position samples of one group, oldest first."""

    samples: list[PositionSample] = field(default_factory=list)


def choose_period_ms(accepted: Iterable[int]) -> int:
    """Return how often the primary's position is sampled.

    Parameters
    ----------
    accepted
        Staleness, in milliseconds, that each kind of read accepts.
    """
    shortest = min(accepted, default=LONGEST_PERIOD_MS * RENEWALS)
    period = int(shortest / RENEWALS)
    return max(SHORTEST_PERIOD_MS, min(period, LONGEST_PERIOD_MS))


def observe(history: PositionHistory, log_position: LogPosition, asked_at: int) -> None:
    """Record the position of a server that proved to be the primary.

    Parameters
    ----------
    history
        Samples of the group; changed in place.
    log_position
        Position that the primary reported.
    asked_at
        When the position was requested, in milliseconds since boot.
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
    """Return the oldest sample within the accepted staleness, None without one.

    A server must have reached its position to serve the read.

    Parameters
    ----------
    history
        Samples of the group.
    staleness_ms
        Accepted staleness.
    now
        When the read arrived, in milliseconds since boot.
    """
    earliest = now - staleness_ms + CLOCK_MARGIN_MS
    return next((e for e in history.samples if e.asked_at >= earliest), None)


def find_age(history: PositionHistory, now: int) -> int | None:
    """Return the age of the newest sample, None without any."""
    return now - history.samples[-1].asked_at if history.samples else None


def find_since(history: PositionHistory, since: int) -> PositionSample | None:
    """Return the oldest sample requested at or after ``since``, None without one."""
    return next((e for e in history.samples if e.asked_at >= since), None)
