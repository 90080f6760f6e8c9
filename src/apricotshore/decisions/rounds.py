"""Shares of a round of questions to all hosts of a large fleet.

A holder that asks thousands of hosts itself is done too late. It asks one host of each
share, its forwarder, which asks the rest of the share. With as many shares as hosts in
each, nobody asks more than about twice the square root of the fleet's size.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import ceil, isqrt

from ..identifiers import DataCentreId, HostId
from .ownership import weigh
from .relays import ListedHost

# Hosts that a holder asks without forwarders.
DIRECT_HOSTS = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class HostAddress:
    """Where a host is asked.

    Parameters
    ----------
    host, address
        The host, and ``ip:port`` at which other hosts connect to it.
    """

    host: HostId
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Hosts that are asked through one of them.

    Parameters
    ----------
    forwarder
        The host that asks the others.
    hosts
        The others.
    """

    forwarder: ListedHost
    hosts: tuple[ListedHost, ...]


def plan_shares(
    hosts: Iterable[ListedHost], avoided: Collection[HostId], task: str
) -> tuple[Share, ...]:
    """Divide hosts into shares, each of one data centre where it is large enough.

    Parameters
    ----------
    hosts
        The hosts to ask, in any order.
    avoided
        Hosts that forward only where there are too few others, as do leaving ones.
    task
        What the round is for: rounds of different tasks have other forwarders.
    """
    ranked = sorted(
        hosts,
        key=lambda h: (h.leaving or h.host in avoided, weigh(h.host, task), h.host),
    )
    if not ranked:
        return ()
    unfit = {h.host for h in ranked if h.leaving or h.host in avoided}
    size = isqrt(len(ranked))
    centres: dict[DataCentreId, list[ListedHost]] = defaultdict(list)
    for host in ranked:
        centres[host.data_centre].append(host)
    shares: list[Share] = []
    rest: list[ListedHost] = []
    for _, members in sorted(centres.items()):
        if len(members) >= size and _has_forwarders(members, size, unfit):
            shares += _deal(members, size)
        else:
            rest += members
    if rest and not _has_forwarders(rest, size, unfit):
        # Forwarders of other data centres are better than unfit ones.
        return tuple(_deal(ranked, size))
    rest.sort(key=lambda h: h.host in unfit)
    return (*shares, *_deal(rest, size))


def _has_forwarders(
    hosts: list[ListedHost], size: int, unfit: Collection[HostId]
) -> bool:
    """Return whether each share of some hosts gets a fit forwarder."""
    return sum(h.host not in unfit for h in hosts) >= ceil(len(hosts) / size)


def _deal(ranked: list[ListedHost], size: int) -> list[Share]:
    """Deal hosts out to shares of about a size; the first ones are the forwarders."""
    count = ceil(len(ranked) / size)
    dealt = [ranked[number::count] for number in range(count)]
    return [Share(forwarder=first, hosts=tuple(others)) for first, *others in dealt]
