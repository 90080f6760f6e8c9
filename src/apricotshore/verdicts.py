"""Verdicts and reasons of failed requests."""

from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """Whether a request was executed at a backend server."""

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
        Whether the request may have been executed.
    reason
        Reason of the failure.
    detail
        Human-readable explanation.
    retry_after_ms
        Delay before a retry is useful, in milliseconds; 0 for no advice.
    error_code
        MySQL error code from the backend server, 0 for none.
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
            The text; it starts with a fixed, machine-readable prefix.
        """
        hint = f" retry-after-ms={self.retry_after_ms}" if self.retry_after_ms else ""
        head = f"[verdict={self.verdict.value} reason={self.reason.value}{hint}]"
        return f"{head} {self.detail}".rstrip()
