"""What a stopping host still begins, and which idle sessions it closes."""

from dataclasses import dataclass
from enum import Enum

from .phases import Drain, Phase, find_last_answer, find_phase

# After preparing its session, a caller sends the next statement within this time.
QUIET_MS = 150


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleSession:
    """A session between two statements.

    Parameters
    ----------
    in_transaction
        Whether a transaction is open.
    opened_at
        When the session was opened, in milliseconds since boot.
    operations
        Number of completed operations: single statements and transactions.
    ended_operation
        Whether the last statement completed one. After a statement that only
        prepares the session, the caller is about to send the next one.
    quiet_since
        When its last response was sent.
    """

    in_transaction: bool
    opened_at: int
    operations: int
    ended_operation: bool
    quiet_since: int


class Work(Enum):
    """What a statement that was received would be a part of."""

    STATEMENT = "statement"
    NEW_TRANSACTION = "new transaction"
    OPEN_TRANSACTION = "open transaction"


def may_begin(drain: Drain, work: Work, timeout_ms: int, now: int) -> bool:
    """Return whether a statement that was received is begun.

    Parameters
    ----------
    drain
        The shutdown.
    work
        What the statement is a part of.
    timeout_ms
        Time within which it is answered in any case.
    now
        Milliseconds since boot.
    """
    phase, last_answer = find_phase(drain, now), find_last_answer(drain)
    if last_answer is None:
        return True
    if phase is Phase.EXITING or now >= last_answer:
        return False
    if phase is Phase.ANNOUNCING:
        return True
    if work is not Work.STATEMENT:
        return work is Work.OPEN_TRANSACTION and phase is Phase.LAME_DUCK
    return now + timeout_ms <= last_answer


def should_close(drain: Drain, session: IdleSession, now: int) -> bool:
    """Return whether an idle session is closed.

    A session opened after the signal is kept for its first operation: the load
    balancer had not yet detected the shutdown. Once the time for answers is over, none
    is kept.
    """
    began, last_answer = drain.began_at, find_last_answer(drain)
    if began is None or last_answer is None:
        return False
    if now >= last_answer:
        return True
    if session.in_transaction:
        return False
    if session.ended_operation:
        return True
    if now - session.quiet_since < QUIET_MS:
        return False
    is_new = session.opened_at >= began and session.operations == 0
    return not is_new or find_phase(drain, now) is not Phase.ANNOUNCING
