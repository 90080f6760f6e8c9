"""Members of a group for a change of its primary, from what its host knows."""

from ..decisions import change_attempt, log_members, position_history
from ..decisions.change_attempt import Attempt
from ..decisions.change_members import Member
from ..groups import LogPosition
from ..identifiers import Position, Term
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
    listed = [describe_member(server) for server in group.servers.values()]
    log_members.observe_stored(
        group.members, record.floor, listed, read_boot_ms(), era=record.era
    )
    for member in group.members.counted.values():
        group.keep_stored(member)


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
