"""Checks of callers' keys: who is served now, and which operation is admitted."""

from .. import organisations
from ..queries import FailureCode
from ..rate_decisions import RENEW_MS, Limited
from ..services.clock import read_boot_ms
from .sessions import Context, RefusedError, Session, refuse_overloaded

RATE_LIMITED = "the organisation has reached its rate limit"
REVOKED = "the key is not valid any more"


def observe_revocation(context: Context, session: Session) -> bool:
    """Mark a session whose key names its organisation no more; return whether it is.

    The mark is never removed.
    """
    if not organisations.is_admitted(context.configuration(), session.admission):
        session.revoked = True
    return session.revoked


def find_refusal(context: Context, session: Session) -> RefusedError | None:
    """Return why a session's statement may not be served now, None if it may.

    What is open at a server is rolled back at a refusal, so that a statement of a
    transaction is refused as such.
    """
    refusal = None
    if observe_revocation(context, session):
        refusal = RefusedError(FailureCode.UNAUTHORIZED, REVOKED)
    elif session.organisation is not None:
        refusal = context.refuse_keyed()
    if refusal is not None and session.transaction is not None:
        return RefusedError(FailureCode.ROLLED_BACK, refusal.detail)
    return refusal


async def admit_operation(context: Context, session: Session) -> None:
    """Admit an operation before its first statement is forwarded.

    A transaction is one operation.

    Raises
    ------
    RefusedError
        When it is refused; nothing of it was forwarded.
    """
    transaction = session.transaction
    if session.organisation is None or (transaction and transaction.admitted):
        return
    decision = await context.admit_rate(session.organisation)
    if isinstance(decision, Limited):
        raise refuse_overloaded(RATE_LIMITED, decision.retry_ms)
    session.admitted_at = read_boot_ms()
    if transaction is not None:
        transaction.admitted = True


def end_admission(context: Context, session: Session) -> None:
    """Take note that the first statement of an operation is forwarded now.

    After an outage, all that waited for its end would count in one window: they need
    tokens of that.

    Raises
    ------
    RefusedError
        When it has none.
    """
    admitted_at, session.admitted_at = session.admitted_at, None
    if admitted_at is None or session.organisation is None:
        return
    if read_boot_ms() - admitted_at <= RENEW_MS:
        return
    decision = context.admit_rate_now(session.organisation)
    if isinstance(decision, Limited):
        raise refuse_overloaded(RATE_LIMITED, decision.retry_ms)
