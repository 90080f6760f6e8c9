"""Execution of statements inside a caller's transaction."""

from ..queries import (
    INTERNAL_REQUEST,
    Answer,
    FailureCode,
    Query,
    QueryKind,
    TransactionState,
)
from ..services.clock import read_boot_ms
from .pool import ServerPool
from .pooled_connection import PooledConnection
from .ports import ConnectionLostError
from .preparation import (
    CONTROL_TIMEOUT_MS,
    ROLLBACK,
    find_min_position,
    may_retry,
    open_at_reader,
    prepare_shape,
)
from .primary_access import open_proven_primary, refuse_without_primary
from .sessions import (
    Context,
    Job,
    RefusedError,
    Session,
    Transaction,
)


async def begin_transaction(
    context: Context, session: Session, transaction: Transaction, job: Job
) -> None:
    """Begin a caller's transaction at a server, unless it already runs there.

    Raises
    ------
    RefusedError
        When no server can begin it.
    """
    if transaction.link is not None:
        return
    group = context.find_group(transaction.route.group)
    if group is None:
        raise refuse_without_primary(None, "no servers are known")
    found = None
    if transaction.read_only:
        min_position = find_min_position(
            group, session, transaction.route, transaction.began_at
        )
        if min_position is not None:
            found = await open_at_reader(group, session, job, min_position)
    if found is None:
        found = await open_proven_primary(group, session, job, transaction.began_at)
    transaction.pool, transaction.link = found


async def run_in_transaction(context: Context, session: Session, job: Job) -> Answer:
    """Run a statement or the commit of a caller's transaction."""
    transaction = session.transaction
    assert transaction is not None
    await begin_transaction(context, session, transaction, job)
    pool, pooled = transaction.pool, transaction.link
    assert pool is not None
    assert pooled is not None
    is_commit = job.query.kind is QueryKind.COMMIT
    try:
        answer = await _run_pinned(session, pool, pooled, job)
    except ConnectionLostError as error:
        drop_transaction(transaction)
        if is_commit and transaction.wrote and error.sent:
            raise RefusedError(FailureCode.UNKNOWN_OUTCOME, str(error)) from None
        raise RefusedError(FailureCode.ROLLED_BACK, str(error)) from None
    if job.writes:
        transaction.wrote = True
    if not is_commit and answer.failure is not None:
        return _fail_transaction(context, transaction, answer)
    return answer


def _fail_transaction(
    context: Context, transaction: Transaction, answer: Answer
) -> Answer:
    # No commit was sent, so nothing that the server did can take effect.
    transaction.failed = True
    context.spawn(roll_back(transaction))
    return Answer(
        failure=FailureCode.ROLLED_BACK,
        detail=answer.failure.value if answer.failure else "",
        state=TransactionState.FAILED,
    )


async def _run_pinned(
    session: Session, pool: ServerPool, pooled: PooledConnection, job: Job
) -> Answer:
    failed = await prepare_shape(pool, pooled, job.shape)
    if failed is not None:
        return failed
    while True:
        left_ms = job.deadline_at - read_boot_ms()
        if left_ms <= 0:
            raise ConnectionLostError(
                "the timeout of the route was reached", sent=False
            )
        job.check()
        answers = await pool.run(pooled, [job.query], None, left_ms)
        answer = answers[0]
        full = answer.failure is FailureCode.OVERLOADED
        if not full or answer.state is not TransactionState.OPEN:
            return answer
        if not await may_retry(job, answer.failure, 0):
            return answer


async def set_value(transaction: Transaction | None, query: Query) -> None:
    """Set a session value on the connection of an open transaction, if there is one.

    Raises
    ------
    RefusedError
        When it was not set; the transaction is rolled back.
    """
    if transaction is None or transaction.pool is None or transaction.link is None:
        return
    own = Query(
        kind=QueryKind.SET,
        request=INTERNAL_REQUEST,
        name=query.name,
        value=query.value,
    )
    pool, pooled = transaction.pool, transaction.link
    try:
        answers = await pool.run(pooled, [own], None, CONTROL_TIMEOUT_MS)
    except ConnectionLostError as error:
        drop_transaction(transaction)
        raise RefusedError(FailureCode.ROLLED_BACK, str(error)) from None
    if answers[0].failure is not None:
        drop_transaction(transaction)
        raise RefusedError(FailureCode.ROLLED_BACK, "the value was not set")
    pooled.values[query.name] = query.value


def release_ended(transaction: Transaction, answer: Answer) -> None:
    """Release the connection of a transaction that has ended with an answer."""
    if transaction.pool is not None and transaction.link is not None:
        clean = answer.state is TransactionState.IDLE
        transaction.pool.release(transaction.link, clean=clean)
    transaction.pool = None
    transaction.link = None


def drop_transaction(transaction: Transaction) -> None:
    """Close a transaction's connection, so that the server rolls it back."""
    if transaction.pool is not None and transaction.link is not None:
        transaction.pool.release(transaction.link, clean=False)
    transaction.pool = None
    transaction.link = None
    transaction.failed = True


async def roll_back(transaction: Transaction) -> None:
    """Roll a transaction back; its connection is kept if that succeeds."""
    pool, pooled = transaction.pool, transaction.link
    if pool is None or pooled is None:
        return
    transaction.pool = None
    transaction.link = None
    clean = False
    try:
        answers = await pool.run(pooled, [ROLLBACK], None, CONTROL_TIMEOUT_MS)
        clean = answers[0].failure is None and answers[0].state is TransactionState.IDLE
    except ConnectionLostError:
        clean = False
    finally:
        pool.release(pooled, clean=clean)
