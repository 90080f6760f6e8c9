"""Requests and replies as they travel through the proxies."""

from dataclasses import dataclass
from enum import Enum

from .groups import ORIGIN, LogPosition
from .identifiers import (
    CallerId,
    DatabaseId,
    Fingerprint,
    HostId,
    KindId,
    RequestId,
    ServerId,
    SessionId,
    TransactionId,
)
from .verdicts import Failure

Cell = None | int | float | str | bytes
Row = tuple[Cell, ...]


class Action(Enum):
    """What a statement does, as far as routing needs to know."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    RESOLVE = "resolve"


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One statement of a caller.

    Parameters
    ----------
    caller, database, session
        Who asks, of which database, in which session.
    sql
        Statement text.
    action
        What the statement does.
    fingerprint
        Statement text without literals.
    kind
        Kind named by the caller; the bundle gives it deadline and weight.
    request_id
        Empty, or the idempotency key of the request.
    token
        Mark that the session must see.
    has_token
        Whether the token covers all that the session has seen.
    named
        Whether the caller named the session.
    staleness_ms
        Accepted staleness; 0 means none.
    deadline_ms
        Time left to answer, in milliseconds.
    transaction
        Empty outside a transaction.
    idempotent
        False when the caller marked the request as non-idempotent.
    """

    caller: CallerId
    database: DatabaseId
    session: SessionId
    sql: str
    action: Action
    fingerprint: Fingerprint
    kind: KindId
    request_id: RequestId = RequestId("")
    token: LogPosition = ORIGIN
    has_token: bool = False
    session_named: bool = False
    staleness_ms: int = 0
    deadline_ms: int = 5_000
    transaction: TransactionId = TransactionId("")
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """The whole answer to one request.

    Parameters
    ----------
    columns, rows
        Result set; both empty for statements without one.
    affected_rows, last_insert_id
        As the backend server reported them.
    mark
        Log mark that the session has now seen.
    server
        Backend server that ran the request.
    duplicate
        Whether this is the recorded outcome of an earlier request.
    transaction
        Transaction that is open after the request.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    log_position: LogPosition = ORIGIN
    server: ServerId = ServerId("")
    duplicate: bool = False
    transaction: TransactionId = TransactionId("")


@dataclass(frozen=True, kw_only=True, slots=True)
class Redirect:
    """Names the owner of a database to a host that asked the wrong one."""

    host: HostId
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Reply, failure or redirect: exactly one is set."""

    reply: Reply | None = None
    failure: Failure | None = None
    redirect: Redirect | None = None
