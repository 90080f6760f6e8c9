"""Database groups: log positions, term histories and server status."""

from dataclasses import dataclass
from enum import Enum

from .identifiers import BundleVersion, HostId, OwnerEpoch, Position, ServerId, Term


@dataclass(frozen=True, kw_only=True, slots=True)
class LogPosition:
    """A position in a group's replicated log.

    Parameters
    ----------
    term
        Term under which the log entry at ``position`` was written.
    position
        Index of the log entry, starting at 1; 0 for an empty log.
    """

    term: Term
    position: Position


LOG_START = LogPosition(term=Term(0), position=Position(0))


@dataclass(frozen=True, kw_only=True, slots=True)
class TermHistory:
    """The terms of one log and where each of them starts.

    Parameters
    ----------
    starts
        First position of each term that has entries in the log, in log order.
    """

    starts: tuple[LogPosition, ...] = ()

    def find_term(self, position: Position) -> Term:
        """Return the term of the entry at ``position``, or 0 before the first entry."""
        term = Term(0)
        for start in self.starts:
            if start.position > position:
                break
            term = start.term
        return term

    def contains(self, log_position: LogPosition) -> bool:
        """Return whether ``log_position`` belongs to this history.

        The length of the log is not checked; compare positions as well.
        """
        return (
            log_position.position == 0
            or self.find_term(log_position.position) == log_position.term
        )


class Role(Enum):
    """Role of a backend server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """Status that a backend server reports.

    Parameters
    ----------
    server
        The backend server.
    role
        Its role.
    term
        Highest term that it has adopted.
    end
        Position of its last log entry.
    applied
        Highest log index that is visible to reads.
    term_history
        Term history of its log.
    behind_ms
        Time since it had last applied every entry that its primary had committed.
    contact_ms
        Time since the last message from its primary; 0 on a primary.
    leaving
        Whether it is being removed from the group.
    incarnation
        Number that changes whenever the server loses its data or connections.
    """

    server: ServerId
    role: Role
    term: Term
    end: LogPosition
    applied: Position
    term_history: TermHistory
    behind_ms: int = 0
    contact_ms: int = 0
    leaving: bool = False
    incarnation: int = 0

    def covers(self, log_position: LogPosition) -> bool:
        """Return whether reads on this server see all entries up to a position."""
        return self.applied >= log_position.position and self.term_history.contains(
            log_position
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Ownership record of a database, stored in the database itself.

    Parameters
    ----------
    epoch
        Number of the claim; increases each time another host takes ownership.
    host
        The owner.
    address
        Its peer address, ``ip:port``.
    bundle
        Lowest bundle version with which the database may be served.
    """

    epoch: OwnerEpoch
    host: HostId
    address: str
    bundle: BundleVersion
