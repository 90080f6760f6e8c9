"""Membership: failure detection by probes, with piggybacked updates.

The protocol is SWIM: each host probes a few members per period, disseminates
updates with its probes, and a suspected host may refute. The cost per host does not
depend on the size of the fleet.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from ..identifiers import BundleVersion, DataCentreId, HostId

PROBE_PERIOD_MS = 500
PROBE_FANOUT = 3
SUSPECT_MS = 1_500
REMOVE_MS = 600_000
UPDATES_PER_MESSAGE = 8
SENDS_PER_UPDATE = 12


class MemberState(Enum):
    """State of a host in the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"


_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DRAINING: 2,
    MemberState.DEAD: 3,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Membership record of one host.

    Parameters
    ----------
    host
        The host.
    address
        Its peer address, ``ip:port``.
    data_centre
        Its data centre.
    incarnation
        Number raised by the host itself to refute an outdated state.
    life
        Its state.
    bundle
        Bundle version that it last reported as in force.
    """

    host: HostId
    address: str
    data_centre: DataCentreId
    incarnation: int
    life: MemberState
    bundle: BundleVersion = BundleVersion(0)


@dataclass(kw_only=True, slots=True)
class Membership:
    """Membership as one host knows it.

    Parameters
    ----------
    local_member
        This host's own record.
    members
        All known hosts, including this one.
    changed_at
        When each record last changed, in milliseconds.
    pending_updates
        Number of messages on which each record is still to be piggybacked.
    order
        Probing order of the other hosts, shuffled again for each round.
    cursor
        Index of the next host in the probing order.
    version
        Number raised whenever a host joins, changes its state or its address.
    unhealthy
        Suspected and dead hosts.
    newest
        The host with the highest bundle version reported so far.
    """

    local_member: Member
    members: dict[HostId, Member] = field(default_factory=dict)
    changed_at: dict[HostId, int] = field(default_factory=dict)
    pending_updates: dict[HostId, int] = field(default_factory=dict)
    order: list[HostId] = field(default_factory=list)
    cursor: int = 0
    version: int = 0
    unhealthy: set[HostId] = field(default_factory=set)
    newest: Member | None = None


def start_membership(local_member: Member) -> Membership:
    """Return a membership that contains only this host."""
    return Membership(
        local_member=local_member, members={local_member.host: local_member}
    )


def _overrides(new: Member, old: Member) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _PRECEDENCE[new.life] > _PRECEDENCE[old.life]


def _store(state: Membership, member: Member, now: int) -> None:
    old = state.members.get(member.host)
    if old is None or old.life is not member.life or old.address != member.address:
        state.version += 1
    state.members[member.host] = member
    state.changed_at[member.host] = now
    if member.life in (MemberState.SUSPECT, MemberState.DEAD):
        state.unhealthy.add(member.host)
    else:
        state.unhealthy.discard(member.host)
    state.pending_updates[member.host] = SENDS_PER_UPDATE


def set_own(state: Membership, member: Member, now: int) -> None:
    """Replace this host's own record and disseminate it."""
    state.local_member = member
    _store(state, member, now)


def apply_update(state: Membership, update: Member, now: int) -> None:
    """Apply a record from a peer or from the platform's list."""
    if update.host == state.local_member.host:
        _refute(state, update, now)
        return
    old = state.members.get(update.host)
    if old is None or _overrides(update, old):
        _store(state, update, now)


def apply_sender(state: Membership, sender: Member, now: int) -> None:
    """Apply the record that a peer sent of itself.

    Its bundle version is stored but not disseminated: with thousands of changes a
    day and thousands of hosts it would fill every message.
    """
    apply_update(state, sender, now)
    known = state.members.get(sender.host)
    if known is not None and known.bundle != sender.bundle:
        state.members[sender.host] = replace(known, bundle=sender.bundle)
    if state.newest is None or sender.bundle > state.newest.bundle:
        state.newest = sender


def set_bundle(state: Membership, version: BundleVersion) -> None:
    """Set the bundle version in this host's own record."""
    state.local_member = replace(state.local_member, bundle=version)
    state.members[state.local_member.host] = state.local_member


