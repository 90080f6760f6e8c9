"""Outages of a group as one host observes them, and how long they are expected to last.

The expected end is conditional on the time that has already passed: only earlier
outages that lasted longer count.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

# Ended outages that are remembered, for each cause.
REMEMBERED = 16
# An outage that has outlasted all earlier ones is expected to go on for as long again.
GROWTH = 1.0
SHORTEST_LEFT_MS = 50


class Cause(Enum):
    """Why a group has no usable primary."""

    REPLACED = "being replaced"
    SILENT = "silent"
    UNKNOWN = "no primary"
    # Nobody may lead until the log of a server is back, and no end can be expected.
    LOGS = "waits for logs"


# Durations of changes of primary, in milliseconds, that are assumed beside the observed
# ones; docs/design/primary-change.md has the measured gaps.
ASSUMED_MS = {
    Cause.REPLACED: (650, 1_000, 1_200),
    Cause.SILENT: (450, 2_000, 2_500),
    Cause.UNKNOWN: (650, 1_700, 2_500),
    Cause.LOGS: (),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Outage:
    """Time during which a group has no usable primary.

    Parameters
    ----------
    cause
        Why it has none.
    first_cause
        Why it had none when the outage began, which tells how long it lasts.
    since
        Since when, in milliseconds since boot.
    """

    cause: Cause
    first_cause: Cause
    since: int


@dataclass(kw_only=True, slots=True)
class OutageHistory:
    """Outages of one group, as one host observes them.

    Parameters
    ----------
    current
        The outage that goes on, None without one.
    ended_ms
        Durations of the latest ended ones, by their first cause.
    """

    current: Outage | None = None
    ended_ms: dict[Cause, deque[int]] = field(default_factory=dict)


def observe(
    history: OutageHistory, cause: Cause | None, since: int, now: int
) -> Outage | None:
    """Record why a group has no usable primary now; return the outage, if any.

    Parameters
    ----------
    history
        Outages of the group; changed in place.
    cause
        The cause, None while the primary is usable.
    since
        Since when the cause holds, in milliseconds since boot.
    now
        Milliseconds since boot.
    """
    known = history.current
    if cause is None:
        history.current = None
        if known is not None and known.cause is not Cause.LOGS:
            ended = history.ended_ms.setdefault(
                known.first_cause, deque(maxlen=REMEMBERED)
            )
            ended.append(max(0, now - known.since))
    elif known is None:
        history.current = Outage(cause=cause, first_cause=cause, since=min(since, now))
    elif known.cause is not cause:
        history.current = Outage(
            cause=cause, first_cause=known.first_cause, since=known.since
        )
    return history.current


def list_left_ms(history: OutageHistory, outage: Outage, now: int) -> tuple[int, ...]:
    """Return the times after which an outage may end, ascending, in milliseconds.

    Parameters
    ----------
    history
        Outages of the group.
    outage
        The outage.
    now
        Milliseconds since boot.
    """
    gone = max(0, now - outage.since)
    known = (
        *ASSUMED_MS[outage.first_cause],
        *history.ended_ms.get(outage.first_cause, ()),
    )
    left = sorted(lasted - gone for lasted in known if lasted > gone)
    return tuple(left) or (max(SHORTEST_LEFT_MS, int(gone * GROWTH)),)
