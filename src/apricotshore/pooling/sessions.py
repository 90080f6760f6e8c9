"""State of callers' sessions, transactions and statements."""

import sys
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from functools import cached_property

from ..decisions import wait_queue
from ..groups import LogPosition
from ..identifiers import DatabaseId, GroupId, HostId, KeyDigest, OrganisationId
from ..organisations import Admission
from ..queries import FailureCode, PreparedShape, Query, QueryKind
from ..rate_decisions import ADMITTED, RateDecision
from ..routes import Configuration, Route
from .group import Group
from .journal import Journal
from .pool import ServerPool
from .pooled_connection import PooledConnection

AdmitRate = Callable[[OrganisationId | None], Awaitable[RateDecision]]
# An entry of a table, and the object of a prepared statement.
ENTRY_BYTES = 160


async def admit_at_once(organisation: OrganisationId | None) -> RateDecision:
    """Admit an operation where no rate is limited."""
    return ADMITTED


class RefusedError(Exception):
    """Refusal of a statement by the proxy itself.

    Parameters
    ----------
    code, detail
        Error code and text of the answer to the caller.
    """

    def __init__(self, code: FailureCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclass(kw_only=True)
class Context:
    """Services of the host that serving a statement needs.

    Parameters
    ----------
    host
        This host.
    find_group
        Returns a group by name, None when it is unknown.
    configuration
        Returns the configuration in force.
    journal
        Journal of the host.
    spawn
        Runs a coroutine in the background.
    refuse_keyed
        Returns why no statement of a caller with a key may be served now, None if it
        may.
    admit_rate
        Returns whether an operation of an organisation is within its rate limit;
        asked before the operation's first statement waits for a connection.
    admit_rate_now
        The same by what this host knows already, for an operation that has waited.
    """

    host: HostId
    find_group: Callable[[GroupId], Group | None]
    configuration: Callable[[], Configuration]
    journal: Journal
    spawn: Callable[[Coroutine[None, None, None]], None]
    refuse_keyed: Callable[[], RefusedError | None] = lambda: None
    admit_rate: AdmitRate = admit_at_once
    admit_rate_now: Callable[[OrganisationId], RateDecision] = lambda _: ADMITTED


@dataclass(kw_only=True)
class Transaction:
    """A caller's open transaction.

    Parameters
    ----------
    route
        Route when it began.
    read_only
        Whether the caller declared it read-only.
    began_at
        When the caller began it, in milliseconds since boot.
    pool, link
        Pool and connection that it runs on; None until its first statement.
    failed
        Whether it failed and the caller has not ended it yet.
    wrote
        Whether it ran a write.
    abort_reason
        Why the proxy rolled it back; empty once reported to the caller.
    admitted
        Whether it was admitted as an operation of its organisation.
    """

    route: Route
    read_only: bool
    began_at: int
    pool: ServerPool | None = None
    link: PooledConnection | None = None
    failed: bool = False
    wrote: bool = False
    abort_reason: str = ""
    admitted: bool = False


@dataclass(kw_only=True)
class Session:
    """State of one caller's session.

    Parameters
    ----------
    database
        Database that the caller named.
    organisation, key
        The caller's organisation and the digest of its key; None where it needs no key.
    revoked
        Whether the caller was found to be identified no more; that is not undone.
    values
        Session values that the caller set.
    prepared
        Prepared statements by the names that the caller gave them.
    log_position
        Highest log position of the session's commits.
    transaction
        Open transaction, None outside one.
    state_bytes
        Size of the values and prepared statements.
    admitted_at
        When an operation was admitted whose first statement is still to be forwarded,
        in milliseconds since boot; None without one.
    """

    database: DatabaseId
    organisation: OrganisationId | None = None
    key: KeyDigest | None = None
    revoked: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    log_position: LogPosition | None = None
    transaction: Transaction | None = None
    state_bytes: int = 0
    admitted_at: int | None = None

    def measure(self, query: Query) -> int:
        """Return the size of values and names after a statement, in bytes."""
        size, name = self.state_bytes, query.name
        if query.kind is QueryKind.RESET:
            return 0
        if query.kind is QueryKind.SET:
            if name in self.values:
                size -= _measure_entry(name, self.values[name])
            return size + _measure_entry(name, query.value)
        if name in self.prepared:
            size -= _measure_entry(name, self.prepared[name].shape)
        if query.kind is QueryKind.PREPARE and query.shape is not None:
            size += _measure_entry(name, query.shape.shape)
        return size

    @cached_property
    def admission(self) -> Admission:
        """The admission that opened it."""
        return Admission(
            database=self.database, organisation=self.organisation, key=self.key
        )

    def change(self, query: Query) -> None:
        """Carry out a statement that changes values or prepared statements."""
        self.state_bytes = self.measure(query)
        if query.kind is QueryKind.SET:
            self.values[query.name] = query.value
        elif query.kind is QueryKind.PREPARE and query.shape is not None:
            self.prepared[query.name] = query.shape
        elif query.kind is QueryKind.DEALLOCATE:
            self.prepared.pop(query.name, None)
        elif query.kind is QueryKind.RESET:
            self.values.clear()
            self.prepared.clear()


def _measure_entry(name: str, content: str) -> int:
    return ENTRY_BYTES + sys.getsizeof(name) + sys.getsizeof(content)


@dataclass(kw_only=True, slots=True)
class HeldTime:
    """Time for which a statement waited for the end of an outage, in milliseconds."""

    ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A statement to run at a backend server.

    Parameters
    ----------
    query
        The statement; a prepared name is already replaced by the server's.
    shape
        Prepared statement that it executes, None for plain text.
    route
        Route that it is served by.
    arrived_at
        When it was read from the caller, in milliseconds since boot.
    writes
        Whether it may change data.
    check
        Called right before it is forwarded; raises `RefusedError` if its caller may not
        be served any more.
    decline
        Called when the server is known not to have run it.
    held
        How long it waited for the end of an outage; no other wait is shortened by it.
    """

    query: Query
    shape: PreparedShape | None
    route: Route
    arrived_at: int
    writes: bool = False
    check: Callable[[], None] = lambda: None
    decline: Callable[[], None] = lambda: None
    held: HeldTime = field(default_factory=HeldTime, compare=False)

    @property
    def deadline_at(self) -> int:
        """When the route's timeout expires."""
        return self.arrived_at + self.route.timeout_ms

    @property
    def expires_at(self) -> int:
        """Until when it may wait for a connection."""
        limit = wait_queue.limit_wait(self.route.target_ms, self.route.timeout_ms)
        return min(self.deadline_at, self.arrived_at + limit + self.held.ms)

    @property
    def offer_until(self) -> int:
        """Until when it may be retried at servers that are full."""
        limit = wait_queue.limit_retries(self.route.target_ms, self.route.timeout_ms)
        return min(self.deadline_at, self.arrived_at + limit + self.held.ms)


def later_position(
    one: LogPosition | None, other: LogPosition | None
) -> LogPosition | None:
    """Return the later of two log positions, None when both are."""
    known = [m for m in (one, other) if m is not None]
    return max(known, key=lambda m: (m.term, m.position), default=None)


def refuse_overloaded(detail: str, retry_ms: int) -> RefusedError:
    """Return the error for a statement that was not run, with a retry hint."""
    text = f"{detail}, retry-after-ms={retry_ms}"
    return RefusedError(FailureCode.OVERLOADED, text)
