"""Placement of reads on the backend servers of a group."""

from dataclasses import dataclass
from enum import IntEnum

from ..identifiers import ServerId

# A server that lacked a position is passed over for this long.
BEHIND_PAUSE_MS = 150
# A server that gave no answer is passed over for this long.
SILENCE_PAUSE_MS = 1_500
# Expected extra time to a server, by distance.
DISTANCE_COST_MS = (0.0, 15.0, 40.0)
# A read that another server can take leaves the primary to what it alone can.
PRIMARY_COST_MS = 20.0
DEFAULT_SERVICE_MS = 20.0
SMOOTHING = 0.1
# A statement that takes this much longer than the way has queued at the server.
PLAIN_SERVICE_MS = 40.0
# What one refusal of a full server adds to its expected time, and the most.
FULL_COST_MS = 50.0
LARGEST_DELAY_MS = 300.0
# Other hosts' load is only seen through answers: what was seen fades.
DELAY_HALF_LIFE_MS = 400.0


class Distance(IntEnum):
    """How far a server is from this host."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    REMOTE = 2


@dataclass(kw_only=True, slots=True)
class ServerLoad:
    """What a host knows of one server's speed.

    Parameters
    ----------
    server
        The server.
    distance
        How far it is.
    slots
        Statements that it runs at a time.
    outstanding
        Statements of this host that it has not answered.
    service_ms
        Smoothed time of a statement.
    delay_ms, delay_at
        Smoothed time that statements queued at the server, and when that was
        last seen.
    behind_until, silent_until
        Until when it is passed over, in milliseconds since boot.
    leaving
        Whether it is about to leave.
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


def find_delay(load: ServerLoad, now: int) -> float:
    """Return for how long a statement would queue at a server at present."""
    age = max(0, now - load.delay_at)
    return load.delay_ms * 0.5 ** (age / DELAY_HALF_LIFE_MS)


def observe_answer(load: ServerLoad, took_ms: float, now: int) -> None:
    """Take in the time of an answered statement."""
    load.service_ms += SMOOTHING * (took_ms - load.service_ms)
    load.silent_until = 0
    queued = max(0.0, took_ms - DISTANCE_COST_MS[load.distance] - PLAIN_SERVICE_MS)
    seen = find_delay(load, now)
    load.delay_ms = min(LARGEST_DELAY_MS, seen + 2 * SMOOTHING * (queued - seen))
    load.delay_at = now


def observe_full(load: ServerLoad, now: int) -> None:
    """Take in that a server refused a statement because its queue was full."""
    load.delay_ms = min(LARGEST_DELAY_MS, find_delay(load, now) + FULL_COST_MS)
    load.delay_at = now


def observe_behind(load: ServerLoad, now: int) -> None:
    """Take in that a server lacked a position."""
    load.behind_until = now + BEHIND_PAUSE_MS


def observe_silence(load: ServerLoad, now: int) -> None:
    """Take in that a server gave no answer."""
    load.silent_until = now + SILENCE_PAUSE_MS


def estimate_ms(load: ServerLoad, now: int) -> float:
    """Return the expected time of one more statement at a server."""
    queued = max(0, load.outstanding + 1 - load.slots)
    own = queued * load.service_ms
    return DISTANCE_COST_MS[load.distance] + own + find_delay(load, now)


def rank_readers(
    loads: list[ServerLoad], primary: ServerId | None, now: int
) -> list[ServerLoad]:
    """List the servers that may take a read, the best first.

    A server that is behind or silent comes last instead of being left out, so
    that a read has somewhere to go when all are. The primary is never behind.
    """

    def cost(load: ServerLoad) -> tuple[bool, bool, float, str]:
        leads = load.server == primary
        behind = load.behind_until > now and not leads
        expected = estimate_ms(load, now) + PRIMARY_COST_MS * leads
        return (load.silent_until > now, behind, expected, load.server)

    return sorted((load for load in loads if not load.leaving), key=cost)
