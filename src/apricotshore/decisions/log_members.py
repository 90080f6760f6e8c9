"""Servers of a group whose logs count, and when a log was last lost.

A server counts from its first entry in the store on. Only what ends its log strikes it
off: it leaves in good order, starts anew, or another has taken its address. An entry
that has run out doesn't, for the server may come back with its log. One that is gone
as a change settles counts no more: the floor of logs covers what it held.

A log that was lost may have held what others lack. What it held lies below a position
that the primary names afterwards.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..identifiers import ServerId
from .log_floor import StoredMember


@dataclass(kw_only=True, slots=True)
class LogMembers:
    """Servers whose logs count, as one host knows them.

    Parameters
    ----------
    counted
        The servers, listed or not.
    struck
        Servers whose log has ended, which an older lease may still name.
    lost_at
        When a log was last lost, None if none was. In milliseconds since boot.
    is_assumed
        Whether that loss is only assumed: a log may have been lost before the host
        started.
    """

    counted: dict[ServerId, StoredMember] = field(default_factory=dict)
    struck: set[StoredMember] = field(default_factory=set)
    lost_at: int | None = None
    is_assumed: bool = False


def observe_listed(state: LogMembers, member: StoredMember, now: int) -> bool:
    """Count a server that the store lists; return whether it has started anew."""
    for other in list(state.counted.values()):
        if other.address == member.address and other.server != member.server:
            _strike(state, other, now)
    known = state.counted.get(member.server)
    is_new = known is not None and known.started_ms != member.started_ms
    if known is not None and is_new:
        _strike(state, known, now)
    state.counted[member.server] = member
    return is_new


def observe_unlisted(
    state: LogMembers, server: ServerId, now: int, *, has_left: bool
) -> None:
    """Strike a server off that has left; keep one whose entry has only run out."""
    if has_left and server in state.counted:
        _strike(state, state.counted[server], now)


def observe_stored(
    state: LogMembers,
    members: Iterable[StoredMember],
    listed: Iterable[StoredMember],
    now: int,
    *,
    is_settled: bool,
) -> None:
    """Take the members that the lease names.

    Parameters
    ----------
    state
        The servers that count; changed in place.
    members
        Servers that the lease names.
    listed
        Servers that the store lists now.
    now
        Milliseconds since boot.
    is_settled
        Whether the change has ended: then only these and the listed ones count.
    """
    stored = {m.server: m for m in members if m not in state.struck}
    if not stored:
        return
    present = {m.server: m for m in listed}
    if is_settled:
        kept = stored.keys() | present.keys()
        state.counted = {s: m for s, m in state.counted.items() if s in kept}
    addresses = {m.address for m in present.values()}
    lost = False
    for server, member in stored.items():
        if server in present:
            lost |= present[server].started_ms != member.started_ms
        elif member.address in addresses:
            lost = True
        else:
            state.counted.setdefault(server, member)
    if state.is_assumed:
        state.is_assumed = False
        state.lost_at = now if lost else None


def _strike(state: LogMembers, member: StoredMember, now: int) -> None:
    del state.counted[member.server]
    state.struck.add(member)
    state.lost_at = now
    state.is_assumed = False
