"""Database groups: log marks, lineage and the status of backend servers."""

from dataclasses import dataclass
from enum import Enum

from .identifiers import BundleVersion, HostId, OwnerEpoch, Position, ServerId, Term


@dataclass(frozen=True, kw_only=True, slots=True)
class LogPosition:
    """A place in a group's log.

    Parameters
    ----------
    term
        Term under which the log entry at ``position`` was written.
    position
        Index of the log entry, counted from 1; 0 is the empty log.
    """

    term: Term
    position: Position


ORIGIN = LogPosition(term=Term(0), position=Position(0))


@dataclass(frozen=True, kw_only=True, slots=True)
class Lineage:
    """The history of terms of one log.

    Parameters
    ----------
    starts
        First mark of each term that has entries in the log, in log order.
    """

    starts: tuple[LogPosition, ...] = ()

    def find_term(self, position: Position) -> Term:
        """Return the term of the entry at ``position`` (0 before the first)."""
        term = Term(0)
        for start in self.starts:
            if start.position > position:
                break
            term = start.term
        return term

    def contains(self, log_position: LogPosition) -> bool:
        """Return whether ``mark`` lies on this lineage.

        Says nothing about the length of the log: compare positions as well.
        """
        return (
            log_position.position == 0
            or self.find_term(log_position.position) == log_position.term
        )


class Role(Enum):
    """What a backend server is in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """What a backend server says of itself.

    Parameters
    ----------
    server
        The backend server.
    role
        Its role.
    term
        Highest term that it has adopted.
    end
        Mark of its last log entry.
    applied
        Highest position visible to reads.
    lineage
        Terms of its log.
    behind_ms
        Time since it last had applied all that its primary had committed.
    contact_ms
        Time since its primary was last heard from; 0 on a primary.
    leaving
        Whether it is about to leave the group.
    incarnation
        Number that changes whenever the server drops its data or connections.
    """

    server: ServerId
    role: Role
    term: Term
    end: LogPosition
    applied: Position
    lineage: Lineage
    behind_ms: int = 0
    contact_ms: int = 0
    leaving: bool = False
    incarnation: int = 0

    def covers(self, log_position: LogPosition) -> bool:
        """Return whether reads here see everything up to ``mark``."""
        return self.applied >= log_position.position and self.lineage.contains(
            log_position
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Which host owns a database, as recorded in the database itself.

    Parameters
    ----------
    epoch
        Number of the claim; each take-over raises it.
    host
        The owner.
    address
        Its peer address, ``ip:port``.
    bundle
        Lowest bundle version under which the database may be served.
    """

    epoch: OwnerEpoch
    host: HostId
    address: str
    bundle: BundleVersion
