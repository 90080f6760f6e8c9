"""End of the log that a change of primary demands of the server that it promotes."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from ..groups import LogPosition
from ..identifiers import Position, ServerId, Term
from . import log_floor
from .change_attempt import Attempt
from .change_members import Member, log_order
from .log_floor import (
    ANY_SERVER,
    COPIES_PER_COMMIT,
    EMPTY_END,
    UNKNOWN_END,
    End,
)
from .log_members import LogMembers


def observe_needed_end(
    attempt: Attempt, members: Iterable[Member], lost_end: End | None
) -> None:
    """Find the end that a server's log has to reach from what is known now.

    Parameters
    ----------
    attempt
        The change; its `lost_end` and `needed_end` are set in place.
    members
        Servers that may receive commits.
    lost_end
        End up to which logs that were lost count, `UNKNOWN_END` if it isn't known, None
        if this host knows of no lost log.
    """
    attempt.lost_end = lost_end
    members = tuple(members)
    ends = _read_ends(attempt, members)
    attempt.needed_end = _find_needed_end(attempt, ends)
    if attempt.sealed_end is not None and _is_sealed(attempt):
        attempt.needed_end = min(attempt.needed_end or UNKNOWN_END, attempt.sealed_end)
        return
    known = [end for end in ends.values() if end != UNKNOWN_END]
    if not attempt.knows_members and len(known) < COPIES_PER_COMMIT:
        # Any number of others may exist.
        attempt.needed_end = None


def find_end(attempt: Attempt, server: ServerId) -> End:
    """Return the end of a member's log, `UNKNOWN_END` if it may have been longer."""
    status = attempt.statuses.get(server)
    if status is None or server in attempt.shrunk:
        return UNKNOWN_END
    return log_order(status.log_position)


def _read_ends(attempt: Attempt, members: Iterable[Member]) -> dict[ServerId, End]:
    """Return the ends of all logs that count, as those of all that answer do."""
    return {
        m.server: _find_whole_end(attempt, m)
        for m in members
        if m.is_counted or m.server in attempt.statuses
    }


def _find_whole_end(attempt: Attempt, member: Member) -> End:
    """Return the end of a member's log, `UNKNOWN_END` where it may have been lost.

    An empty log counts as lost already where the entry shows that its server is new.
    """
    end = find_end(attempt, member.server)
    is_new = member.listed and member.server in attempt.new_servers
    is_lost = end == EMPTY_END and not is_new and _holds_commits(attempt)
    return UNKNOWN_END if is_lost else end


def _holds_commits(attempt: Attempt) -> bool:
    """Return whether any log of the group is known to hold an entry."""
    named = (attempt.primary_end, attempt.final_end, attempt.floor.end)
    ends = (*attempt.ends.values(), *(log_order(end) for end in named if end))
    return attempt.holds_commits or max(ends, default=EMPTY_END) > EMPTY_END


def list_new(state: LogMembers, led_at: int) -> frozenset[ServerId]:
    """List the servers whose logs may be empty without a loss.

    Parameters
    ----------
    state
        The servers that count.
    led_at
        When a server last proved to lead, in milliseconds since boot. One that was
        first listed after that has received nothing yet, and lost nothing.
    """
    struck = frozenset(member.server for member in state.struck)
    added = frozenset(s for s, since in state.listed_since.items() if since > led_at)
    return (struck & state.counted.keys()) | added


def may_lead(attempt: Attempt, server: ServerId) -> bool:
    """Return whether a server holds all that may have been acknowledged."""
    needed = attempt.needed_end
    return needed is not None and needed <= find_end(attempt, server) < UNKNOWN_END


def list_unknown(attempt: Attempt, members: Iterable[Member]) -> tuple[ServerId, ...]:
    """List the servers whose logs count and aren't known."""
    return tuple(
        m.server
        for m in members
        if m.is_counted and _find_whole_end(attempt, m) == UNKNOWN_END
    )


def set_floor(attempt: Attempt, members: tuple[Member, ...], target: ServerId) -> bool:
    """Set the floor to the end that the order of a server demands.

    Parameters
    ----------
    attempt
        The change; its floor is set in place.
    members
        Servers that may receive commits.
    target
        The server, whose log reaches that end.

    Returns
    -------
    bool
        Whether the lease has to be written again for it.
    """
    needed = attempt.sealed_end = attempt.needed_end
    known = attempt.floor.end
    if needed is None or (known is not None and log_order(known) == needed):
        return False
    end = LogPosition(term=Term(int(needed[0])), position=Position(int(needed[1])))
    unknown = list_unknown(attempt, members)
    if attempt.lost_end is not None:
        unknown = (*unknown, ANY_SERVER)
    started_ms = next((m.started_ms for m in members if m.server == target), 0)
    attempt.floor = replace(
        attempt.floor,
        end=end,
        holder=target,
        holder_started_ms=started_ms,
        unknown=unknown,
    )
    return known is not None


def find_shortfall(
    attempt: Attempt, members: Iterable[Member], target: ServerId
) -> int:
    """Return how many entries a server's log lacks of an end that is known."""
    status = attempt.statuses.get(target)
    if status is None:
        return 0
    ends = _read_ends(attempt, members)
    needed = _find_needed_end(attempt, ends)
    if needed is None:
        known = [end for end in ends.values() if end != UNKNOWN_END]
        needed = max([*known, log_floor.find_floor_end(attempt.floor)])
    return log_floor.count_missing(log_order(status.log_position), needed)


def _find_needed_end(attempt: Attempt, ends: Mapping[ServerId, End]) -> End | None:
    lost_end = attempt.lost_end
    lost_ends = () if lost_end is None else (lost_end,) * max(1, attempt.lost_count)
    return log_floor.find_needed_end(
        attempt.floor, ends, lost_ends, _find_led_end(attempt)
    )


def _is_sealed(attempt: Attempt) -> bool:
    """Return whether nothing was acknowledged since this change set the floor."""
    has_order = attempt.requested is not None or attempt.ineffective is not None
    return attempt.barrier is not None and not attempt.leaders and not has_order


def _find_led_end(attempt: Attempt) -> End:
    """Return the end of the logs of all that have led, `UNKNOWN_END` if it isn't known.

    Nothing beyond it was acknowledged, whatever other servers hold.
    """
    ordered = attempt.rejected | {attempt.inherited, attempt.ineffective}
    others = (attempt.led | ordered) - {None, attempt.replaced}
    if attempt.final_end is None:
        return UNKNOWN_END
    ends = (find_end(attempt, s) for s in others if s is not None)
    return max([log_order(attempt.final_end), *ends])
