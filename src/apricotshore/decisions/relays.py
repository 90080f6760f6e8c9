"""Choice of the relays: hosts that connect to a backend server for the others.

A server accepts a limited number of connections. When there are too many hosts, a
few hosts near the server, its relays, connect to it, and the others connect
through one of these. Rendezvous hashing picks the same relays at every host that
knows the same hosts; if views differ, a host only uses another relay.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..identifiers import DataCentreId, GroupId, HostId, OrganisationId, ServerId
from .ownership import weigh
from .placement import Distance

# One connection for the host itself and one in use by a statement.
CONNECTIONS_PER_HOST = 2
# The same where each connection belongs to one organisation, so that a host needs some.
ORGANISATIONS_CONNECTIONS_PER_HOST = 8
# Several, so that some may fail; few, so that each has enough connections to
# serve statements concurrently.
RELAYS_PER_SERVER = 4
# Hosts that are asked at once to reach a server for another one.
DETOURS_PER_SERVER = 4
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 16_000
# Time for which a host that reaches a server is used as a detour to it.
DETOUR_MS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host as the store lists it.

    Parameters
    ----------
    host, data_centre
        The host and its data centre.
    address
        ``ip:port`` at which other hosts connect to it.
    leaving
        Whether it is about to end. It still answers other hosts, but it is chosen
        for nothing.
    knows_organisations
        Whether it, as a relay, tells servers the organisation of a connection. Hosts of
        earlier versions don't.
    process
        Random number of its process; 0 of a version that writes none.
    """

    host: HostId
    data_centre: DataCentreId
    address: str
    leaving: bool = False
    knows_organisations: bool = False
    process: int = 0


@dataclass(kw_only=True, slots=True)
class Backoff:
    """Backoff of a host that failed as a relay.

    Parameters
    ----------
    until
        End of the pause in its use, in milliseconds since boot.
    pause_ms
        Length of the pause; doubled at each failure.
    """

    until: int
    pause_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Detour:
    """A host that reaches a server which this host doesn't reach.

    Parameters
    ----------
    host
        The other host.
    until
        When the direct way is tried again, in milliseconds since boot.
    """

    host: HostId
    until: int


@dataclass(kw_only=True, slots=True)
class Fleet:
    """Hosts that may be relays, as one host knows them.

    Parameters
    ----------
    local_host
        This host.
    hosts
        Known hosts, this one included.
    backoffs
        Those that failed lately.
    detours
        Host through which each server that this host doesn't reach is reached.
    by_organisation
        Whether each connection belongs to one organisation.
    """

    local_host: HostId
    hosts: dict[HostId, ListedHost] = field(default_factory=dict)
    backoffs: dict[HostId, Backoff] = field(default_factory=dict)
    detours: dict[ServerId, Detour] = field(default_factory=dict)
    by_organisation: bool = False


MeasureDistance = Callable[[DataCentreId, DataCentreId], Distance]


def _list_staying(fleet: Fleet) -> list[ListedHost]:
    """List the hosts to choose from.

    This host connects as before while it leaves: a change of its paths would close
    the connections of its last sessions.
    """
    hosts = fleet.hosts.values()
    return [h for h in hosts if not h.leaving or h.host == fleet.local_host]


def _list_able(fleet: Fleet) -> list[ListedHost]:
    """List the hosts that may be relays."""
    return [
        h
        for h in _list_staying(fleet)
        if not fleet.by_organisation
        or h.knows_organisations
        or h.host == fleet.local_host
    ]


def count_relays(fleet: Fleet, limit: int) -> int:
    """Return how many hosts hold connections to a server; 0 when all do.

    Parameters
    ----------
    fleet
        The known hosts.
    limit
        Connections that the server takes.
    """
    needed = (
        ORGANISATIONS_CONNECTIONS_PER_HOST
        if fleet.by_organisation
        else CONNECTIONS_PER_HOST
    )
    if len(_list_staying(fleet)) * needed <= limit:
        return 0
    return min(RELAYS_PER_SERVER, len(_list_able(fleet)))


