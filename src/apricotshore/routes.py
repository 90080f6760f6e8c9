"""Configuration in force: routes from databases to groups of backend servers."""

from dataclasses import dataclass, field
from enum import Enum

from .identifiers import (
    DatabaseId,
    DataCentreId,
    GroupId,
    ServerId,
    StoreRevision,
)

DEFAULT_TIMEOUT_MS = 1_000
DEFAULT_TARGET_MS = 500
DEFAULT_IDLE_TRANSACTION_MS = 3_000
DEFAULT_CONNECTIONS = 10


class Consistency(Enum):
    """What a read through a route must see."""

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How callers of one database are served.

    Parameters
    ----------
    database, group
        The database's name and the group that holds it.
    consistency
        What reads must see.
    staleness_ms
        Accepted staleness in milliseconds; 0 for `Consistency.LATEST`.
    timeout_ms
        Longest time for one statement.
    target_ms
        Latency objective of a whole operation.
    priority
        0 is the highest.
    """

    database: DatabaseId
    group: GroupId
    consistency: Consistency
    staleness_ms: int = 0
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    target_ms: int = DEFAULT_TARGET_MS
    priority: int = 1

    @property
    def reads_replicas(self) -> bool:
        """Whether replicas that are fresh enough may serve reads."""
        return self.consistency is not Consistency.LATEST


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupSettings:
    """Limits of a group.

    Parameters
    ----------
    connections
        Connections that one backend server takes from all hosts together.
    """

    connections: int = DEFAULT_CONNECTIONS


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    revision
        Revision of the store at which it was written; the higher one wins.
    version
        The operator's number.
    routes, groups
        By name.
    idle_transaction_ms
        Time after which a transaction without statements is rolled back.
    """

    revision: StoreRevision
    version: int = 0
    routes: dict[DatabaseId, Route] = field(default_factory=dict)
    groups: dict[GroupId, GroupSettings] = field(default_factory=dict)
    idle_transaction_ms: int = DEFAULT_IDLE_TRANSACTION_MS


EMPTY_CONFIGURATION = Configuration(revision=StoreRevision(0))


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedServer:
    """A backend server as the store lists it.

    Parameters
    ----------
    server, group
        Its id and its group.
    address
        ``ip:port``.
    data_centre
        Where it is.
    slots
        Statements that it runs at a time.
    leaving
        Whether it is about to leave the group.
    says_primary
        Whether it believes that it leads the group.
    born_ms
        Unix milliseconds of its start; another value under the same id is a
        server that may have lost its log.
    """

    server: ServerId
    group: GroupId
    address: str
    data_centre: DataCentreId
    slots: int
    leaving: bool
    reports_primary: bool
    started_ms: int
