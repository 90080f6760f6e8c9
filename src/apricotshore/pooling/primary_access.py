"""Connections to the primary for a session's statements, or why there is none."""

import asyncio

from ..decisions import wait_queue
from ..identifiers import ServerId
from ..queries import FailureCode, Query
from ..services.clock import read_boot_ms
from . import group_outages
from .group import Group
from .log_waits import waits_for_logs
from .pool import ServerPool
from .pooled_connection import NoConnectionError, PooledConnection
from .ports import ConnectionLostError
from .preparation import ATTEMPTS, BEGIN, OVERLOAD_PAUSE_S, prepare_link
from .server_gate import QuiescedError
from .sessions import Job, RefusedError, Session, refuse_overloaded

PROOF_ATTEMPTS = 2


def refuse_without_primary(
    group: Group | None, detail: str, request: str = ""
) -> RefusedError:
    """Return the error for a statement when no primary answers.

    Parameters
    ----------
    group
        The group, None when it is unknown.
    detail
        What is wrong.
    request
        Request id, which spreads the callers' returns.
    """
    if group is not None and group.early_rejection:
        return group_outages.refuse(group, detail, request)
    since = None
    if group is not None:
        since = group.primary_state.silent_since or group.no_primary_since
    retry_ms = wait_queue.advise_outage_retry_ms(since, read_boot_ms())
    return refuse_overloaded(detail, retry_ms)


def _check_primary_stays(group: Group, job: Job) -> None:
    """Raise `RefusedError` if the primary may end before a statement reaches it."""
    if not group.may_send_to_primary:
        raise refuse_without_primary(group, "the primary is leaving", job.query.request)


def _describe_primary(pool: ServerPool | None) -> str:
    """Return why the supposed primary's pool can't be used."""
    if pool is None:
        return "no primary"
    if pool.gate.is_shut:
        return "the primary is being replaced"
    return "the primary gives no answer"


async def find_primary_pool(group: Group, job: Job) -> ServerPool:
    """Return the pool of the primary, waiting for one until the job expires.

    Raises
    ------
    RefusedError
        When no primary answers by then, it is about to end, or nobody may lead soon.
    """
    held = group_outages.Hold(group=group, job=job)
    while True:
        primary = group.primary
        pool = group.pools.get(primary) if primary is not None else None
        _check_primary_stays(group, job)
        is_led = pool is not None and group.primary_state.silent_since is None
        is_shut = pool is not None and pool.gate.is_shut
        if pool is not None and is_led and not is_shut:
            held.end()
            return pool
        if group.early_rejection:
            left_ms = held.find_left_ms(_describe_primary(pool))
        elif waits_for_logs(group):
            detail = _describe_primary(pool)
            raise refuse_overloaded(detail, wait_queue.LOG_RETRY_MS)
        else:
            left_ms = job.expires_at - read_boot_ms()
        if left_ms <= 0:
            raise refuse_without_primary(
                group, _describe_primary(pool), job.query.request
            )
        if pool is not None and is_led:
            await pool.gate.wait_until_open(left_ms)
            continue
        group.probe_wanted.set()
        group.primary_confirmed.clear()
        try:
            async with asyncio.timeout(left_ms / 1000):
                await group.primary_confirmed.wait()
        except TimeoutError:
            continue


def _observe_loss(
    group: Group, server: ServerId, asked_at: int, error: ConnectionLostError
) -> None:
    """Record that the primary gave no answer, if anything was sent to it."""
    if not isinstance(error, QuiescedError):
        group.observe_silence(server, asked_at)


async def open_at_primary(
    group: Group, session: Session, job: Job, begin: Query | None
) -> tuple[ServerPool, PooledConnection]:
    """Acquire a connection to the primary and prepare it.

    Raises
    ------
    RefusedError
        When there is none; the caller's statement was not sent.
    """
    detail = "no connection to the primary"
    full = False
    for _ in range(ATTEMPTS):
        pool = await find_primary_pool(group, job)
        server = pool.server.server
        asked_at = read_boot_ms()
        try:
            pooled = await pool.acquire(
                session.values,
                job.route.priority,
                job.expires_at,
                organisation=session.organisation,
            )
        except NoConnectionError as error:
            raise refuse_overloaded(
                "no free connection to the primary", error.retry_ms
            ) from None
        except ConnectionLostError as error:
            detail = f"primary unreachable: {error}"
            group.observe_silence(server, asked_at)
            continue
        try:
            _check_primary_stays(group, job)
            failed = await prepare_link(
                group, pool, pooled, session, job.shape, begin, None
            )
        except ConnectionLostError as error:
            pool.release(pooled, clean=False)
            detail = f"primary silent: {error}"
            _observe_loss(group, server, asked_at, error)
            continue
        except BaseException:
            pool.release(pooled, clean=False)
            raise
        if failed is None:
            return pool, pooled
        pool.release(pooled, clean=False)
        detail = f"primary refused: {failed.failure.value if failed.failure else ''}"
        full = failed.failure is FailureCode.OVERLOADED
        if full:
            await asyncio.sleep(OVERLOAD_PAUSE_S)
        if failed.failure is FailureCode.NOT_PRIMARY:
            group.observe_denial(server)
    if full:
        raise refuse_overloaded(detail, wait_queue.MIN_RETRY_MS)
    raise refuse_without_primary(group, detail, job.query.request)


async def open_proven_primary(
    group: Group, session: Session, job: Job, since: int
) -> tuple[ServerPool, PooledConnection]:
    """Begin a transaction at a server that was the primary at ``since`` or later.

    Where a replaced primary may go on answering, a proof is sought meanwhile.

    Raises
    ------
    RefusedError
        When there is none; the caller's statement was not sent.
    """
    if group.prover is None:
        return await open_at_primary(group, session, job, BEGIN)
    for _ in range(PROOF_ATTEMPTS):
        proof = asyncio.ensure_future(group.prover.prove(since))
        pool, pooled = await open_at_primary(group, session, job, BEGIN)
        proven = None
        try:
            proven = await proof
        finally:
            if proven != pool.server.server:
                pool.release(pooled, clean=False)
        if proven == pool.server.server:
            group.observe_proof(proven, since)
            return pool, pooled
        if proven is None or read_boot_ms() >= job.expires_at:
            break
    raise refuse_without_primary(group, "no proof of the primary", job.query.request)