def list_relays(
    fleet: Fleet, server: ServerId, near: DataCentreId, measure: MeasureDistance
) -> list[ListedHost]:
    """List the relays of a server: the closest hosts, chosen by hash.

    Parameters
    ----------
    fleet
        The known hosts.
    server, near
        The server and its data centre.
    measure
        Returns the distance between two data centres.
    """
    ranked = sorted(
        _list_able(fleet),
        key=lambda h: (measure(h.data_centre, near), -weigh(h.host, server)),
    )
    return ranked[:RELAYS_PER_SERVER]


def list_detours(fleet: Fleet, server: ServerId) -> list[ListedHost]:
    """List other hosts that may reach a server, of different data centres first."""
    others = [h for h in _list_staying(fleet) if h.host != fleet.local_host]
    ranked = sorted(others, key=lambda h: -weigh(h.host, server))
    counts: Counter[DataCentreId] = Counter()
    places: dict[HostId, int] = {}
    for host in ranked:
        places[host.host] = counts[host.data_centre]
        counts[host.data_centre] += 1
    return sorted(ranked, key=lambda h: places[h.host])[:DETOURS_PER_SERVER]


def has_others(fleet: Fleet) -> bool:
    """Return whether there are other hosts that a leaving one leaves its tasks to."""
    return any(h.host != fleet.local_host for h in _list_staying(fleet))


def rank_host(fleet: Fleet, group: GroupId) -> int:
    """Return how many hosts come before this one for a task of a group."""
    own = weigh(fleet.local_host, group)
    return sum(weigh(h.host, group) > own for h in _list_staying(fleet))


def list_paths(
    fleet: Fleet,
    relays: list[ListedHost],
    now: int,
    organisation: OrganisationId | None = None,
) -> list[ListedHost]:
    """List the usable relays, the preferred one first; empty to connect directly.

    All hosts prefer the same one for an organisation, so that it uses that one's
    connections again.
    """
    if any(h.host == fleet.local_host for h in relays):
        return []
    usable = [h for h in relays if not _is_backed_off(fleet, h.host, now)]
    chooser = fleet.local_host if organisation is None else organisation
    return sorted(usable, key=lambda h: -weigh(chooser, h.host))


def _is_backed_off(fleet: Fleet, host: HostId, now: int) -> bool:
    backoffs = fleet.backoffs.get(host)
    return backoffs is not None and now < backoffs.until


def list_backed_off(fleet: Fleet, now: int) -> set[HostId]:
    """List the hosts that failed as relays and aren't used for a while."""
    return {host for host in fleet.backoffs if _is_backed_off(fleet, host, now)}


def observe_failure(fleet: Fleet, host: HostId, now: int) -> None:
    """Record that a relay failed."""
    fleet.detours = {s: d for s, d in fleet.detours.items() if d.host != host}
    before = fleet.backoffs.get(host)
    if before is not None and now < before.until:
        return
    pause = FIRST_BACKOFF_MS if before is None else before.pause_ms * 2
    pause = min(pause, MAX_BACKOFF_MS)
    fleet.backoffs[host] = Backoff(until=now + pause, pause_ms=pause)


def observe_success(fleet: Fleet, host: HostId) -> None:
    """Record that a relay works."""
    fleet.backoffs.pop(host, None)


def observe_detour(fleet: Fleet, server: ServerId, host: HostId, now: int) -> None:
    """Record that another host reaches a server that this host doesn't reach."""
    fleet.detours[server] = Detour(host=host, until=now + DETOUR_MS)


def find_detour(fleet: Fleet, server: ServerId) -> ListedHost | None:
    """Return the host through which a server is reached, None for the usual way."""
    detour = fleet.detours.get(server)
    return None if detour is None else fleet.hosts.get(detour.host)


def is_direct_due(fleet: Fleet, server: ServerId, now: int) -> bool:
    """Return whether the usual way to a server with a detour is to be tried again."""
    return now >= fleet.detours[server].until
