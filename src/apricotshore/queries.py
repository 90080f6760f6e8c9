"""Statements and their answers, independent of the wire protocol."""

from dataclasses import dataclass, field, replace
from enum import Enum
from hashlib import blake2s

from .groups import LogPosition, Role
from .identifiers import RequestId, Term
from .verdicts import Verdict

INTERNAL_REQUEST = RequestId("")
# Characters of the longest shape that is used as a name; a digest has as many.
LONGEST_NAME = 64


class QueryKind(Enum):
    """Kind of a statement."""

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
    """Access mode of a prepared statement."""

    READ = "read"
    WRITE = "write"


class TransactionState(Enum):
    """Transaction state of a session after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class FailureCode(Enum):
    """Why a statement failed.

    The value is the name in logs; see `verdict` for whether the statement may have
    been executed.
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
        """Whether a statement that failed with this code may have been executed."""
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
    """Access mode and shape of a prepared statement."""

    access: Access
    shape: str

    @property
    def name(self) -> str:
        """Name under which every connection prepares this statement.

        A shape that is not a single alphanumeric word is replaced by its digest:
        used as a name, it would change how the text after it is parsed. So is a long
        one: names are kept for each connection to a server.
        """
        short = len(self.shape) <= LONGEST_NAME
        plain = short and self.shape.isascii() and self.shape.isalnum()
        word = self.shape if plain else blake2s(self.shape.encode()).hexdigest()
        return f"{self.access.value[0]}_{word}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """One statement.

    Parameters
    ----------
    kind
        Kind of the statement.
    request
        Request id from the caller; `INTERNAL_REQUEST` for the proxy's own
        statements.
    text
        Text of a read or a write as the caller sent it.
    name
        Name of a session value or of a prepared statement.
    value
        New value of the session value.
    arguments
        Arguments of an executed prepared statement.
    shape
        Shape of the statement to prepare.
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
        """Return a copy that uses another prepared statement name."""
        return replace(self, name=name)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """Replication status that a backend server reports.

    Parameters
    ----------
    role
        Its role.
    term
        Term in which it is the primary or a replica.
    received
        Position of the last log entry that it has received, applied or not.
    paused_term
        Term of the pause in effect, 0 for none.
    busy
        Statements that it runs, with the one that is answered; it doesn't count when
        reports are compared.
    """

    role: Role
    term: Term
    received: LogPosition
    paused_term: Term
    busy: int = field(default=0, compare=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The complete answer to one statement.

    Parameters
    ----------
    rows
        Rows as the backend server sent them.
    receipt
        The server's signature of a success; empty when the proxy itself answers.
    failure, detail
        Error code and text; None on success.
    state
        State of the session after the answer.
    log_position
        Log position in the answer, None without one.
    report
        Answer to a status query or a command.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ""
    failure: FailureCode | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    log_position: LogPosition | None = None
    report: ServerReport | None = None
