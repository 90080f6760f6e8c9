"""Statements outside a transaction."""

import asyncio

from ..decisions import placement, waiting
from ..groups import Mark
from ..queries import Answer, FailureCode
from ..services.clock import read_boot_ms
from ..verdicts import Verdict
from .group import Group
from .journal import Step
from .pool import NoConnectionError
from .ports import LinkLostError
from .preparation import (
    ATTEMPTS,
    BEGIN,
    NO_PRIMARY_RETRY_MS,
    OVERLOAD_PAUSE_S,
    ROLLBACK,
    find_need,
    open_at_primary,
    prepare_link,
)
from .sessions import Context, Job, RefusedError, Session, later, refuse_overloaded

# A read without an answer for this long is sent to another server.
READ_ATTEMPT_MS = 450


async def run_single(context: Context, session: Session, job: Job) -> Answer:
    """Run a statement outside a transaction."""
    group = context.find_group(job.route.group)
    if group is None:
        raise refuse_overloaded("no servers are known", NO_PRIMARY_RETRY_MS)
    if job.writes:
        return await run_write(context, group, session, job)
    need = find_need(group, session, job.route, job.arrived_at)
    if need is not None:
        answer = await run_read_near(context, group, session, job, need)
        if answer is not None:
            return answer
    return await run_read_at_primary(context, group, session, job)


async def run_read_near(
    context: Context, group: Group, session: Session, job: Job, need: Mark
) -> Answer | None:
    """Run a read at the best server that holds a position; None without one."""
    for pool in group.rank_readers()[:ATTEMPTS]:
        now = read_boot_ms()
        left = job.deadline_at - now
        if left <= 0:
            return None
        server = pool.server.server
        try:
            pooled = await pool.acquire(
                session.values, job.route.priority, job.give_up_at
            )
        except (NoConnectionError, LinkLostError) as error:
            note_retry(context, job, server, str(error))
            continue
        clean = False
        try:
            failed = await prepare_link(
                group, pool, pooled, session, job.shape, None, None
            )
            if failed is not None:
                note_retry(context, job, server, f"not prepared: {failed.failure}")
                continue
            timeout = min(left, READ_ATTEMPT_MS)
            answers = await pool.run(pooled, [job.query], need, timeout)
            clean = True
        except LinkLostError as error:
            placement.observe_silence(pool.load, read_boot_ms())
            note_retry(context, job, server, str(error))
            continue
        finally:
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is FailureCode.BEHIND:
            placement.observe_behind(pool.load, read_boot_ms())
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        if answer.failure is None or answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        note_retry(context, job, server, answer.failure.value)
    return None


async def run_read_at_primary(
    context: Context, group: Group, session: Session, job: Job
) -> Answer:
    """Run a read at a primary that proves its lead for it."""
    detail = "no answer"
    for _ in range(ATTEMPTS):
        left = job.deadline_at - read_boot_ms()
        if left <= 0:
            break
        pool, pooled = await open_at_primary(group, session, job, BEGIN)
        clean = False
        try:
            timeout = min(left, READ_ATTEMPT_MS)
            answers = await pool.run(pooled, [job.query, ROLLBACK], None, timeout)
            clean = answers[1].failure is None
        except LinkLostError as error:
            detail = str(error)
            note_retry(context, job, pool.server.server, detail)
            continue
        finally:
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(pool.server.server)
        if answer.failure is None or answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        detail = answer.failure.value
        note_retry(context, job, pool.server.server, detail)
        if answer.failure is FailureCode.OVERLOADED:
            await asyncio.sleep(OVERLOAD_PAUSE_S)
    if read_boot_ms() >= job.deadline_at:
        raise RefusedError(FailureCode.TIMED_OUT, detail)
    raise refuse_overloaded(detail, waiting.MIN_RETRY_MS)


async def run_write(
    context: Context, group: Group, session: Session, job: Job
) -> Answer:
    """Run a write outside a transaction, at most once."""
    detail = "no answer"
    for _ in range(ATTEMPTS):
        left = job.deadline_at - read_boot_ms()
        if left <= 0:
            break
        pool, pooled = await open_at_primary(group, session, job, None)
        clean = False
        number = group.writes.begin()
        answered = False
        try:
            answers = await pool.run(pooled, [job.query], None, left)
            clean = True
            answered = answers[0].failure is None
        except LinkLostError as error:
            raise RefusedError(FailureCode.UNKNOWN_OUTCOME, str(error)) from None
        finally:
            group.writes.end(number, answered=answered)
            pool.release(pooled, clean=clean)
        answer = answers[0]
        if answer.failure is None:
            session.mark = later(session.mark, answer.mark)
            return answer
        if answer.failure.verdict is not Verdict.NOT_RUN:
            return answer
        if answer.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(pool.server.server)
        if answer.failure is FailureCode.NOT_PREPARED:
            pooled.prepared.clear()
        detail = answer.failure.value
        note_retry(context, job, pool.server.server, detail)
        if answer.failure is FailureCode.OVERLOADED:
            await asyncio.sleep(OVERLOAD_PAUSE_S)
    raise refuse_overloaded(detail, waiting.MIN_RETRY_MS)


def note_retry(context: Context, job: Job, server: str, why: str) -> None:
    """Write down that a statement goes elsewhere or again."""
    context.journal.note(
        Step.REQUEST_RETRIED, request=job.query.request, server=server, why=why
    )