def _refute(state: Membership, update: Member, now: int) -> None:
    is_current = update.incarnation >= state.local_member.incarnation
    if is_current and update.life is not state.local_member.life:
        raised = replace(state.local_member, incarnation=update.incarnation + 1)
        set_own(state, raised, now)


def record_answer(state: Membership, host: HostId, now: int) -> None:
    """Record that a host answered a probe."""
    member = state.members.get(host)
    if member is not None and member.life in (MemberState.SUSPECT, MemberState.DEAD):
        # The next update from the host itself has a higher incarnation; until then
        # the change is local and not disseminated.
        state.members[host] = replace(member, life=MemberState.ALIVE)
        state.changed_at[host] = now
        state.unhealthy.discard(host)
        state.version += 1


def record_timeout(state: Membership, host: HostId, now: int) -> None:
    """Record that a host did not answer a probe."""
    member = state.members.get(host)
    if member is not None and member.life in (MemberState.ALIVE, MemberState.DRAINING):
        _store(state, replace(member, life=MemberState.SUSPECT), now)


def expire(state: Membership, now: int) -> list[HostId]:
    """Declare long suspected hosts dead and remove long dead hosts.

    Returns
    -------
    list of HostId
        Hosts that were declared dead.
    """
    died: list[HostId] = []
    for host in list(state.unhealthy):
        member = state.members[host]
        age = now - state.changed_at.get(host, now)
        if member.life is MemberState.SUSPECT and age >= SUSPECT_MS:
            _store(state, replace(member, life=MemberState.DEAD), now)
            died.append(host)
        elif member.life is MemberState.DEAD and age >= REMOVE_MS:
            del state.members[host]
            state.unhealthy.discard(host)
            state.changed_at.pop(host, None)
            state.pending_updates.pop(host, None)
    return died


def choose_targets(
    state: Membership, shuffle: Callable[[list[HostId]], None]
) -> list[Member]:
    """Return the next members to probe.

    Parameters
    ----------
    state
        The membership; its cursor advances.
    shuffle
        Shuffles a list in place.

    Returns
    -------
    list of Member
        Each member is probed once before any is probed twice. Dead members are
        probed too, to detect the end of a network partition.
    """
    targets: list[Member] = []
    for _ in range(len(state.members) + 1):
        if len(targets) >= PROBE_FANOUT:
            break
        if state.cursor >= len(state.order):
            state.order = [h for h in state.members if h != state.local_member.host]
            shuffle(state.order)
            state.cursor = 0
            if not state.order:
                break
        host = state.order[state.cursor]
        state.cursor += 1
        member = state.members.get(host)
        if member is not None and member not in targets:
            targets.append(member)
    return targets


def take_updates(state: Membership) -> list[Member]:
    """Return the records to piggyback on the next message, own record first."""
    waiting = sorted(
        state.pending_updates, key=lambda h: state.pending_updates[h], reverse=True
    )
    chosen = [h for h in waiting if h != state.local_member.host][:UPDATES_PER_MESSAGE]
    for host in [*chosen, state.local_member.host]:
        left = state.pending_updates.get(host, 0) - 1
        if left > 0:
            state.pending_updates[host] = left
        else:
            state.pending_updates.pop(host, None)
    known = [state.members[h] for h in chosen if h in state.members]
    return [state.local_member, *known]


def list_live(state: Membership) -> list[HostId]:
    """List the hosts that may own databases: alive or suspected."""
    return [
        host
        for host, member in state.members.items()
        if member.life in (MemberState.ALIVE, MemberState.SUSPECT)
    ]


def is_alive(state: Membership, host: HostId) -> bool:
    """Return whether a host is alive or suspected."""
    member = state.members.get(host)
    return member is not None and member.life in (
        MemberState.ALIVE,
        MemberState.SUSPECT,
    )


def choose_watchers(
    state: Membership, rank: Callable[[HostId], int], limit: int
) -> frozenset[HostId]:
    """Return which hosts of this data centre watch the platform for the others.

    Parameters
    ----------
    state
        The membership.
    rank
        Weight of a host; those with the highest weight watch.
    limit
        Number of watchers in a data centre.
    """
    local: Iterable[HostId] = (
        host
        for host in list_live(state)
        if state.members[host].data_centre == state.local_member.data_centre
    )
    return frozenset(sorted(local, key=rank, reverse=True)[:limit])
