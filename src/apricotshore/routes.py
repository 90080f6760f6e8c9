"""Configuration: routes from databases to groups of backend servers."""

from dataclasses import dataclass, field, replace
from enum import Enum

from .identifiers import (
    DatabaseId,
    DataCentreId,
    GroupId,
    KeyDigest,
    OrganisationId,
    ServerId,
    StoreRevision,
)

DEFAULT_TIMEOUT_MS = 1_000
DEFAULT_TARGET_MS = 500
DEFAULT_IDLE_TRANSACTION_MS = 3_000
DEFAULT_CONNECTIONS = 10


class Consistency(Enum):
    """Consistency level of reads through a route."""

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How statements for one database are routed.

    Parameters
    ----------
    database, group
        Name of the database and the group that stores it.
    consistency
        Consistency level of reads.
    staleness_ms
        Accepted staleness in milliseconds; 0 for `Consistency.LATEST`.
    timeout_ms
        Timeout of one statement.
    target_ms
        Latency objective of an operation.
    priority
        Priority in wait queues; 0 is the highest.
    public
        Whether callers need no key.
    """

    database: DatabaseId
    group: GroupId
    consistency: Consistency
    staleness_ms: int = 0
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    target_ms: int = DEFAULT_TARGET_MS
    priority: int = 1
    public: bool = False

    @property
    def reads_replicas(self) -> bool:
        """Whether replicas that are recent enough may serve reads."""
        return self.consistency is not Consistency.LATEST


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupSettings:
    """Limits of a group.

    Parameters
    ----------
    connections
        Connections that one backend server accepts from all hosts together.
    """

    connections: int = DEFAULT_CONNECTIONS


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """An organisation whose callers share the fleet with others.

    Parameters
    ----------
    organisation
        Its name, which backend servers are told.
    keys
        Digests of the keys that its callers may present.
    rate_per_s, burst
        Sustained rate of its operations over all hosts, per second, and how many may
        come at once beyond it; a rate of None is no limit.
    priority
        Priority of its callers; 0 is the highest.
    """

    organisation: OrganisationId
    keys: frozenset[KeyDigest] = frozenset()
    rate_per_s: int | None = None
    burst: int = 0
    priority: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    revision
        Store revision at which it was written. A restored store gives revisions out
        again, so they do not order configurations.
    version
        Version number assigned by the operator; the highest one is used.
    routes, groups
        Routes by database and settings by group.
    idle_transaction_ms
        Time after which a transaction without statements is rolled back.
    organisations
        Organisations by name; None where callers need no key at all.
    """

    revision: StoreRevision
    version: int = 0
    routes: dict[DatabaseId, Route] = field(default_factory=dict)
    groups: dict[GroupId, GroupSettings] = field(default_factory=dict)
    idle_transaction_ms: int = DEFAULT_IDLE_TRANSACTION_MS
    organisations: dict[OrganisationId, Organisation] | None = None

    def replaces(self, other: "Configuration") -> bool:
        """Return whether this one, read later than the other, is to replace it."""
        if self.version != other.version:
            return self.version > other.version
        return replace(self, revision=other.revision) != other


EMPTY_CONFIGURATION = Configuration(revision=StoreRevision(0))


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedServer:
    """A backend server as listed in the store.

    Parameters
    ----------
    server, group
        Its id and its group.
    address
        ``ip:port``.
    data_centre
        Its data centre.
    slots
        Statements that it runs concurrently.
    leaving
        Whether it is being removed from the group.
    reports_primary
        Whether it reports itself as the primary of the group.
    started_ms
        Start time in Unix milliseconds. Another value for the same id means that
        the server was restarted and may have lost its log.
    """

    server: ServerId
    group: GroupId
    address: str
    data_centre: DataCentreId
    slots: int
    leaving: bool
    reports_primary: bool
    started_ms: int
