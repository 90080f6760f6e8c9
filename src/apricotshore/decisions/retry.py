"""At-most-once execution: verdict of a failed write, and what may be retried."""

from dataclasses import dataclass
from enum import IntEnum

from ..verdicts import Verdict

RETRY_RATIO = 0.1
RETRY_BURST = 20.0


class WriteStage(IntEnum):
    """Last stage that a write reached before it failed."""

    QUEUED = 0
    CONNECTED = 1
    RECORDED = 2
    EXECUTED = 3
    COMMIT_SENT = 4
    COMMITTED = 5
    DURABLE = 6


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of the requests."""

    tokens: float = RETRY_BURST


def deposit(budget: RetryBudget) -> None:
    """Add the tokens of a first attempt."""
    budget.tokens = min(RETRY_BURST, budget.tokens + RETRY_RATIO)


def withdraw(budget: RetryBudget) -> bool:
    """Take a token for a retry; return False if there is none."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def find_write_verdict(stage: WriteStage) -> Verdict:
    """Return the verdict of a write whose connection failed at ``stage``.

    Every write runs in a transaction. If the connection is lost before COMMIT is
    sent, the server rolls back, so the write did not run.
    """
    if stage < WriteStage.COMMIT_SENT:
        return Verdict.NOT_RUN
    if stage < WriteStage.DURABLE:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN


def may_resend_write(stage: WriteStage) -> bool:
    """Return whether a write may be sent again, which needs that no server got it."""
    return stage <= WriteStage.CONNECTED
