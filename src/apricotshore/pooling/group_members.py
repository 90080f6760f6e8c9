"""Members of a group for a change of its primary, from what its host knows."""

from collections.abc import Collection

from ..decisions import change_attempt, log_members, position_history
from ..decisions.change_attempt import Attempt
from ..decisions.change_members import Member
from ..decisions.log_floor import StoredMember
from ..groups import LogPosition
from ..identifiers import Position, ServerId, Term
from ..services.clock import read_boot_ms
from .group import Group, describe_member
from .stored_objects import LeaseRecord


def list_members(group: Group) -> tuple[Member, ...]:
    """Return the servers that may receive commits, listed or not."""
    counted = group.members.counted
    listed = [
        Member(server=s.server, leaving=s.leaving, started_ms=s.started_ms)
        for s in group.servers.values()
    ]
    unlisted = sorted((group.unlisted.keys() | counted.keys()) - group.servers.keys())
    return (
        *listed,
        *(Member(server=s, listed=False, is_counted=s in counted) for s in unlisted),
    )


def observe_lease(group: Group, record: LeaseRecord) -> None:
    """Count the servers that a lease names, and reach them without an entry."""
    settled_at = None if record.open else (int(record.era), int(record.revision))
    log_members.observe_stored(
        group.members,
        record.floor.members,
        list_present(group),
        read_boot_ms(),
        settled_at=settled_at,
    )
    for member in group.members.counted.values():
        group.keep_stored(member)


def list_present(
    group: Group, answered: Collection[ServerId] = ()
) -> tuple[StoredMember, ...]:
    """Return the servers that the store lists, and those that count and answer."""
    present = {s: describe_member(server) for s, server in group.servers.items()}
    counted = group.members.counted
    present |= {s: counted[s] for s in answered if s in counted}
    return tuple(present[server] for server in sorted(present))


def observe_primary_end(group: Group, attempt: Attempt, leased_at: int) -> None:
    """Take a position that the primary proved in this change, if it is too busy.

    A status takes one of its slots, and is refused while there is none.

    Parameters
    ----------
    group, attempt
        The group and the change.
    leased_at
        When the lease was taken, in milliseconds since boot.
    """
    if group.primary_state.primary != attempt.replaced:
        return
    sample = position_history.find_since(group.position_history, leased_at)
    if sample is not None:
        change_attempt.observe_primary_end(
            attempt,
            LogPosition(term=Term(sample.term), position=Position(sample.position)),
        )
