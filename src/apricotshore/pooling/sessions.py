"""State of a caller's session, and one statement on its way to a server."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from ..decisions import waiting
from ..groups import LogPosition
from ..identifiers import DatabaseId, GroupId, HostId
from ..queries import FailureCode, PreparedShape, Query
from ..routes import Configuration, Route
from .group import Group
from .journal import Journal
from .pool import PooledConnection, ServerPool


@dataclass(kw_only=True)
class Context:
    """What serving a statement needs of the host.

    Parameters
    ----------
    host
        This host.
    find_group
        Returns a group by name, None when none is known.
    configuration
        Returns the configuration in force.
    journal
        Where decisions are written down.
    spawn
        Runs work that nobody waits for.
    """

    host: HostId
    find_group: Callable[[GroupId], Group | None]
    configuration: Callable[[], Configuration]
    journal: Journal
    spawn: Callable[[Coroutine[None, None, None]], None]


@dataclass(kw_only=True)
class Transaction:
    """A caller's open transaction.

    Parameters
    ----------
    route
        Route at its beginning.
    read_only
        Whether the caller said that it only reads.
    began_at
        When the caller began it, in milliseconds since boot.
    pool, link
        Where it runs; None until its first statement.
    failed
        Whether it failed and waits for its end.
    wrote
        Whether it wrote.
    aborted
        Why the proxy rolled it back, until its caller has been told.
    """

    route: Route
    read_only: bool
    began_at: int
    pool: ServerPool | None = None
    link: PooledConnection | None = None
    failed: bool = False
    wrote: bool = False
    aborted: str = ""


@dataclass(kw_only=True)
class Session:
    """State of one caller's session.

    Parameters
    ----------
    database
        Database that the caller named.
    values
        Session values in force.
    prepared
        Prepared statements by the caller's names.
    mark
        Last log position that a commit of the session reached.
    transaction
        Open transaction.
    """

    database: DatabaseId
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    log_position: LogPosition | None = None
    transaction: Transaction | None = None


class RefusedError(Exception):
    """A statement that is answered with an error of the proxy's own.

    Parameters
    ----------
    code, detail
        What the caller is told.
    """

    def __init__(self, code: FailureCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """One statement on its way to a server.

    Parameters
    ----------
    query
        The statement, prepared names already replaced.
    shape
        Prepared statement that it executes, None for plain text.
    route
        How it is served.
    arrived_at
        When it was read from the caller, in milliseconds since boot.
    writes
        Whether it may change data.
    """

    query: Query
    shape: PreparedShape | None
    route: Route
    arrived_at: int
    writes: bool = False

    @property
    def deadline_at(self) -> int:
        """When the route's timeout is reached."""
        return self.arrived_at + self.route.timeout_ms

    @property
    def give_up_at(self) -> int:
        """Until when it may wait without being sent."""
        return self.arrived_at + waiting.limit_wait(
            self.route.target_ms, self.route.timeout_ms
        )

    @property
    def offer_until(self) -> int:
        """Until when it may be offered to servers that are full."""
        return self.arrived_at + waiting.limit_offers(
            self.route.target_ms, self.route.timeout_ms
        )


def later_position(
    one: LogPosition | None, other: LogPosition | None
) -> LogPosition | None:
    """Return the later of two positions."""
    known = [m for m in (one, other) if m is not None]
    return max(known, key=lambda m: (m.term, m.position), default=None)


def refuse_overloaded(detail: str, retry_ms: int) -> RefusedError:
    """Return the refusal of a statement that did not run."""
    text = f"{detail}, retry-after-ms={retry_ms}"
    return RefusedError(FailureCode.OVERLOADED, text)
