"""Statements of a caller and answers of a backend server, whatever the wire."""

from dataclasses import dataclass, replace
from enum import Enum
from hashlib import blake2s

from .groups import LogPosition, Role
from .identifiers import RequestId, Term
from .verdicts import Verdict

INTERNAL_REQUEST = RequestId("")


class QueryKind(Enum):
    """What a statement asks for."""

    BEGIN = "begin"
    BEGIN_READ = "begin-read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    RESET = "reset"
    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step-down"
    INVALID = "invalid"


class Access(Enum):
    """Whether a prepared statement reads or writes."""

    READ = "read"
    WRITE = "write"


class TransactionState(Enum):
    """State of a session after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class FailureCode(Enum):
    """Why a statement was answered with an error.

    The value is the name in logs; `verdict` says whether it may have run.
    """

    OVERLOADED = "overloaded"
    ROLLED_BACK = "rolled-back"
    BEHIND = "behind"
    NOT_PRIMARY = "not-primary"
    WRONG_SERVER = "wrong-server"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    UNKNOWN_OUTCOME = "unknown-outcome"
    TIMED_OUT = "timed-out"
    FAILED = "failed"
    NOT_PREPARED = "not-prepared"
    NO_DATABASE = "no-database"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN = "unknown"

    @property
    def verdict(self) -> Verdict:
        """Whether a statement that a server answered so may have run."""
        return Verdict.NOT_RUN if self in _NOT_RUN else Verdict.MAY_HAVE_RUN


_NOT_RUN = frozenset(
    {
        FailureCode.OVERLOADED,
        FailureCode.BEHIND,
        FailureCode.NOT_PRIMARY,
        FailureCode.WRONG_SERVER,
        FailureCode.TOO_MANY_CONNECTIONS,
        FailureCode.NOT_PREPARED,
        FailureCode.MALFORMED,
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PreparedShape:
    """A prepared statement: what it does and to what shape of data."""

    access: Access
    shape: str

    @property
    def name(self) -> str:
        """Name under which every connection prepares this statement.

        A shape that is not one plain word is replaced by its digest: as a name
        it would change the meaning of what follows it.
        """
        plain = self.shape.isascii() and self.shape.isalnum()
        word = self.shape if plain else blake2s(self.shape.encode()).hexdigest()
        return f"{self.access.value[0]}_{word}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """One statement.

    Parameters
    ----------
    kind
        What it asks for.
    request
        The caller's id of the request; `OWN_REQUEST` for the proxy's own.
    text
        Text of a read or a write as the caller sent it.
    name
        Session value or prepared statement that it names.
    value
        Session value that is set.
    arguments
        What follows the name of an executed statement.
    shape
        Shape of a statement to prepare.
    term
        Term of a command to a backend server.
    """

    kind: QueryKind
    request: RequestId = INTERNAL_REQUEST
    text: str = ""
    name: str = ""
    value: str = ""
    arguments: str = ""
    shape: PreparedShape | None = None
    term: Term = Term(0)

    def rename(self, name: str) -> "Query":
        """Return the same statement under another prepared name."""
        return replace(self, name=name)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """What a backend server says of its place in the group.

    Parameters
    ----------
    role
        Its role.
    term
        Term that it follows or leads.
    received
        Last log entry that it holds, applied or not.
    paused_term
        Term of the pause in force, 0 when there is none.
    """

    role: Role
    term: Term
    received: LogPosition
    paused_term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The whole answer to one statement.

    Parameters
    ----------
    rows
        Rows as the backend server sent them.
    receipt
        The server's signature of a success, empty when the proxy answers.
    failure, detail
        Error code and text; None on success.
    state
        State of the session after the answer.
    mark
        Log position that the server named, None when it named none.
    report
        Answer to a status question or a command.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ""
    failure: FailureCode | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    log_position: LogPosition | None = None
    report: ServerReport | None = None
