"""Load balancing of reads over the backend servers of a group."""

from dataclasses import dataclass
from enum import IntEnum

from ..identifiers import ServerId

# A server that had not reached a required position is avoided for this long.
BEHIND_PAUSE_MS = 150
# A server that gave no answer is avoided for this long.
SILENCE_PAUSE_MS = 1_500
# Expected network time to a server, by distance.
DISTANCE_COST_MS = (0.0, 15.0, 40.0)
# Penalty that keeps reads off the primary, which alone can serve writes.
PRIMARY_COST_MS = 20.0
DEFAULT_SERVICE_MS = 20.0
SMOOTHING = 0.1
# A statement that takes longer than this plus the network time was queued.
PLAIN_SERVICE_MS = 40.0
# Increase of the expected delay at each rejection by a full server, and its bound.
FULL_COST_MS = 50.0
LARGEST_DELAY_MS = 300.0
# The load from other hosts is known only from answers, so the estimate decays.
DELAY_HALF_LIFE_MS = 400.0
# Time that a statement may take until it reaches the primary.
SEND_MARGIN_MS = 500


class Distance(IntEnum):
    """Distance between a server and this host."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    REMOTE = 2


@dataclass(kw_only=True, slots=True)
class ServerLoad:
    """Load of one server as this host observes it.

    Parameters
    ----------
    server
        The server.
    distance
        Its distance.
    slots
        Statements that it runs concurrently.
    outstanding
        Unanswered statements of this host.
    service_ms
        Smoothed response time of a statement.
    delay_ms, delay_at
        Smoothed queueing time at the server, and when it was last updated.
    behind_until, silent_until
        Until when it is avoided, in milliseconds since boot.
    leaving
        Whether it is leaving the group.
    """

    server: ServerId
    distance: Distance
    slots: int
    outstanding: int = 0
    service_ms: float = DEFAULT_SERVICE_MS
    delay_ms: float = 0.0
    delay_at: int = 0
    behind_until: int = 0
    silent_until: int = 0
    leaving: bool = False


def may_send(leaving_since: int | None, leave_ms: int, now: int) -> bool:
    """Return whether the primary, which may be leaving, still gets new statements.

    Parameters
    ----------
    leaving_since
        Since when it is known to be leaving, None if it stays.
    leave_ms
        Time after which no statement may reach a leaving server.
    now
        Milliseconds since boot.
    """
    return leaving_since is None or now - leaving_since < leave_ms - SEND_MARGIN_MS


def find_delay(load: ServerLoad, now: int) -> float:
    """Return the estimated queueing time at a server now, in milliseconds."""
    age = max(0, now - load.delay_at)
    return load.delay_ms * 0.5 ** (age / DELAY_HALF_LIFE_MS)


def observe_answer(load: ServerLoad, took_ms: float, now: int) -> None:
    """Record the response time of a statement."""
    load.service_ms += SMOOTHING * (took_ms - load.service_ms)
    load.silent_until = 0
    queued = max(0.0, took_ms - DISTANCE_COST_MS[load.distance] - PLAIN_SERVICE_MS)
    seen = find_delay(load, now)
    load.delay_ms = min(LARGEST_DELAY_MS, seen + 2 * SMOOTHING * (queued - seen))
    load.delay_at = now


def observe_full(load: ServerLoad, now: int) -> None:
    """Record that a server rejected a statement because its queue was full."""
    load.delay_ms = min(LARGEST_DELAY_MS, find_delay(load, now) + FULL_COST_MS)
    load.delay_at = now


def observe_behind(load: ServerLoad, now: int) -> None:
    """Record that a server had not reached a required position."""
    load.behind_until = now + BEHIND_PAUSE_MS


def observe_silence(load: ServerLoad, now: int) -> None:
    """Record that a server gave no answer."""
    load.silent_until = now + SILENCE_PAUSE_MS


def estimate_ms(load: ServerLoad, now: int) -> float:
    """Return the estimated time of another statement at a server, in milliseconds."""
    queued = max(0, load.outstanding + 1 - load.slots)
    own = queued * load.service_ms
    return DISTANCE_COST_MS[load.distance] + own + find_delay(load, now)


def rank_readers(
    loads: list[ServerLoad], primary: ServerId | None, now: int
) -> list[ServerLoad]:
    """List the servers that may serve a read, the best first.

    Servers that are behind or do not answer come last instead of being left out, so
    that a read has a target even when all are. The primary is never behind.
    """

    def cost(load: ServerLoad) -> tuple[bool, bool, float, str]:
        is_primary = load.server == primary
        behind = load.behind_until > now and not is_primary
        expected = estimate_ms(load, now) + PRIMARY_COST_MS * is_primary
        return (load.silent_until > now, behind, expected, load.server)

    return sorted((load for load in loads if not load.leaving), key=cost)
