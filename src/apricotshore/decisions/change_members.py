"""Members of a group as a change of primary sees them, and what they answered."""

from dataclasses import dataclass

from ..groups import LogPosition, Role
from ..identifiers import ServerId, Term
from ..queries import QueryKind, ServerReport


def log_order(log_position: LogPosition) -> tuple[int, int]:
    """Return the sort key of a log position."""
    return (log_position.term, log_position.position)


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A backend server that may receive commits.

    Parameters
    ----------
    server
        The server.
    leaving
        Whether it is being removed from the group.
    listed
        Whether the store lists it. One that lost its entry may still receive.
    started_ms
        When it started, in Unix milliseconds.
    is_counted
        Whether it may hold acknowledged commits that others lack. One that was gone as
        the last change settled holds none that the floor of logs doesn't cover.
    """

    server: ServerId
    leaving: bool = False
    listed: bool = True
    started_ms: int = 0
    is_counted: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """Status of a member during a change of primary.

    Parameters
    ----------
    log_position
        Position of its last log entry.
    term, paused_term
        Its term and the term of its pause.
    is_primary
        Whether it is the primary.
    running
        Statements that it runs besides the command that is answered, None where
        that can't be told.
    """

    log_position: LogPosition
    term: Term
    paused_term: Term
    is_primary: bool
    running: int | None = 0


def read_status(
    report: ServerReport, kind: QueryKind = QueryKind.STATUS
) -> MemberStatus:
    """Return a member's status from its answer to a command.

    A STATUS takes a slot of its own, and a server may count it with the statements
    that run.
    """
    is_counted = kind is QueryKind.STATUS and report.busy > 0
    return MemberStatus(
        log_position=report.received,
        term=report.term,
        paused_term=report.paused_term,
        is_primary=report.role is Role.PRIMARY,
        running=None if is_counted else report.busy,
    )
