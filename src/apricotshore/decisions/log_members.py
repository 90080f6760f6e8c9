"""Servers of a group whose logs count, and logs that were lost.

A server counts from its first entry in the store on. Only what ends its log strikes it
off: it leaves in good order, starts anew, or another has taken its address. An entry
that has run out doesn't, however long ago: the primary may reach the server still, so
that with it the server holds the only copies of a commit. Nor does a settled change. An
entry with the address of a server that has one itself strikes neither off while both
are listed.

A log that was lost may have held what others lack. What it held lies below a position
that the primary names afterwards. A server that leaves hands its log to its successor
at its address, which counts in its place.

A lease names a server until its log is covered. So one that the next lease of the same
era names no more was struck off by its writer, and hosts that missed why follow.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..groups import LogPosition
from ..identifiers import ServerId
from . import log_floor
from .change_members import log_order
from .log_floor import LogFloor, StoredMember

# A server, and when it had started.
LogKey = tuple[ServerId, int]
# Stands for logs that may have been lost before the host started.
ANY_LOG: LogKey = (log_floor.ANY_SERVER, 0)
# Servers that are remembered as struck off. A lease names older ones no more.
MAX_STRUCK = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class LostLog:
    """A log that no server holds any more.

    Parameters
    ----------
    at
        When it was found lost, in milliseconds since boot.
    member
        The server that held it, None if that isn't known.
    has_left
        Whether the server left in good order, so that its successor holds the log.
    """

    at: int
    member: StoredMember | None = None
    has_left: bool = False


@dataclass(kw_only=True, slots=True)
class LogMembers:
    """Servers whose logs count, as one host knows them.

    Parameters
    ----------
    counted
        The servers, listed or not.
    listed_since
        When this host first saw the entries of those that no earlier lease named, in
        milliseconds since boot.
    unlisted
        Those of them without an entry, and whether each was leaving by its last one.
    struck
        Servers whose log has ended, oldest first, which an older lease may still name.
    lost
        Lost logs that no position of a primary covers yet.
    covered_end
        Position of a primary that covers lost logs, None without one.
    named, named_in
        Servers that the last lease named, and its era.
    """

    counted: dict[ServerId, StoredMember] = field(default_factory=dict)
    listed_since: dict[ServerId, int] = field(default_factory=dict)
    unlisted: dict[ServerId, bool] = field(default_factory=dict)
    struck: dict[StoredMember, None] = field(default_factory=dict)
    lost: dict[LogKey, LostLog] = field(default_factory=dict)
    covered_end: LogPosition | None = None
    named: frozenset[StoredMember] = frozenset()
    named_in: int = 0

    @property
    def lost_at(self) -> int | None:
        """When a log was last lost that isn't covered, in milliseconds since boot."""
        return max((lost.at for lost in self.lost.values()), default=None)

    @property
    def is_assumed(self) -> bool:
        """Whether nothing is known of logs that were lost before the start."""
        return ANY_LOG in self.lost


def begin_members(now: int) -> LogMembers:
    """Return the state of a host that starts: any log may have been lost before."""
    return LogMembers(lost={ANY_LOG: LostLog(at=now)})


def observe_listed(state: LogMembers, member: StoredMember, now: int) -> bool:
    """Count a server that the store lists; return whether it has started anew."""
    known = state.counted.get(member.server)
    is_new = known is not None and _has_restarted(known, member)
    if known is not None and is_new:
        _strike(state, known, LostLog(at=now, member=known))
    elif known is not None:
        member = replace(member, started_ms=known.started_ms)
    else:
        state.listed_since[member.server] = now
    state.counted[member.server] = member
    state.unlisted.pop(member.server, None)
    state.struck.pop(member, None)
    for server in list(state.unlisted):
        _strike_replaced(state, server, now)
    state.lost = {
        key: lost for key, lost in state.lost.items() if not _is_back(lost, member)
    }
    return is_new


def _has_restarted(known: StoredMember, listed: StoredMember) -> bool:
    """Return whether an entry names another start, and not just none."""
    return listed.started_ms not in (0, known.started_ms)


def observe_unlisted(
    state: LogMembers, server: ServerId, now: int, *, is_leaving: bool
) -> None:
    """Record that the store lists a server no more, which may go on without an entry.

    Parameters
    ----------
    state
        The servers that count; changed in place.
    server
        The server.
    now
        Milliseconds since boot.
    is_leaving
        Whether it was leaving by its last entry.
    """
    if server in state.counted:
        state.unlisted[server] = is_leaving
        _strike_replaced(state, server, now)


def _strike_replaced(state: LogMembers, server: ServerId, now: int) -> None:
    """Strike a server without an entry off if another is listed at its address."""
    member, has_left = state.counted[server], state.unlisted[server]
    # A restored store may list one that had the address before.
    is_replaced = any(
        other.address == member.address
        and other.server not in state.unlisted
        and other.started_ms >= member.started_ms
        for other in state.counted.values()
    )
    if is_replaced and has_left:
        observe_left(state, server, now)
    elif is_replaced:
        _strike(state, member, LostLog(at=now, member=member))


