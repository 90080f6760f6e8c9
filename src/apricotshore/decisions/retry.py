"""Retry and at-most-once: which verdict a failure earns and what may be retried."""

from dataclasses import dataclass
from enum import IntEnum

from ..verdicts import Verdict

RETRY_RATIO = 0.1
RETRY_BURST = 20.0


class WriteStage(IntEnum):
    """How far a write has come when it fails."""

    QUEUED = 0
    CONNECTED = 1
    RECORDED = 2
    EXECUTED = 3
    COMMIT_SENT = 4
    COMMITTED = 5
    DURABLE = 6


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Tokens that bound retries to a share of the requests."""

    tokens: float = RETRY_BURST


def deposit(budget: RetryBudget) -> None:
    """Count one first attempt."""
    budget.tokens = min(RETRY_BURST, budget.tokens + RETRY_RATIO)


def withdraw(budget: RetryBudget) -> bool:
    """Return whether one retry may be spent, and spend it."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def find_write_verdict(stage: WriteStage) -> Verdict:
    """Return the verdict of a write whose connection failed at ``stage``.

    Every write runs inside a transaction. Until COMMIT is sent, losing the
    connection makes the server roll back, so the write certainly did not run.
    """
    if stage < WriteStage.COMMIT_SENT:
        return Verdict.NOT_RUN
    if stage < WriteStage.DURABLE:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN


def may_resend_write(stage: WriteStage) -> bool:
    """Return whether a write may be sent again: only if no server saw it."""
    return stage <= WriteStage.CONNECTED
