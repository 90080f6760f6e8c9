"""Verdicts: whether a request may have run."""

from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """Whether a request may have run at a backend server."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(Enum):
    """Why a request failed."""

    BAD_REQUEST = "bad-request"
    CALLER_REFUSED = "caller-refused"
    CANCELLED = "cancelled"
    DATABASE_ERROR = "database-error"
    DEADLINE = "deadline"
    DRAINING = "draining"
    DUPLICATE = "duplicate"
    LOST_CONNECTION = "lost-connection"
    NOT_DURABLE = "not-durable"
    NOT_OWNER = "not-owner"
    NO_PRIMARY = "no-primary"
    NO_REPLICA = "no-replica"
    OVERLOAD = "overload"
    TRANSACTION_LOST = "transaction-lost"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A failed request.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    reason
        Why it failed.
    detail
        Text for a person.
    retry_after_ms
        Earliest useful retry, in milliseconds; 0 when none is advised.
    error_code
        MySQL error code passed on from the backend server, 0 when none.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    error_code: int = 0

    def describe(self) -> str:
        """Return the error text sent to the caller.

        Returns
        -------
        str
            The text; its first part has a fixed form that programs can read.
        """
        hint = f" retry-after-ms={self.retry_after_ms}" if self.retry_after_ms else ""
        head = f"[verdict={self.verdict.value} reason={self.reason.value}{hint}]"
        return f"{head} {self.detail}".rstrip()
