"""Lease on the change of a group's primary: who may take it, and its fencing token.

A lease belongs to one era of the store. A restored store may have lost the lease
that a host holds, so in a new era the others wait until it has expired. A change
that was under way is lost with it, and is finished by the next holder.

A holder is one process. Two processes can't listen at one address, so a process knows
that an earlier one at its own address has ended. So has one whose host refuses
connections: a host listens for the others for as long as it may send anything. Either
is waited for only until a promotion that it may have requested has taken effect. Where
the lease names no target, it has requested none.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..identifiers import (
    FencingToken,
    HostId,
    ServerId,
    StoreEra,
    StoreRevision,
    Term,
)
from .log_floor import StoredMember

LEASE_MS = 6_000
# What a holder sends this long before its lease expires has arrived by then.
HELD_MARGIN_MS = 50
# Time within which a promotion that the platform has accepted takes effect.
PROMOTION_MS = 2_000
# Time within which servers carry out what a process had sent before it ended.
COMMAND_MS = 1_000
# Low bits of a token that hold the revision; the era is above them.
REVISION_BITS = 40
# Before the name of a holder that has left its lease to whoever takes it first.
LEFT_BY = "left-by:"
# Within this time the other hosts know of a lease that one host wrote.
RANK_STEP_MS = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class FormerPrimaries:
    """The primaries that a change replaces.

    Parameters
    ----------
    servers
        The servers.
    term
        Latest term of their leads. Without one and without servers, the holder doesn't
        know who led.
    """

    servers: tuple[ServerId, ...] = ()
    term: Term = Term(0)

    @property
    def is_unknown(self) -> bool:
        """Whether any server may have led, in any term."""
        return not (self.servers or self.term)


NO_FORMER = FormerPrimaries()


@dataclass(kw_only=True, slots=True)
class ObservedLease:
    """The lease on a group's change of primary as last read.

    Parameters
    ----------
    era
        Era of the store to which it belongs.
    revision
        Revision of the record in that era.
    holder
        Name of the changer that wrote it; see `name_holder`.
    open
        Whether the change is still in progress.
    seen_at
        When this revision was first read, in milliseconds since boot.
    target
        Server whose promotion its holder may have requested, None without one.
    former
        The primaries that the change replaces.
    members
        Servers that it names as those whose logs count.
    ended_at
        When its holder's host was found to refuse connections, None before. In
        milliseconds since boot.
    """

    era: StoreEra
    revision: StoreRevision
    holder: str
    open: bool
    seen_at: int
    target: ServerId | None = None
    former: FormerPrimaries = NO_FORMER
    members: tuple[StoredMember, ...] = ()
    ended_at: int | None = None


@dataclass(kw_only=True, slots=True)
class LeaseClaim:
    """What one changer may claim in the store's latest era.

    Parameters
    ----------
    holder
        Name of the changer; see `name_holder`.
    held_until
        End of the time in which no other changer can hold the lease, since this one
        wrote it; 0 when its last change has ended. In milliseconds since boot.
    era_seen_at
        When the host got its first answer of the era, in milliseconds since boot.
    """

    holder: str
    held_until: int
    era_seen_at: int


def name_holder(host: HostId, address: str, process: str) -> str:
    """Return the name of a changer: its host, its address and an id of its process."""
    return f"{host}@{address}/{process}"


def _has_ended(lease: ObservedLease, claim: LeaseClaim) -> bool:
    """Return whether the holder is an earlier process at the claimant's address."""
    machine, _, process = lease.holder.rpartition("/")
    own_machine, _, own_process = claim.holder.rpartition("/")
    return bool(machine) and machine == own_machine and process != own_process


def find_host(holder: str) -> HostId:
    """Return the host of a changer's name."""
    return HostId(holder.partition("@")[0])


def may_have_ended(lease: ObservedLease, holder: str) -> bool:
    """Return whether a lease is held by another host, whose process may have ended.

    Parameters
    ----------
    lease
        The lease.
    holder
        Name of the changer that asks.
    """
    is_left = lease.holder.startswith(LEFT_BY)
    is_other = find_host(lease.holder) != find_host(holder)
    return lease.open and is_other and not is_left and lease.ended_at is None


def make_token(era: StoreEra, revision: StoreRevision) -> FencingToken:
    """Return the fencing token of a lease, which increases with the era."""
    return FencingToken(era << REVISION_BITS | revision)


def add_former(earlier: FormerPrimaries, later: FormerPrimaries) -> FormerPrimaries:
    """Return the primaries that an unfinished change and its next one replace."""
    if not earlier.servers:
        return later
    return FormerPrimaries(
        servers=tuple(sorted({*earlier.servers, *later.servers})),
        term=max(earlier.term, later.term),
    )


def remove_former(former: FormerPrimaries, server: ServerId | None) -> FormerPrimaries:
    """Return the primaries that a change replaces, without one that leads again."""
    servers = tuple(s for s in former.servers if s != server)
    return FormerPrimaries(servers=servers, term=former.term)


def list_replaced(
    former: FormerPrimaries, target: ServerId | None, servers: Iterable[ServerId]
) -> tuple[ServerId, ...]:
    """List the servers that get no writes while a change is open.

    A holder that doesn't know who led treats all servers but the target as former
    primaries.

    Parameters
    ----------
    former, target
        What the lease of the change names.
    servers
        Servers of the group.
    """
    replaced = set(servers if former.is_unknown else former.servers)
    return tuple(sorted(replaced - {target}))


def may_acquire(lease: ObservedLease | None, claim: LeaseClaim, now: int) -> bool:
    """Return whether a changer may acquire the lease of the store's latest era.

    Parameters
    ----------
    lease
        The lease of that era, None without one.
    claim
        The changer and its times.
    now
        Milliseconds since boot.
    """
    if lease is None:
        return now < claim.held_until or now - claim.era_seen_at >= LEASE_MS
    if not lease.open or lease.holder == claim.holder:
        return True
    if lease.holder.startswith(LEFT_BY):
        return True
    ended_wait_ms = COMMAND_MS if lease.target is None else PROMOTION_MS
    if lease.ended_at is not None and now - lease.ended_at >= ended_wait_ms:
        return True
    wait_ms = PROMOTION_MS if _has_ended(lease, claim) else LEASE_MS
    return now - lease.seen_at >= wait_ms


def is_held(lease: ObservedLease | None, claim: LeaseClaim, now: int) -> bool:
    """Return whether no other changer can hold the lease yet.

    Parameters
    ----------
    lease, claim, now
        See `may_acquire`.
    """
    is_taken = lease is not None and lease.holder != claim.holder
    return not is_taken and now < claim.held_until - HELD_MARGIN_MS


def may_be_abandoned(
    lease: ObservedLease | None, claim: LeaseClaim, rank: int, now: int
) -> bool:
    """Return whether this changer is to finish a change that another left.

    An era without a lease may have lost an open one.

    Parameters
    ----------
    lease, claim, now
        See `may_acquire`.
    rank
        Number of hosts that are to do it before this one, so that one does it for all.
    """
    if not may_acquire(lease, claim, now):
        return False
    if lease is not None:
        return lease.open
    first_at = claim.era_seen_at + LEASE_MS
    return bool(claim.held_until) or now >= first_at + rank * RANK_STEP_MS
