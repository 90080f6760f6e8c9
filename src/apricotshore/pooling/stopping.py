"""Statements at a stopping host: which are begun, and what ends in time."""

from .. import shutdown
from ..queries import FailureCode, Query, QueryKind
from ..routes import Route
from ..services.clock import read_boot_ms
from ..shutdown import Drain, Work
from . import transactions
from .sessions import RefusedError, Session, Transaction, refuse_overloaded
from .statements_at_work import StatementAtWork, WorkStage

STOPPING = "the host stops"
# Another host serves at once.
RETRY_MS = 0
_BEGINS = frozenset({QueryKind.BEGIN, QueryKind.BEGIN_READ})


def check_begin(drain: Drain, session: Session, query: Query, route: Route) -> None:
    """Check that a statement is begun, which a stopping host may not do.

    Raises
    ------
    RefusedError
        When it isn't; nothing of it was forwarded.
    """
    work = Work.STATEMENT
    if session.transaction is not None:
        work = Work.OPEN_TRANSACTION
    elif query.kind in _BEGINS:
        work = Work.NEW_TRANSACTION
    if shutdown.may_begin(drain, work, route.timeout_ms, read_boot_ms()):
        return
    if session.transaction is not None:
        raise RefusedError(FailureCode.ROLLED_BACK, STOPPING)
    raise refuse_overloaded(STOPPING, RETRY_MS)


def end_expired(session: Session, at_work: StatementAtWork) -> RefusedError:
    """Give a statement up for which the host has no time left; return its answer."""
    transaction, query = session.transaction, at_work.query
    was_sent = at_work.stage is not WorkStage.WAITING
    if transaction is not None:
        return _end_in_transaction(session, transaction, query, was_sent=was_sent)
    if not was_sent:
        return refuse_overloaded(STOPPING, RETRY_MS)
    reads = query.kind is QueryKind.READ
    code = FailureCode.TIMED_OUT if reads else FailureCode.UNKNOWN_OUTCOME
    return RefusedError(code, STOPPING)


def _end_in_transaction(
    session: Session, transaction: Transaction, query: Query, *, was_sent: bool
) -> RefusedError:
    transactions.drop_transaction(transaction)
    if query.kind is not QueryKind.COMMIT:
        return RefusedError(FailureCode.ROLLED_BACK, STOPPING)
    session.transaction = None
    may_have_committed = was_sent and transaction.wrote
    code = (
        FailureCode.UNKNOWN_OUTCOME if may_have_committed else FailureCode.ROLLED_BACK
    )
    return RefusedError(code, STOPPING)