def _is_back(lost: LostLog, member: StoredMember) -> bool:
    """Return whether a listed server holds a log that was taken for lost."""
    if lost.member is None:
        return False
    has_address = lost.member.address == member.address
    # One that starts anew under its own id holds nothing of before.
    is_successor = has_address and lost.member.server != member.server
    return (lost.has_left and is_successor) or lost.member == member


def observe_left(state: LogMembers, server: ServerId, now: int) -> None:
    """Strike a server off that has left in good order."""
    member = state.counted.get(server)
    if member is None:
        return
    _strike(state, member, LostLog(at=now, member=member, has_left=True))
    if any(m.address == member.address for m in state.counted.values()):
        del state.lost[_find_key(member)]


def count_lost(state: LogMembers) -> int:
    """Return how many logs of unknown length the lost ones stand for.

    Logs that no server holds can't be waited for, so they stand for one.
    """
    held = sum(lost.has_left for lost in state.lost.values())
    return held + (held < len(state.lost))


def observe_position(
    state: LogMembers, log_position: LogPosition, asked_at: int
) -> None:
    """Take a position of a primary, which covers logs that were lost before.

    Parameters
    ----------
    state
        The servers that count; changed in place.
    log_position
        Position that the primary named.
    asked_at
        When it was asked, in milliseconds since boot.
    """
    left = {s: lost for s, lost in state.lost.items() if lost.at > asked_at}
    if len(left) == len(state.lost):
        return
    state.lost = left
    known = state.covered_end or log_position
    state.covered_end = max(known, log_position, key=log_order)


def observe_stored(
    state: LogMembers,
    floor: LogFloor,
    listed: Iterable[StoredMember],
    now: int,
    *,
    era: int,
) -> None:
    """Take the members that a lease names, and the end that covers lost logs.

    Parameters
    ----------
    state
        The servers that count; changed in place.
    floor
        Floor that the lease names.
    listed
        Servers that the store lists now.
    now
        Milliseconds since boot.
    era
        Era of the lease.
    """
    if floor.end is not None and log_floor.ANY_SERVER in floor.unknown:
        covered = state.covered_end or floor.end
        state.covered_end = max(covered, floor.end, key=log_order)
    if not floor.members:
        return
    present = {m.server: m for m in listed}
    if era == state.named_in:
        _strike_unnamed(state, floor.members, present)
    observe_named(state, floor, era)
    state.lost.pop(ANY_LOG, None)
    addresses = {m.address for m in present.values()}
    for member in floor.members:
        if member in state.struck:
            continue
        known = present.get(member.server)
        is_lost = known is None and member.address in addresses
        is_lost |= known is not None and _has_restarted(member, known)
        if is_lost:
            _remember_struck(state, member)
            state.lost[_find_key(member)] = LostLog(at=now, member=member)
            continue
        state.listed_since.pop(member.server, None)
        if member.server not in state.counted:
            state.counted[member.server] = member
            state.unlisted[member.server] = False


def _strike_unnamed(
    state: LogMembers,
    members: tuple[StoredMember, ...],
    present: Mapping[ServerId, StoredMember],
) -> None:
    """Strike off servers that a lease named, and that its next one doesn't.

    A writer that hasn't learnt which end covers a lost log names its earlier start.
    """
    named = {member.server: member.started_ms for member in members}
    for member in state.named.difference(members):
        is_counted = state.counted.get(member.server) == member
        is_outdated = named.get(member.server, member.started_ms) < member.started_ms
        if is_counted and not is_outdated and member.server not in present:
            _forget(state, member)


def observe_named(state: LogMembers, floor: LogFloor, era: int) -> None:
    """Remember which servers the last lease names, whoever has written it."""
    state.named, state.named_in = frozenset(floor.members), era


def make_floor(state: LogMembers, floor: LogFloor) -> LogFloor:
    """Return the floor that the lease is to hold, with the servers that count.

    A lost log that isn't covered is named by the server that held it, so that others
    find it lost as well. Nobody is named while unknown logs may have been lost.
    """
    if state.covered_end is not None:
        floor = log_floor.raise_floor(floor, state.covered_end)
    if state.is_assumed:
        return replace(floor, members=())
    lost = sorted(state.lost.values(), key=lambda x: -x.at)
    members = {**state.counted, **{x.member.server: x.member for x in lost if x.member}}
    return replace(floor, members=tuple(members[s] for s in sorted(members)))


def _strike(state: LogMembers, member: StoredMember, lost: LostLog) -> None:
    _forget(state, member)
    state.lost[_find_key(member)] = lost


def _forget(state: LogMembers, member: StoredMember) -> None:
    del state.counted[member.server]
    state.listed_since.pop(member.server, None)
    state.unlisted.pop(member.server, None)
    _remember_struck(state, member)


def _remember_struck(state: LogMembers, member: StoredMember) -> None:
    state.struck[member] = None
    while len(state.struck) > MAX_STRUCK:
        state.struck.pop(next(iter(state.struck)))


def _find_key(member: StoredMember) -> LogKey:
    return (member.server, member.started_ms)
