"""Requests, replies and outcomes exchanged between hosts."""

from dataclasses import dataclass
from enum import Enum

from .groups import LOG_START, LogPosition
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

RESOLVE_MS = 4_000

Cell = None | int | float | str | bytes
Row = tuple[Cell, ...]


class Action(Enum):
    """Type of a statement, as needed for routing."""

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
        Caller, database and session of the request.
    sql
        Statement text.
    action
        Type of the statement.
    fingerprint
        Statement text without literals.
    kind
        Request kind given by the caller; the bundle defines its deadline and
        weight.
    request_id
        Idempotency key of the request, or empty.
    token
        Log position that a read of the session must include.
    has_token
        Whether the token covers everything that the session has seen.
    session_named
        Whether the caller named the session.
    staleness_ms
        Accepted staleness in milliseconds; 0 for none.
    deadline_ms
        Remaining time for the answer, in milliseconds.
    transaction
        Id of the transaction; empty outside a transaction.
    idempotent
        Whether a write may be sent again after a lost answer; set when the caller
        marked the request as idempotent.
    resolve_ms
        Time to ask for its outcome if that is unknown, in milliseconds.
    """

    caller: CallerId
    database: DatabaseId
    session: SessionId
    sql: str
    action: Action
    fingerprint: Fingerprint
    kind: KindId
    request_id: RequestId = RequestId("")
    token: LogPosition = LOG_START
    has_token: bool = False
    session_named: bool = False
    staleness_ms: int = 0
    deadline_ms: int = 5_000
    transaction: TransactionId = TransactionId("")
    idempotent: bool = True
    resolve_ms: int = RESOLVE_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """The complete answer to one request.

    Parameters
    ----------
    columns, rows
        Result set; both empty for statements without one.
    affected_rows, last_insert_id
        As the backend server reported them.
    log_position
        Log position that the session has seen after this request.
    server
        Backend server that executed the request.
    duplicate
        Whether this is the recorded outcome of an earlier request.
    transaction
        Id of the transaction that is open after the request, or empty.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    log_position: LogPosition = LOG_START
    server: ServerId = ServerId("")
    duplicate: bool = False
    transaction: TransactionId = TransactionId("")


@dataclass(frozen=True, kw_only=True, slots=True)
class Redirect:
    """Owner of a database, returned to a host that asked a non-owner."""

    host: HostId
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Result of a request; exactly one field is set."""

    reply: Reply | None = None
    failure: Failure | None = None
    redirect: Redirect | None = None
