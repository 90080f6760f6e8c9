"""Execution of statements outside a transaction (autocommit)."""

import itertools

from ..decisions import placement, wait_queue
from ..groups import LogPosition
from ..queries import Answer, FailureCode
from ..services.clock import read_boot_ms
from ..verdicts import Verdict
from .group import Group
from .journal import EventKind
from .pool import ServerPool
from .pooled_connection import NoConnectionError, PooledConnection
from .ports import ConnectionLostError
from .preparation import (
    ROLLBACK,
    Declined,
    find_min_position,
    may_retry,
    offer_to_readers,
    prepare_link,
)
from .primary_access import open_at_primary, open_proven_primary, refuse_without_primary
from .sessions import (
    Context,
    Job,
    RefusedError,
    Session,
    later_position,
    refuse_overloaded,
)

# A read that is not answered within this time is sent to another server.
READ_ATTEMPT_MS = 450


async def run_autocommit(context: Context, session: Session, job: Job) -> Answer:
    """Run a statement outside a transaction."""
    group = context.find_group(job.route.group)
    if group is None:
        raise refuse_without_primary(None, "no servers are known")
    if job.writes:
        return await run_write(context, group, session, job)
    min_position = find_min_position(group, session, job.route, job.arrived_at)
    if min_position is not None:
        answer = await run_read_at_reader(context, group, session, job, min_position)
        if answer is not None:
            return answer
    return await run_read_at_primary(context, group, session, job)


async def run_read_at_reader(
    context: Context,
    group: Group,
    session: Session,
    job: Job,
    min_position: LogPosition,
) -> Answer | None:
    """Run a read at the best server that has reached a position; None without one."""

    async def attempt(pool: ServerPool) -> Answer | Declined:
        declined, why = Declined.UNFIT, ""
        try:
            answer = await _read_at(group, pool, session, job, min_position)
        except NoConnectionError as error:
            declined, why = Declined.NO_CONNECTION, str(error)
        except ConnectionLostError as error:
            why = str(error)
        else:
            if answer.failure is None or answer.failure.verdict is not Verdict.NOT_RUN:
                return answer
            if answer.failure is FailureCode.OVERLOADED:
                declined = Declined.FULL
            why = answer.failure.value
        record_retry(context, job, pool.server.server, why)
        return declined

    return await offer_to_readers(group, job, attempt)


async def _read_at(
    group: Group,
    pool: ServerPool,
    session: Session,
    job: Job,
    min_position: LogPosition,
) -> Answer:
    """Run a read at one server.

    Raises
    ------
    NoConnectionError
        When no connection became free in time.
    ConnectionLostError
        When the connection was lost or the read timed out.
    """
    left_ms = job.deadline_at - read_boot_ms()
    if left_ms <= 0:
        raise ConnectionLostError("the timeout of the route was reached", sent=False)
    pooled = await pool.acquire(
        session.values,
        job.route.priority,
        job.expires_at,
        organisation=session.organisation,
    )
    clean = False
    try:
        failed = await prepare_link(group, pool, pooled, session, job.shape, None, None)
        if failed is not None:
            full = failed.failure is FailureCode.OVERLOADED
            return Answer(
                failure=FailureCode.OVERLOADED if full else FailureCode.NOT_PREPARED
            )
        timeout = min(left_ms, READ_ATTEMPT_MS)
        clean = True
        job.check()
        clean = False
        answers = await pool.run(pooled, [job.query], min_position, timeout)
        clean = True
    except ConnectionLostError:
        placement.observe_silence(pool.load, read_boot_ms())
        raise
    finally:
        pool.release(pooled, clean=clean)
    answer = answers[0]
    if answer.failure is FailureCode.BEHIND:
        placement.observe_behind(pool.load, read_boot_ms())
    if answer.failure is FailureCode.NOT_PREPARED:
        pooled.prepared.clear()
    return answer


async def run_read_at_primary(
    context: Context, group: Group, session: Session, job: Job
) -> Answer:
    """Run a read at the primary inside a transaction, which proves that it is one."""
    detail = "no answer"
    failure: FailureCode | None = None
    for tries in itertools.count():
        if tries and not await may_retry(job, failure, tries):
            break
        left_ms = job.deadline_at - read_boot_ms()
        if left_ms <= 0:
            break
        pool, pooled = await open_proven_primary(group, session, job, job.arrived_at)
        clean = False
        try:
            timeout = min(left_ms, READ_ATTEMPT_MS)
            job.check()
            answers = await pool.run(pooled, [job.query, ROLLBACK], None, timeout)
            clean = answers[1].failure is None
        except ConnectionLostError as error:
            detail, failure = str(error), None
            record_retry(context, job, pool.server.server, detail)
            continue
        finally:
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(pool.server.server)
        if answer.failure is None or answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        failure, detail = answer.failure, answer.failure.value
        record_retry(context, job, pool.server.server, detail)
    if read_boot_ms() >= job.deadline_at:
        raise RefusedError(FailureCode.TIMED_OUT, detail)
    raise refuse_overloaded(detail, wait_queue.MIN_RETRY_MS)


async def run_write(
    context: Context, group: Group, session: Session, job: Job
) -> Answer:
    """Run a write outside a transaction, at most once."""
    detail = "no answer"
    failure: FailureCode | None = None
    for tries in itertools.count():
        if tries and not await may_retry(job, failure, tries):
            break
        left_ms = job.deadline_at - read_boot_ms()
        if left_ms <= 0:
            break
        pool, pooled = await open_at_primary(group, session, job, None)
        _check_or_release(job, pool, pooled)
        clean = False
        number = group.writes.begin()
        answered = False
        asked_at = read_boot_ms()
        try:
            answers = await pool.run(pooled, [job.query], None, left_ms)
            clean = True
            answered = answers[0].failure is None
        except ConnectionLostError as error:
            if error.sent:
                raise RefusedError(FailureCode.UNKNOWN_OUTCOME, str(error)) from None
            failure, detail = None, str(error)
            record_retry(context, job, pool.server.server, detail)
            continue
        finally:
            group.writes.end(number, answered=answered)
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is None:
            session.log_position = later_position(
                session.log_position, answer.log_position
            )
            group.observe_write(pool.server.server, answer.log_position, asked_at)
            return answer
        if answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        if answer.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(pool.server.server)
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        failure, detail = answer.failure, answer.failure.value
        record_retry(context, job, pool.server.server, detail)
    raise refuse_overloaded(detail, wait_queue.MIN_RETRY_MS)


def _check_or_release(job: Job, pool: ServerPool, pooled: PooledConnection) -> None:
    """Check a write before it counts as one that awaits its answer."""
    try:
        job.check()
    except RefusedError:
        pool.release(pooled, clean=True)
        raise


def record_retry(context: Context, job: Job, server: str, why: str) -> None:
    """Record that a statement is retried, at another server or the same one."""
    job.decline()
    context.journal.record(
        EventKind.REQUEST_RETRIED, request=job.query.request, server=server, why=why
    )
