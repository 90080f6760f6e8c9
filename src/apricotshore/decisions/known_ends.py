"""Ends of logs that a host was told of, for the check of its own orders.

No plan writes or reads them. So the check holds whatever a change has forgotten: an end
counts from the answer that stated it until a later term has a leader.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..groups import LogPosition
from ..identifiers import ServerId, Term
from .change_attempt import Attempt
from .change_members import Member, log_order
from .log_floor import COPIES_PER_COMMIT, EMPTY_END, UNKNOWN_END, End


@dataclass(kw_only=True, slots=True)
class KnownEnds:
    """Ends of the logs of one group.

    Parameters
    ----------
    term
        Term of the last leader.
    ends
        Furthest end that each server stated since then, 0 of one that started anew.
    """

    term: Term = Term(0)
    ends: dict[ServerId, End] = field(default_factory=dict)


def observe_leader(known: KnownEnds, term: Term) -> None:
    """Forget all ends once a later term has a leader: it may roll servers back."""
    if term > known.term:
        known.term = term
        known.ends.clear()


def observe_end(known: KnownEnds, server: ServerId, log_position: LogPosition) -> None:
    """Record the end that a server stated, unless it has stated a further one."""
    end = log_order(log_position)
    if log_position.position and end > known.ends.get(server, EMPTY_END):
        known.ends[server] = end


def observe_new_log(known: KnownEnds, server: ServerId) -> None:
    """Record that a server started anew, with an empty log."""
    known.ends[server] = EMPTY_END


def find_shortfall(
    known: KnownEnds, attempt: Attempt, members: Iterable[Member], target: ServerId
) -> int:
    """Return how many entries the log of an ordered server lacks of a known end.

    Parameters
    ----------
    known
        Ends that the host was told of.
    attempt
        The change that orders it.
    members
        Servers that may hold acknowledged commits.
    target
        The server.

    Returns
    -------
    int
        The entries that it lacks of the second-longest log, where one that isn't known
        counts as the longest; 0 if it lacks none or has given no answer.
    """
    status = attempt.statuses.get(target)
    if status is None:
        return 0
    counted = {m.server for m in members if m.is_counted} | attempt.statuses.keys()
    logs = sorted((_find_end(known, attempt, s) for s in counted), reverse=True)
    longest = logs[:COPIES_PER_COMMIT]
    needed = longest[-1] if len(longest) == COPIES_PER_COMMIT else EMPTY_END
    if needed == UNKNOWN_END:
        needed = max(known.ends.values(), default=EMPTY_END)
    end = log_order(status.log_position)
    return 0 if end >= needed else max(1, int(needed[1] - end[1]))


def _find_end(known: KnownEnds, attempt: Attempt, server: ServerId) -> End:
    """Return the furthest end that is known, `UNKNOWN_END` without an answer now."""
    status = attempt.statuses.get(server)
    if status is None:
        return UNKNOWN_END
    may_have_led = server == attempt.replaced or server in attempt.led
    if may_have_led and not status.log_position.position and server not in known.ends:
        # It has lost its log, and no entry shows that yet.
        return UNKNOWN_END
    return max(log_order(status.log_position), known.ends.get(server, EMPTY_END))
