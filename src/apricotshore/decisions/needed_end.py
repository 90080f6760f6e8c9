"""End of the log that a change of primary demands of the server that it promotes."""

from collections.abc import Iterable
from dataclasses import replace

from ..groups import LogPosition
from ..identifiers import Position, ServerId, Term
from . import log_floor
from .change_attempt import Attempt
from .change_members import Member, log_order
from .log_floor import ANY_SERVER, COPIES_PER_COMMIT, UNKNOWN_END, End
from .position_history import PositionSample


def observe_needed_end(
    attempt: Attempt,
    members: Iterable[Member],
    since_loss: PositionSample | None,
    lossless: bool,
) -> None:
    """Find the end that a server's log has to reach from what is known now.

    Parameters
    ----------
    attempt
        The change; its `lost_end` and `needed_end` are set in place.
    members
        Servers that may receive commits.
    since_loss
        Sample of the primary's log position since a member last lost its log, None
        without one. What that member held lies at or below it.
    lossless
        Whether this host knows of no member that lost its log.
    """
    attempt.lost_end = None
    members = tuple(members)
    if not lossless:
        attempt.lost_end = UNKNOWN_END
        if since_loss is not None:
            attempt.lost_end = (since_loss.term, since_loss.position)
    ends = {m.server: find_end(attempt, m.server) for m in members if m.is_counted}
    attempt.needed_end = log_floor.find_needed_end(
        attempt.floor, ends, attempt.lost_end
    )
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


def may_lead(attempt: Attempt, server: ServerId) -> bool:
    """Return whether a server holds all that may have been acknowledged."""
    needed = attempt.needed_end
    return needed is not None and needed <= find_end(attempt, server) < UNKNOWN_END


def list_unknown(attempt: Attempt, members: Iterable[Member]) -> tuple[ServerId, ...]:
    """List the servers whose logs count and aren't known."""
    return tuple(
        m.server
        for m in members
        if m.is_counted and find_end(attempt, m.server) == UNKNOWN_END
    )


def raise_floor(
    attempt: Attempt, members: tuple[Member, ...], target: ServerId
) -> bool:
    """Have the floor be what the order of a server demands.

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
        Whether the lease names another floor with this target so far.
    """
    needed = attempt.needed_end
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
    ends = {m.server: find_end(attempt, m.server) for m in members if m.is_counted}
    status = attempt.statuses.get(target)
    if status is None:
        return 0
    target_end = log_order(status.log_position)
    return log_floor.find_shortfall(attempt.floor, ends, attempt.lost_end, target_end)
