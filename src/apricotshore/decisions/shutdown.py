"""Graceful shutdown: when sessions are closed and the process exits."""

from dataclasses import dataclass

# The load balancer sends new callers until it detects that the host is leaving.
BALANCER_DELAY_MS = 2_600
# After preparing its session, a caller sends the next statement within this time.
QUIET_MS = 150
# Share of the grace period in which open transactions may end.
TRANSACTION_SHARE = 0.5
# Share of the grace period after which the process exits in any case.
END_SHARE = 0.9


@dataclass(kw_only=True, slots=True)
class Drain:
    """Shutdown of a host.

    Parameters
    ----------
    grace_ms
        Time between the signal and the kill.
    began_at
        When the signal arrived, in milliseconds since boot; None before.
    """

    grace_ms: int
    began_at: int | None = None


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


def should_close(drain: Drain, session: IdleSession, now: int) -> bool:
    """Return whether an idle session is closed.

    A session opened after the signal is kept for its first operation: the load
    balancer had not yet detected the shutdown.
    """
    began = drain.began_at
    if began is None or session.in_transaction:
        return False
    if session.ended_operation:
        return True
    if now - session.quiet_since < QUIET_MS:
        return False
    is_new = session.opened_at >= began and session.operations == 0
    return not is_new or now - began >= BALANCER_DELAY_MS


def should_abort_transactions(drain: Drain, now: int) -> bool:
    """Return whether open transactions are to be aborted."""
    began = drain.began_at
    return began is not None and now - began >= drain.grace_ms * TRANSACTION_SHARE


def should_exit(drain: Drain, busy: int, now: int) -> bool:
    """Return whether the process is to exit.

    Parameters
    ----------
    drain
        The shutdown.
    busy
        Number of open sessions, and of changes that others would have to wait for.
    now
        Milliseconds since boot.
    """
    began = drain.began_at
    if began is None:
        return False
    if now - began >= drain.grace_ms * END_SHARE:
        return True
    return busy == 0 and now - began >= BALANCER_DELAY_MS
