"""Which hosts hold the connections to a backend server for all others.

A server takes a limited number of connections. Where hosts outnumber them, a
few hosts near the server, its holders, connect to it, and the others reach it
through one of these. Rendezvous hashing picks the same holders at every host
that knows the same hosts; where views differ, a host merely connects through
another one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..identifiers import DataCentreId, HostId, ServerId
from .ownership import weigh
from .placement import Distance

# A host keeps a connection of its own to each server, and one more in use.
CONNECTIONS_PER_HOST = 2
# Several, so that the loss of some leaves a way; few, so that each has
# connections to choose from.
RELAYS_PER_SERVER = 4
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 16_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host as the store lists it.

    Parameters
    ----------
    host, data_centre
        Who and where it is.
    address
        ``ip:port`` for other hosts.
    """

    host: HostId
    data_centre: DataCentreId
    address: str


@dataclass(kw_only=True, slots=True)
class Backoff:
    """A host that failed as a holder.

    Parameters
    ----------
    until
        Until when it is not used, in milliseconds since boot.
    pause_ms
        For how long it is avoided; doubles with each failure.
    """

    until: int
    pause_ms: int


@dataclass(kw_only=True, slots=True)
class Fleet:
    """Hosts that may hold connections, as one host knows them.

    Parameters
    ----------
    local_host
        This host.
    hosts
        Known hosts, this one included.
    avoided
        Those that failed lately.
    """

    local_host: HostId
    hosts: dict[HostId, ListedHost] = field(default_factory=dict)
    backoffs: dict[HostId, Backoff] = field(default_factory=dict)


MeasureDistance = Callable[[DataCentreId, DataCentreId], Distance]


def count_relays(fleet: Fleet, limit: int) -> int:
    """Return how many hosts hold connections to a server; 0 when all do.

    Parameters
    ----------
    fleet
        The known hosts.
    limit
        Connections that the server takes.
    """
    if len(fleet.hosts) * CONNECTIONS_PER_HOST <= limit:
        return 0
    return min(RELAYS_PER_SERVER, len(fleet.hosts))


def list_relays(
    fleet: Fleet, server: ServerId, near: DataCentreId, measure: MeasureDistance
) -> list[ListedHost]:
    """List the holders of a server: hosts close to it, picked by hash.

    Parameters
    ----------
    fleet
        The known hosts.
    server, near
        The server and its data centre.
    measure
        Tells how far two data centres are from each other.
    """
    ranked = sorted(
        fleet.hosts.values(),
        key=lambda h: (measure(h.data_centre, near), -weigh(h.host, server)),
    )
    return ranked[:RELAYS_PER_SERVER]


def list_paths(fleet: Fleet, relays: list[ListedHost], now: int) -> list[ListedHost]:
    """List the holders to go through, the preferred one first; empty: directly."""
    if any(h.host == fleet.local_host for h in relays):
        return []
    usable = [h for h in relays if not _is_backed_off(fleet, h.host, now)]
    return sorted(usable, key=lambda h: -weigh(fleet.local_host, h.host))


def _is_backed_off(fleet: Fleet, host: HostId, now: int) -> bool:
    backoffs = fleet.backoffs.get(host)
    return backoffs is not None and now < backoffs.until


def observe_failure(fleet: Fleet, host: HostId, now: int) -> None:
    """Take in that a holder could not be used."""
    before = fleet.backoffs.get(host)
    if before is not None and now < before.until:
        return
    pause = FIRST_BACKOFF_MS if before is None else before.pause_ms * 2
    pause = min(pause, MAX_BACKOFF_MS)
    fleet.backoffs[host] = Backoff(until=now + pause, pause_ms=pause)


def observe_success(fleet: Fleet, host: HostId) -> None:
    """Take in that a holder works."""
    fleet.backoffs.pop(host, None)
