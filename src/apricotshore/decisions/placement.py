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
UNKNOWN_SERVICE_MS = 20.0
SMOOTHING = 0.1


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
    behind_until, silent_until
        Until when it is passed over, in milliseconds since boot.
    leaving
        Whether it is about to leave.
    """

    server: ServerId
    distance: Distance
    slots: int
    outstanding: int = 0
    service_ms: float = UNKNOWN_SERVICE_MS
    behind_until: int = 0
    silent_until: int = 0
    leaving: bool = False


def observe_answer(load: ServerLoad, took_ms: float) -> None:
    """Take in the time of an answered statement."""
    load.service_ms += SMOOTHING * (took_ms - load.service_ms)
    load.silent_until = 0


def observe_behind(load: ServerLoad, now: int) -> None:
    """Take in that a server lacked a position."""
    load.behind_until = now + BEHIND_PAUSE_MS


def observe_silence(load: ServerLoad, now: int) -> None:
    """Take in that a server gave no answer."""
    load.silent_until = now + SILENCE_PAUSE_MS


def estimate_ms(load: ServerLoad) -> float:
    """Return the expected time of one more statement at a server."""
    queued = max(0, load.outstanding + 1 - load.slots)
    return DISTANCE_COST_MS[load.distance] + queued * load.service_ms


def rank_readers(
    loads: list[ServerLoad], primary: ServerId | None, now: int
) -> list[ServerLoad]:
    """List the servers that may take a read, the best first.

    A server that is behind or silent comes last instead of being left out, so
    that a read has somewhere to go when all are. The primary is never behind.
    """

    def cost(load: ServerLoad) -> tuple[bool, bool, float, str]:
        behind = load.behind_until > now and load.server != primary
        return (load.silent_until > now, behind, estimate_ms(load), load.server)

    return sorted((load for load in loads if not load.leaving), key=cost)
