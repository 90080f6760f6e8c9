"""Ownership of databases by hosts, by rendezvous hashing and claims.

Ownership is an optimization and not needed for safety: if two hosts consider
themselves the owner, the claim stored in the database decides.

Hosts and databases are hashed to cells, so that ranking costs the square root of
the fleet's size and a host watches only the databases of its own cell.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from ..groups import Claim
from ..identifiers import DatabaseId, HostId

CELLS = 64
CACHED_WEIGHTS = 1 << 16
CACHED_ORDERS = 1 << 14


class OwnershipAction(Enum):
    """What a host has to do about a database."""

    SERVE = "serve"
    CLAIM = "claim"
    DEFER = "defer"
    RELEASE = "release"


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipFacts:
    """Input of the decision about a database.

    Parameters
    ----------
    local_host
        This host.
    first
        Whether this host ranks first among the live hosts.
    claim
        Claim read from the database, None if it was not read.
    holding
        Whether this host holds the claim and serves the database.
    draining
        Whether this host is shutting down.
    claimant_alive
        Whether the claiming host answers and can reach the database.
    """

    local_host: HostId
    first: bool
    claim: Claim | None
    holding: bool
    draining: bool
    claimant_alive: bool


@lru_cache(maxsize=CACHED_WEIGHTS)
def weigh(left: str, right: str) -> int:
    """Return the weight of a pair in rendezvous hashing."""
    return _hash(left, right)


def _hash(left: str, right: str) -> int:
    digest = hashlib.blake2b(f"{left}/{right}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def find_cell(name: str) -> int:
    """Return the cell of a host."""
    return weigh("cell", name) % CELLS


def find_weight(host: HostId) -> int:
    """Return the weight of a host for tasks that a few hosts do for all others."""
    return weigh("watcher", host)


class Ring:
    """Live hosts by cell.

    Parameters
    ----------
    hosts
        The live hosts.
    """

    def __init__(self, *, hosts: Iterable[HostId]) -> None:
        self.cells: dict[int, list[HostId]] = defaultdict(list)
        for host in hosts:
            self.cells[find_cell(host)].append(host)


@lru_cache(maxsize=CACHED_ORDERS)
def order_cells(database: DatabaseId) -> bytes:
    """Return all cells by descending weight for a database, one byte each."""
    cells = range(CELLS)
    return bytes(sorted(cells, key=lambda c: _hash(f"#{c}", database), reverse=True))


def may_rank(ring: Ring, database: DatabaseId, local_host: HostId, limit: int) -> bool:
    """Return whether a host may rank among the first, without ranking all hosts."""
    local_cell = find_cell(local_host)
    before = 0
    for cell in order_cells(database):
        if cell == local_cell:
            return True
        before += len(ring.cells.get(cell, ()))
        if before >= limit:
            return False
    return False


def rank_hosts(ring: Ring, database: DatabaseId, limit: int = 3) -> list[HostId]:
    """List the hosts that should own a database, best first.

    Parameters
    ----------
    ring
        Live hosts.
    database
        The database.
    limit
        Maximum length of the list.

    Returns
    -------
    list of HostId
        Empty when no host is live.
    """
    ranked: list[HostId] = []
    for cell in order_cells(database):
        hosts = ring.cells.get(cell, [])
        ranked.extend(sorted(hosts, key=lambda h: weigh(h, database), reverse=True))
        if len(ranked) >= limit:
            break
    return ranked[:limit]


def decide_action(facts: OwnershipFacts) -> OwnershipAction:
    """Return what this host has to do about a database.

    A live claimant is never displaced, even by a host that ranks higher, so that
    hosts with different views do not displace each other repeatedly.
    """
    if facts.draining:
        return OwnershipAction.RELEASE if facts.holding else OwnershipAction.DEFER
    if facts.holding:
        return OwnershipAction.SERVE
    claim = facts.claim
    if claim is not None and claim.host != facts.local_host and facts.claimant_alive:
        return OwnershipAction.DEFER
    return OwnershipAction.CLAIM if facts.first else OwnershipAction.DEFER
