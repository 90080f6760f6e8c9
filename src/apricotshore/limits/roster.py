"""Hosts of the fleet as one host knows them, for the shares of allocators.

Allocators on the two sides of a partition must not hand out more than one whole
bucket together. A host that was cut off may know fewer hosts than there are by now,
so beside its list each host keeps a *core*: hosts that the list of every live host is
known to contain.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..identifiers import HostId, StoreEra

# Hosts read the list each 12 s, and it is at most 5 s old then. A host that has
# followed it for longer knows each list that a host with access to the store may use.
MATURE_MS = 20_000
# A host that a restored store doesn't list may be running without access to it.
CARRIED_MS = 600_000


@dataclass(kw_only=True, slots=True)
class Roster:
    """Hosts of the fleet as one host knows them.

    Parameters
    ----------
    local_host, process
        This host and its process.
    listed
        Hosts in the last list, None before the first one.
    era
        Era of the last list.
    carried
        Hosts that an earlier era listed, and until when they count.
    core
        Hosts that the list of every live host contains; empty if unknown.
    followed_since
        When the first list was read, in milliseconds since boot.
    common
        Hosts that all lists since then contain.
    changes
        Number of changes of the list.
    hosts
        All hosts that may be running, and the processes in their entries.
    digest
        Digest of those.
    """

    local_host: HostId
    process: int
    listed: frozenset[HostId] | None = None
    era: StoreEra | None = None
    carried: dict[HostId, int] = field(default_factory=dict)
    core: frozenset[HostId] = frozenset()
    followed_since: int = 0
    common: frozenset[HostId] = frozenset()
    changes: int = 0
    hosts: dict[HostId, int] = field(default_factory=dict)
    digest: int = 0

    @property
    def is_settled(self) -> bool:
        """Whether the list of every live host contains all hosts of this one."""
        return bool(self.core) and self.core == self.hosts.keys()

    @property
    def is_listed(self) -> bool:
        """Whether the last list has the entry of this process."""
        return self.hosts.get(self.local_host) == self.process


def observe_hosts(
    roster: Roster, hosts: Mapping[HostId, int], era: StoreEra | None, now: int
) -> None:
    """Take over a list of the store.

    Parameters
    ----------
    roster
        What is known so far.
    hosts
        The listed hosts, and the processes in their entries.
    era
        Era of the list.
    now
        Time, in milliseconds since boot.
    """
    before = roster.hosts if roster.listed is not None else None
    if before is not None and era != roster.era:
        for host in before.keys() - hosts.keys():
            roster.carried.setdefault(host, now + CARRIED_MS)
    roster.carried = {
        host: until
        for host, until in roster.carried.items()
        if host not in hosts and now < until
    }
    roster.listed = frozenset(hosts)
    roster.era = era
    known = {host: roster.hosts[host] for host in roster.carried} | dict(hosts)
    if known != roster.hosts:
        roster.hosts = known
        roster.digest = _digest(known)
        roster.changes += 1
    # A list in between that this host didn't read lacked at most what has changed. An
    # entry that was removed and written again has another process.
    common = known.items() if before is None else known.items() & before.items()
    kept = frozenset(host for host, _ in common)
    if before is None:
        roster.followed_since = now
        roster.common = kept
    roster.common &= kept
    if not roster.core <= kept:
        roster.core &= kept
    if not roster.core and now - roster.followed_since >= MATURE_MS:
        roster.core = roster.common


def settle(roster: Roster) -> None:
    """Record that the list of every live host contains all hosts of this one."""
    roster.core = frozenset(roster.hosts)


def _digest(hosts: Mapping[HostId, int]) -> int:
    names = "\n".join(f"{host} {hosts[host]}" for host in sorted(hosts)).encode()
    return int.from_bytes(hashlib.blake2b(names, digest_size=4).digest(), "big")
